"""Actions that the router requests from the runtime."""

import msgspec

from wigeonspoke.core.claims.records import ClaimRow, ClaimState, KeptReply
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.outcomes import StepError


class Action(msgspec.Struct, frozen=True, tag=True):
    """Base class of all actions."""


class SendStep(Action, frozen=True):
    """Run one step of a stream at an endpoint.

    ``inputs`` holds tokens for the stage with the first layer and activations
    for the other stages.  ``position`` is the number of inputs that the stage
    has already processed in this attempt; 0 opens the stream there.
    """

    endpoint: str
    key: StepKey
    layers: LayerRange
    position: int
    inputs: tuple[int, ...]
    timeout_seconds: float


class CancelStream(Action, frozen=True):
    """Release the state that an endpoint holds for one attempt."""

    endpoint: str
    request_id: str
    attempt: int


class EmitToken(Action, frozen=True):
    """Send the caller the token at position ``index`` of its answer."""

    request_id: str
    index: int
    token: int


class FinishGeneration(Action, frozen=True):
    """Finish a generated answer.

    ``error`` is ``None`` for a complete answer.  ``retry_after_seconds`` tells
    a refused caller when to retry.
    """

    request_id: str
    finish: str
    error: StepError | None = None
    retry_after_seconds: float = 0


class SendCall(Action, frozen=True):
    """Send a call to a service replica.

    ``fresh_connection`` requests a new connection, because only there is it
    certain after a failure whether any byte of the call was sent.
    """

    request_id: str
    attempt: int
    endpoint: str
    fresh_connection: bool
    timeout_seconds: float


class FinishCall(Action, frozen=True):
    """Answer the caller of a service.

    Without an error, the caller receives ``kept``, the stored reply of
    another call of the same operation, if it is set, and otherwise the reply
    of the last attempt.
    """

    request_id: str
    error: StepError | None = None
    kept: KeptReply | None = None
    retry_after_seconds: float = 0


class InsertClaim(Action, frozen=True):
    """Insert a claim row; fail if a row with its key exists."""

    request_id: str
    row: ClaimRow


class ReadClaim(Action, frozen=True):
    """Read another call's claim row for the same operation."""

    request_id: str
    key: str


class ReleaseClaim(Action, frozen=True):
    """Delete a claim row if it still has this call's token."""

    row: ClaimRow


class RecordOutcome(Action, frozen=True):
    """Write the outcome of a claimed call to its row.

    For ``ClaimState.DONE``, the runtime adds the reply of the last
    attempt.
    """

    request_id: str
    row: ClaimRow
    state: ClaimState


class ProbeEndpoint(Action, frozen=True):
    """Check whether an ejected endpoint is healthy again."""

    endpoint: str


class Note(Action, frozen=True):
    """Record a change of state in the timeline and the log."""

    kind: str
    peer: str = ''
    request_id: str = ''
    detail: str = ''


AnyAction = (
    SendStep
    | CancelStream
    | EmitToken
    | FinishGeneration
    | SendCall
    | FinishCall
    | InsertClaim
    | ReadClaim
    | ReleaseClaim
    | RecordOutcome
    | ProbeEndpoint
    | Note
)
