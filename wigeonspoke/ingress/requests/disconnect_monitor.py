"""Detection of clients that disconnect while their request is served."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.hubs import trampoline

from wigeonspoke.transport import peek


class DisconnectMonitor:
    """Calls ``on_disconnect`` once when a client closes its connection.

    Pipelined bytes of a next request end the monitoring, because the end of
    the stream cannot be seen behind them.
    """

    __slots__ = ('greenlet', 'is_disconnected', 'on_disconnect', 'sock')

    def __init__(self, environ: dict[str, Any]) -> None:
        # Reads on the green socket block; the underlying one is non-blocking.
        self.sock: socket.socket = environ['eventlet.input'].get_socket().fd
        self.is_disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.greenlet = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Stop monitoring."""
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
