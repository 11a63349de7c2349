"""Records in gossip messages."""

import enum

import msgspec


@enum.unique
class MarkState(enum.StrEnum):
    """The state that an operator has set for an endpoint."""

    ACTIVE = 'active'
    DRAIN = 'drain'
    STOP = 'stop'


class EndpointMark(msgspec.Struct, frozen=True):
    """A versioned operator setting for one endpoint."""

    endpoint: str
    state: MarkState
    version: int


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """The number of open streams at an endpoint.

    ``index`` is the position of the endpoint in the configuration of the
    report's generation.  It stands in for the name to keep messages short.
    """

    index: int
    streams: int


class PeerReport(msgspec.Struct, frozen=True, array_like=True):
    """The load that a node reports to its peers.

    ``incarnation`` is greater at each start of the node, so that reports of
    its previous run are recognized as older.  ``sequence`` increases within
    one incarnation.  ``loads`` counts this node's streams on engines that
    other nodes own or that are shared.  ``own_loads`` counts the streams of
    all nodes on some engines that this node owns, chosen in rotation.
    ``round_seconds`` is the node's current time between gossip rounds.
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
    """The address at which a node accepts gossip, and its failure domain."""

    address: str
    failure_domain: str


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """The departure of a node that did not answer.

    ``incarnation`` and ``sequence`` are those of the latest report that the
    departure invalidates.  A later report of the node cancels it.
    """

    node: str
    incarnation: str
    sequence: int


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """A gossip message from one node to another.

    ``address`` is the sender's.  ``marks`` is empty if the recipient's last
    digest equals the sender's.
    """

    report: PeerReport
    address: str
    marks_digest: str
    marks: tuple[EndpointMark, ...] = ()
    contacts: tuple[Contact, ...] = ()
    departures: tuple[Departure, ...] = ()
