"""Records that nodes exchange."""

import enum

import msgspec


@enum.unique
class MarkState(enum.StrEnum):
    """What operators want of an endpoint."""

    ACTIVE = 'active'
    DRAIN = 'drain'
    STOP = 'stop'


class EndpointMark(msgspec.Struct, frozen=True):
    """An operator's mark on an endpoint, with its version."""

    endpoint: str
    state: MarkState
    version: int


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """How many streams are open at an endpoint.

    ``index`` is the endpoint's place in the configuration of the report's
    generation, which is far shorter than its name.
    """

    index: int
    streams: int


class PeerReport(msgspec.Struct, frozen=True, array_like=True):
    """A node's load, as it tells its peers.

    ``incarnation`` is greater at each start, so that a restarted node is not
    taken for its former self; ``sequence`` rises within one incarnation.
    ``loads`` are this node's streams on engines that are not its own,
    ``own_loads`` all streams on some of its own, in turn.
    """

    node: str
    failure_domain: str
    incarnation: str
    sequence: int
    generation: int
    loads: tuple[EndpointLoad, ...]
    own_loads: tuple[EndpointLoad, ...] = ()
    round_seconds: float = 0.25


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Where a node listens for peers."""

    address: str
    failure_domain: str


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """A node that did not answer, and its last report that was heard.

    A later report of the node refutes it.
    """

    node: str
    incarnation: str
    sequence: int


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """What one node tells another.

    ``marks`` are left out while the other has the same, by its digest.
    """

    report: PeerReport
    address: str
    marks_digest: str
    marks: tuple[EndpointMark, ...] = ()
    contacts: tuple[Contact, ...] = ()
    departures: tuple[Departure, ...] = ()
