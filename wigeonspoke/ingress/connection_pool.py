"""Connections to endpoints that are kept for the next request.

The load pattern it answers: a head of a chain gets many short streams a
second from each node, and each new connection costs it and the node time.
Only connections that a whole answer has left clean are kept, and only for a
moment, so that a connection that broke meanwhile is met rarely; what must
not run twice never goes over one.
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
    until: float


class ConnectionPool:
    """Open connections by peer, the one used last first."""

    __slots__ = ('by_peer',)

    def __init__(self) -> None:
        self.by_peer: dict[str, deque[_IdleConnection]] = defaultdict(deque)

    def take(self, peer: str) -> green_socket.socket | None:
        """Give a connection on which the peer has said nothing since."""
        idle = self.by_peer.get(peer)
        while idle:
            newest = idle.pop()
            is_quiet = peek(newest.sock.fd) is None
            if is_quiet and newest.until > time.monotonic():
                return newest.sock
            _close(newest.sock)
        return None

    def put(
        self,
        peer: str,
        sock: green_socket.socket,
        seconds: float,
    ) -> None:
        """Keep a connection for at most so long."""
        idle = self.by_peer[peer]
        until = time.monotonic() + min(MAX_IDLE_SECONDS, seconds)
        idle.append(_IdleConnection(sock, until))
        if len(idle) > MAX_IDLE_PER_PEER:
            _close(idle.popleft().sock)

    def run(self) -> None:
        """Close what was kept long enough, for ever."""
        while True:
            eventlet.sleep(SWEEP_SECONDS)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        """Close what was kept long enough."""
        for peer, idle in list(self.by_peer.items()):
            while idle and idle[0].until <= now:
                _close(idle.popleft().sock)
            if not idle:
                self.by_peer.pop(peer)


def _close(sock: green_socket.socket) -> None:
    with suppress(OSError):
        sock.close()
