"""Limits of a listener on its clients, and which of them is exceeded."""

import math

import msgspec

from wigeonspoke.transport.client_connection import ClientConnection, Phase


class ListenerLimits(msgspec.Struct, frozen=True):
    """Limits on what a listener accepts from its clients.

    ``connections`` limits the open connections and, if there are many, the
    queue of connections not accepted yet; ``header_bytes`` limits the size of a
    request's head.

    Each phase of a connection has a limit of its own, in seconds:
    ``idle_seconds`` until the next request begins, ``head_seconds`` for the
    whole head of a request, ``body_seconds`` for each read of its body, and
    ``write_seconds`` for each write of its response.  How long a response may
    take to begin is up to the application.

    ``version`` is that of the configuration they come from.
    """

    connections: int = 1024
    header_bytes: int = 65536
    idle_seconds: float = 60.0
    head_seconds: float = 10.0
    body_seconds: float = 10.0
    write_seconds: float = 30.0
    version: int = 0


class LimitHistory:
    """The limits in force, and since when the idle limit is as short as it is.

    Requests keep the limits under which they began.  The idle limit is always
    the one in force: a longer one holds at once, since clients go by it, and a
    shorter one counts from when it came into force.
    """

    __slots__ = ('idle_shortened_at', 'limits')

    def __init__(self, limits: ListenerLimits) -> None:
        self.limits = limits
        self.idle_shortened_at = -math.inf

    def replace(self, limits: ListenerLimits, now: float) -> None:
        """Put other limits into force."""
        if limits.idle_seconds < self.limits.idle_seconds:
            self.idle_shortened_at = now
        self.limits = limits

    def is_overdue(self, client: ClientConnection, now: float) -> bool:
        """Return whether a connection is idle or in a head for too long."""
        if client.phase is Phase.IDLE:
            idle_since = max(client.since, self.idle_shortened_at)
            return now - idle_since > self.limits.idle_seconds
        if client.phase is Phase.HEAD:
            return now - client.since > client.limits.head_seconds
        return False
