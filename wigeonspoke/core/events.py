"""Events that the router handles.

Each event is an immutable record of something that happened outside the core,
such as a request, a reply of an endpoint or a timer.
"""

import msgspec

from wigeonspoke.core.claims.records import ClaimAnswer, ClaimRow
from wigeonspoke.core.deployment import Configuration
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.membership.records import (
    Departure,
    EndpointMark,
    PeerReport,
)
from wigeonspoke.core.outcomes import Outcome, Reason


class Event(msgspec.Struct, frozen=True, tag=True):
    """Base class of all events."""


class ConfigurationAdopted(Event, frozen=True):
    """A configuration was received from the store or a peer."""

    configuration: Configuration


class MarksReceived(Event, frozen=True):
    """Endpoint marks were received from the store or a peer."""

    marks: tuple[EndpointMark, ...]


class LeavingHostsListed(Event, frozen=True):
    """The platform listed these addresses as leaving.

    An address is an IP address, which matches every endpoint there, or an IP
    address with a port.
    """

    leaving: tuple[str, ...]


class PeerReported(Event, frozen=True):
    """A load report was received from a peer."""

    report: PeerReport


class PeersDeparted(Event, frozen=True):
    """Peers did not answer this node or another one."""

    departures: tuple[Departure, ...]


class GenerationRequested(Event, frozen=True):
    """A caller requested generation of an answer to ``prompt``."""

    request_id: str
    account: str
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    interactive: bool = True


class StepReplied(Event, frozen=True):
    """An endpoint returned the result of a step.

    ``outputs`` holds one activation per input.  ``token`` is set only by the
    stage that holds the last layer.
    """

    key: StepKey
    endpoint: str
    outputs: tuple[int, ...]
    token: int | None


class StepFailed(Event, frozen=True):
    """A step ended without a result."""

    key: StepKey
    endpoint: str
    outcome: Outcome
    reason: Reason


class CallRequested(Event, frozen=True):
    """A caller called a plain service.

    ``identity`` is the caller's idempotency key, which identifies the
    operation if it must not be repeated.  ``claim_token`` is a random string
    that is unique to this call.
    """

    request_id: str
    account: str
    service: str
    method: str
    path: str
    identity: str
    body_digest: str
    claim_token: str


class CallReplied(Event, frozen=True):
    """A service replica answered an attempt."""

    request_id: str
    attempt: int
    endpoint: str
    status: int


class CallFailed(Event, frozen=True):
    """An attempt of a call ended without an answer."""

    request_id: str
    attempt: int
    endpoint: str
    outcome: Outcome
    reason: Reason


class ClaimAnswered(Event, frozen=True):
    """An insertion or a read of a claim row ended."""

    request_id: str
    answer: ClaimAnswer
    row: ClaimRow | None = None


class CallerGone(Event, frozen=True):
    """The caller closed its connection before the answer was complete."""

    request_id: str


class ProbeCompleted(Event, frozen=True):
    """A health probe of an ejected endpoint ended."""

    endpoint: str
    healthy: bool


class StopRequested(Event, frozen=True):
    """The node must finish open requests and refuse new ones."""


class TimerFired(Event, frozen=True):
    """The periodic timer fired."""


AnyEvent = (
    ConfigurationAdopted
    | MarksReceived
    | LeavingHostsListed
    | PeerReported
    | PeersDeparted
    | GenerationRequested
    | StepReplied
    | StepFailed
    | CallRequested
    | CallReplied
    | CallFailed
    | ClaimAnswered
    | CallerGone
    | ProbeCompleted
    | StopRequested
    | TimerFired
)
