"""Pool of idle connections to endpoints.

The head of a chain receives many short streams per second from each node, and
each new connection takes time at both ends.  Only connections on which a
response was read completely are kept, and only briefly, so that few of them
have been closed meanwhile.  Requests that must not run twice never use one.
"""

import time
from collections import defaultdict, deque
from contextlib import suppress

import eventlet
import msgspec
from eventlet.green import socket as green_socket

from wigeonspoke.transport import peek

MAX_IDLE_SECONDS = 2.0
SWEEP_SECONDS = 0.5
MAX_IDLE_PER_PEER = 16


class _IdleConnection(msgspec.Struct):
    sock: green_socket.socket
    expires_at: float


class ConnectionPool:
    """Idle connections by peer; the most recently used is taken first."""

    __slots__ = ('by_peer',)

    def __init__(self) -> None:
        self.by_peer: dict[str, deque[_IdleConnection]] = defaultdict(deque)

    def take(self, peer: str) -> green_socket.socket | None:
        """Return an open idle connection without unread data, or None."""
        idle = self.by_peer.get(peer)
        while idle:
            newest = idle.pop()
            is_quiet = peek(newest.sock.fd) is None
            if is_quiet and newest.expires_at > time.monotonic():
                return newest.sock
            _close(newest.sock)
        return None

    def put(
        self,
        peer: str,
        sock: green_socket.socket,
        max_seconds: float,
    ) -> None:
        """Keep a connection for at most ``max_seconds``."""
        idle = self.by_peer[peer]
        expires_at = time.monotonic() + min(MAX_IDLE_SECONDS, max_seconds)
        idle.append(_IdleConnection(sock, expires_at))
        if len(idle) > MAX_IDLE_PER_PEER:
            _close(idle.popleft().sock)

    def run(self) -> None:
        """Close expired connections periodically; never returns."""
        while True:
            eventlet.sleep(SWEEP_SECONDS)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        """Close expired connections."""
        for peer, idle in list(self.by_peer.items()):
            while idle and idle[0].expires_at <= now:
                _close(idle.popleft().sock)
            if not idle:
                self.by_peer.pop(peer)


def _close(sock: green_socket.socket) -> None:
    with suppress(OSError):
        sock.close()
