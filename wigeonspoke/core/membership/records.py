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


class EndpointLoad(msgspec.Struct, frozen=True):
    """How many streams a node has open at an endpoint."""

    endpoint: str
    streams: int


class PeerReport(msgspec.Struct, frozen=True):
    """A node's load, as it tells its peers.

    ``incarnation`` is new at each start, so that a restarted node is not
    taken for its former self; ``sequence`` rises within one incarnation.
    """

    node: str
    failure_domain: str
    incarnation: str
    sequence: int
    generation: int
    loads: tuple[EndpointLoad, ...]
