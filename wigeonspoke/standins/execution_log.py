"""The record of what the stand-ins ran, and the check of the promises.

Engines and services write down every step and every call that they run.
The checks use these records alone and nothing that the router says.
"""

import msgspec


class ExecutedStep(msgspec.Struct, frozen=True):
    """A step that an engine ran: for which token, through which layers."""

    endpoint: str
    request_id: str
    attempt: int
    index: int
    first_layer: int
    end_layer: int
    opened: bool
    at: float


class ExecutedCall(msgspec.Struct, frozen=True):
    """A call that a service ran."""

    endpoint: str
    service: str
    identity: str
    at: float


class ExecutionFindings(msgspec.Struct, frozen=True):
    """What the records show."""

    tokens_checked: int
    layers_out_of_order: int
    operations_run: int
    repeated_operations: int


class ExecutionLog:
    """Collects the records of all stand-ins of one run, in order."""

    __slots__ = ('calls', 'steps')

    def __init__(self) -> None:
        self.steps: list[ExecutedStep] = []
        self.calls: list[ExecutedCall] = []

    def check(self) -> ExecutionFindings:
        """Check the order of layers and the runs of each operation."""
        next_layer: dict[tuple[str, int, int], int] = {}
        out_of_order: set[tuple[str, int, int]] = set()
        for step in self.steps:
            token = (step.request_id, step.attempt, step.index)
            if next_layer.get(token, 0) != step.first_layer:
                out_of_order.add(token)
            next_layer[token] = step.end_layer
        runs = self.runs_by_operation()
        return ExecutionFindings(
            tokens_checked=len(next_layer),
            layers_out_of_order=len(out_of_order),
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

    def count_streams_opened_after(self, endpoint: str, moment: float) -> int:
        """Count the streams opened at an endpoint after a moment."""
        return sum(
            1
            for step in self.steps
            if step.endpoint == endpoint and step.opened and step.at > moment
        )

    def count_tokens_between(
        self, start: float, end: float, layers: int
    ) -> int:
        """Count the tokens that last stages yielded between two moments."""
        return sum(
            1
            for step in self.steps
            if step.end_layer == layers and start <= step.at < end
        )
