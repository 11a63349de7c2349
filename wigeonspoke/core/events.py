"""Events that the router handles.

Each event is a small immutable record of something that happened outside:
a caller asked, an endpoint answered, a timer fired.
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
    """The base of all events."""


class ConfigurationAdopted(Event, frozen=True):
    """A configuration reached this node from the store or a peer."""

    configuration: Configuration


class MarksReceived(Event, frozen=True):
    """Endpoint marks reached this node from the store or a peer."""

    marks: tuple[EndpointMark, ...]


class LeavingHostsListed(Event, frozen=True):
    """The platform's list names these addresses as leaving.

    An address is an IP number, which stands for every endpoint there, or an
    IP number with a port.
    """

    leaving: tuple[str, ...]


class PeerReported(Event, frozen=True):
    """A peer told its load."""

    report: PeerReport


class PeersDeparted(Event, frozen=True):
    """Peers did not answer this node or another one."""

    departures: tuple[Departure, ...]


class GenerationRequested(Event, frozen=True):
    """A caller asks for a generated answer to ``prompt``."""

    request_id: str
    account: str
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    interactive: bool = True


class StepReplied(Event, frozen=True):
    """An endpoint ran a step.

    ``outputs`` holds one activation for each input; ``token`` is set by the
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
    """A caller calls a plain service.

    ``identity`` is the value that identifies an operation that may not be
    repeated, ``claim_token`` a random string that only this call knows.
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
    """A service replica answered a try."""

    request_id: str
    try_number: int
    endpoint: str
    status: int


class CallFailed(Event, frozen=True):
    """A try of a call ended without an answer."""

    request_id: str
    try_number: int
    endpoint: str
    outcome: Outcome
    reason: Reason


class ClaimAnswered(Event, frozen=True):
    """The table answered the insertion or the reading of a claim."""

    request_id: str
    answer: ClaimAnswer
    row: ClaimRow | None = None


class CallerGone(Event, frozen=True):
    """The caller closed its connection before the answer was whole."""

    request_id: str


class ProbeAnswered(Event, frozen=True):
    """A health probe of an ejected endpoint ended."""

    endpoint: str
    healthy: bool


class StopRequested(Event, frozen=True):
    """The node is to finish what it has and take no new requests."""


class TimerFired(Event, frozen=True):
    """Time has passed."""


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
    | ProbeAnswered
    | StopRequested
    | TimerFired
)
