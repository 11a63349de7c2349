"""Waits for an answer while checking that the caller is still connected."""

import socket
import time
from collections.abc import Iterable

from eventlet.queue import Empty, LightQueue
from werkzeug.wrappers import Request

from wigeonspoke.core.actions import EmitToken, FinishCall, FinishGeneration

CHECK_INTERVAL_SECONDS = 0.25

ResponseAction = EmitToken | FinishGeneration | FinishCall


class CallerDisconnected(Exception):
    """The caller closed its connection before the answer was complete."""


class CallerWatch:
    """Reads parts of an answer from a queue while the caller is connected.

    The connection is checked at a fixed interval, even while parts arrive
    without a pause: a complete response is written only at the end, so no
    earlier write would reveal a closed connection.
    """

    __slots__ = ('checked_at', 'raw_socket')

    def __init__(self, request: Request) -> None:
        wsgi_input = request.environ['eventlet.input']
        # GreenSocket.recv waits for data; the underlying socket does not block.
        self.raw_socket: socket.socket = wsgi_input.get_socket().fd
        self.checked_at = time.monotonic()

    def next_parts(self, queue: LightQueue) -> Iterable[ResponseAction]:
        """Return all queued parts; wait if there is none.

        Raises
        ------
        CallerDisconnected
            The caller closed the connection.
        """
        parts = [self._wait_for_part(queue)]
        while not queue.empty():
            parts.append(queue.get())
        if time.monotonic() - self.checked_at >= CHECK_INTERVAL_SECONDS:
            self._check_connection()
        return parts

    def _wait_for_part(self, queue: LightQueue) -> ResponseAction:
        while True:
            try:
                return queue.get(timeout=CHECK_INTERVAL_SECONDS)
            except Empty:
                self._check_connection()

    def _check_connection(self) -> None:
        self.checked_at = time.monotonic()
        try:
            peeked = self.raw_socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerDisconnected from error
        if not peeked:
            raise CallerDisconnected
