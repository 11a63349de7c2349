"""Request and response bodies of the operators' API."""

import msgspec

from wigeonspoke.config import Questionnaire, Revision
from wigeonspoke.core.membership import MarkState
from wigeonspoke.observe import TimelineEvent


class ApplyRequest(msgspec.Struct, frozen=True):
    """Questionnaire answers to publish.

    ``answers`` is a document that :func:`read_answers` parses.  ``base`` is
    the generation that they were derived from; a different active generation
    is a conflict.
    """

    base: int
    answers: str
    who: str = 'operator'


class ActiveAnswers(msgspec.Struct, frozen=True):
    """The active questionnaire answers and the latest revisions.

    ``answers`` is ``None`` before the first publication.
    """

    generation: int
    history: tuple[Revision, ...]
    answers: Questionnaire | None = None


class ApplyResult(msgspec.Struct, frozen=True):
    """The generation under which answers were published."""

    generation: int


class MarkRequest(msgspec.Struct, frozen=True):
    """A request to set an endpoint's mark.

    ``seen`` is the version of the mark that the operator last read, 0 if
    there was none; ``None`` skips the check for concurrent changes.
    """

    seen: int | None = None


class EndpointStatus(msgspec.Struct, frozen=True):
    """The state of an endpoint as known to one node.

    ``streams`` counts the streams of this node and its peers at the endpoint.
    ``empty`` means that none is left, so that the endpoint can be stopped.
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
    """The state of a node and of all its endpoints.

    ``store_reached`` tells whether the last poll of the store succeeded.
    """

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
    """The timeline events of one process."""

    node: str
    events: tuple[TimelineEvent, ...]
