"""Watching whether a client is still there while its request is served."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from wigeonspoke.transport import peek


class DisconnectMonitor:
    """Calls back once when a client closes its connection.

    Bytes of a next request end the watch: behind them the end of the
    connection cannot be seen.
    """

    __slots__ = ('greenlet', 'is_disconnected', 'on_disconnect', 'sock')

    def __init__(self, environ: dict[str, Any]) -> None:
        # The green socket would wait for bytes; the one under it does not.
        self.sock: socket.socket = environ['eventlet.input'].get_socket().fd
        self.is_disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.greenlet = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """End the watch."""
        self.greenlet.kill()

    def _watch(self) -> None:
        while not self._has_closed():
            trampoline(self.sock, read=True)
            if self._has_pending_bytes():
                return
        self.is_disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    def _has_pending_bytes(self) -> bool:
        return bool(peek(self.sock))

    def _has_closed(self) -> bool:
        return peek(self.sock) == b''
