"""Why a request may not be sent to a run of an endpoint."""

import enum

import msgspec


@enum.unique
class ObstacleReason(enum.StrEnum):
    """What keeps a node from sending to a run of an endpoint."""

    LEAVING = 'leaving'
    BACKOFF = 'backoff'
    LIMIT = 'limit'


class Obstacle(msgspec.Struct, frozen=True):
    """Why a node may not send now, and from when on it may again.

    ``until`` is on the monotonic clock, and infinite if nothing tells when.
    """

    reason: ObstacleReason
    until: float
