"""Watching whether a client is still there while its request is served."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from wigeonspoke.transport import peek


class ClientWatch:
    """Calls back once when a client closes its connection.

    Bytes of a next request end the watch: behind them the end of the
    connection cannot be seen.
    """

    __slots__ = ('has_left', 'on_left', 'sock', 'watcher')

    def __init__(self, environ: dict[str, Any]) -> None:
        # The green socket would wait for bytes; the one under it does not.
        self.sock: socket.socket = environ['eventlet.input'].get_socket().fd
        self.has_left = False
        self.on_left: Callable[[], None] | None = None
        self.watcher = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """End the watch."""
        self.watcher.kill()

    def _watch(self) -> None:
        while not self._sees_end():
            trampoline(self.sock, read=True)
            if self._sees_request():
                return
        self.has_left = True
        if self.on_left is not None:
            self.on_left()

    def _sees_request(self) -> bool:
        return bool(peek(self.sock))

    def _sees_end(self) -> bool:
        return peek(self.sock) == b''
