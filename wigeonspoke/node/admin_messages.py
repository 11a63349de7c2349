"""Messages of the administration interface."""

import msgspec

from wigeonspoke.config import Questionnaire, Revision
from wigeonspoke.core.membership import MarkState
from wigeonspoke.observe import TimelineEvent


class ApplyRequest(msgspec.Struct, frozen=True):
    """Answers to put in force, and the generation they were planned on."""

    base: int
    answers: str
    who: str = 'operator'


class ActiveAnswers(msgspec.Struct, frozen=True):
    """The answers in force and the latest revisions."""

    generation: int
    history: tuple[Revision, ...]
    answers: Questionnaire | None = None


class ApplyResult(msgspec.Struct, frozen=True):
    """The generation that answers became."""

    generation: int


class MarkRequest(msgspec.Struct, frozen=True):
    """The version of the mark that the operator last saw, 0 for none."""

    seen: int | None = None


class EndpointStatus(msgspec.Struct, frozen=True):
    """An endpoint as one node sees it.

    ``streams`` counts this node's and its peers' work there; a stopping
    endpoint is ``empty`` when there is none left.
    """

    name: str
    failure_domain: str
    mark: MarkState
    mark_version: int
    health: str
    reason: str
    streams: int
    empty: bool


class NodeStatus(msgspec.Struct, frozen=True):
    """A node's state."""

    node: str
    failure_domain: str
    incarnation: str
    generation: int
    ready: bool
    store_reached: bool
    peers: tuple[str, ...]
    open_requests: int
    open_calls: int
    endpoints: tuple[EndpointStatus, ...]


class TimelinePage(msgspec.Struct, frozen=True):
    """The events of one process."""

    node: str
    events: tuple[TimelineEvent, ...]
