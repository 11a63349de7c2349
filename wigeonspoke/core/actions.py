"""Actions that the router asks its surroundings to carry out."""

import msgspec

from wigeonspoke.core.claims.records import ClaimRow, ClaimState, KeptReply
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.outcomes import StepError


class Action(msgspec.Struct, frozen=True, tag=True):
    """The base of all actions."""


class SendStep(Action, frozen=True):
    """Run one step of a stream at an endpoint.

    ``inputs`` are tokens for the stage with the first layer and activations
    for the others.  ``position`` is how many inputs the stage has already
    taken in this attempt, and 0 opens the stream there.
    """

    endpoint: str
    key: StepKey
    layers: LayerRange
    position: int
    inputs: tuple[int, ...]
    timeout_seconds: float


class CancelStream(Action, frozen=True):
    """Free the state of one attempt at an endpoint."""

    endpoint: str
    request_id: str
    attempt: int


class EmitToken(Action, frozen=True):
    """Hand the caller the token at ``index`` of its answer."""

    request_id: str
    index: int
    token: int


class FinishGeneration(Action, frozen=True):
    """End a generated answer.

    ``error`` is ``None`` for a whole answer.  ``retry_after_seconds`` tells
    a refused caller when to come back.
    """

    request_id: str
    finish: str
    error: StepError | None = None
    retry_after_seconds: float = 0


class SendCall(Action, frozen=True):
    """Send a call to a service replica.

    ``fresh_connection`` asks for a new connection, on which it can be told
    whether a byte of the call left.
    """

    request_id: str
    try_number: int
    endpoint: str
    fresh_connection: bool
    timeout_seconds: float


class FinishCall(Action, frozen=True):
    """Answer the caller of a service.

    Without an error, the caller gets ``kept`` if it is set and the reply of
    the last try otherwise.
    """

    request_id: str
    error: StepError | None = None
    kept: KeptReply | None = None
    retry_after_seconds: float = 0


class InsertClaim(Action, frozen=True):
    """Insert a claim row that must not exist yet."""

    request_id: str
    row: ClaimRow


class ReadClaim(Action, frozen=True):
    """Read the claim row that stands in a call's way."""

    request_id: str
    key: str


class ReleaseClaim(Action, frozen=True):
    """Delete a claim row if it still carries this call's token."""

    row: ClaimRow


class RecordOutcome(Action, frozen=True):
    """Write the end of a claimed call into its row.

    For ``ClaimState.DONE`` the surroundings add the reply of the last try.
    """

    request_id: str
    row: ClaimRow
    state: ClaimState


class ProbeEndpoint(Action, frozen=True):
    """Ask an ejected endpoint whether it is healthy again."""

    endpoint: str


class Note(Action, frozen=True):
    """Put a change of state on the time line and into the log."""

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
