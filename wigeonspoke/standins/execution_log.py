"""A log of what the stand-ins executed, and checks of the guarantees.

Engines and services log every step and call that they run.  The checks use
this log alone and nothing that the router reports.
"""

import msgspec


class ExecutedStep(msgspec.Struct, frozen=True):
    """A step that an engine ran for one token through a range of layers.

    ``index`` is the position of the token in the answer, ``opened`` tells
    whether the step opened its stream, and ``at`` is the time in monotonic
    seconds.
    """

    endpoint: str
    request_id: str
    attempt: int
    index: int
    first_layer: int
    end_layer: int
    opened: bool
    at: float


class ExecutedCall(msgspec.Struct, frozen=True):
    """A call that a service replica ran.

    ``identity`` is the idempotency key, or empty if the call had none, and
    ``at`` the time in monotonic seconds.
    """

    endpoint: str
    service: str
    identity: str
    at: float


class ExecutionFindings(msgspec.Struct, frozen=True):
    """The results of the checks.

    ``layers_out_of_order`` counts the tokens that did not pass through
    consecutive layers from layer 0 on.  ``operations_run`` counts the
    operations with an idempotency key that ran at least once, and
    ``repeated_operations`` those that ran more than once.
    """

    tokens_checked: int
    layers_out_of_order: int
    operations_run: int
    repeated_operations: int


class ExecutionLog:
    """Collects the records of all stand-ins of a run in order of time."""

    __slots__ = ('calls', 'steps')

    def __init__(self) -> None:
        self.steps: list[ExecutedStep] = []
        self.calls: list[ExecutedCall] = []

    def check(self) -> ExecutionFindings:
        """Check the order of layers for each token and count repeated calls."""
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
        """Count the runs of each operation, by idempotency key."""
        runs: dict[str, int] = {}
        for call in self.calls:
            if call.identity:
                runs[call.identity] = runs.get(call.identity, 0) + 1
        return runs

    def count_streams_opened_after(self, endpoint: str, moment: float) -> int:
        """Count the streams opened on an endpoint after a time."""
        return sum(
            1
            for step in self.steps
            if step.endpoint == endpoint and step.opened and step.at > moment
        )

    def count_tokens_between(
        self, start: float, end: float, layers: int
    ) -> int:
        """Count the tokens that last stages generated between two times."""
        return sum(
            1
            for step in self.steps
            if step.end_layer == layers and start <= step.at < end
        )
