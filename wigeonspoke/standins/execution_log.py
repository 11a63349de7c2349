"""The record of what the stand-ins ran, and the check of the promises.

Engines and services write down every step and every call that they run.
The checks use these records alone and nothing that the router says.
"""

import msgspec


class StepRecord(msgspec.Struct, frozen=True):
    """A step that an engine ran: for which token, through which layers."""

    endpoint: str
    request_id: str
    attempt: int
    index: int
    first_layer: int
    end_layer: int
    opened: bool
    at: float


class CallRecord(msgspec.Struct, frozen=True):
    """A call that a service ran."""

    endpoint: str
    service: str
    identity: str
    at: float


class LedgerFindings(msgspec.Struct, frozen=True):
    """What the records show."""

    tokens_checked: int
    layers_out_of_order: int
    operations_run: int
    repeated_operations: int


class Ledger:
    """Collects the records of all stand-ins of one run, in order."""

    __slots__ = ('calls', 'steps')

    def __init__(self) -> None:
        self.steps: list[StepRecord] = []
        self.calls: list[CallRecord] = []

    def check(self) -> LedgerFindings:
        """Check the order of layers and the runs of each operation."""
        covered: dict[tuple[str, int, int], int] = {}
        bad: set[tuple[str, int, int]] = set()
        for step in self.steps:
            token = (step.request_id, step.attempt, step.index)
            if covered.get(token, 0) != step.first_layer:
                bad.add(token)
            covered[token] = step.end_layer
        runs = self.runs_by_operation()
        return LedgerFindings(
            tokens_checked=len(covered),
            layers_out_of_order=len(bad),
            operations_run=len(runs),
            repeated_operations=sum(1 for count in runs.values() if count > 1),
        )

    def runs_by_operation(self) -> dict[str, int]:
        """Count the runs of each operation that may not be repeated."""
        runs: dict[str, int] = {}
        for call in self.calls:
            if call.identity:
                runs[call.identity] = runs.get(call.identity, 0) + 1
        return runs

    def opened_after(self, endpoint: str, moment: float) -> int:
        """Count the streams opened at an endpoint after a moment."""
        return sum(
            1
            for step in self.steps
            if step.endpoint == endpoint and step.opened and step.at > moment
        )

    def tokens_between(self, start: float, end: float, layers: int) -> int:
        """Count the tokens that last stages yielded between two moments."""
        return sum(
            1
            for step in self.steps
            if step.end_layer == layers and start <= step.at < end
        )
