"""Waiting for an answer while watching whether the caller is still there."""

import socket
import time
from collections.abc import Iterable

from eventlet.queue import Empty, LightQueue
from werkzeug.wrappers import Request

from wigeonspoke.core.actions import EmitToken, FinishCall, FinishGeneration

CHECK_INTERVAL_SECONDS = 0.25

AnswerEvent = EmitToken | FinishGeneration | FinishCall


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class CallerWatch:
    """Takes parts of an answer from a queue as long as the caller stays.

    It looks a few times a second, also when parts come without a pause,
    since a whole answer is written only at its end.
    """

    __slots__ = ('checked_at', 'raw_socket')

    def __init__(self, request: Request) -> None:
        wsgi_input = request.environ['eventlet.input']
        # The green socket would wait for bytes; the one under it does not.
        self.raw_socket: socket.socket = wsgi_input.get_socket().fd
        self.checked_at = time.monotonic()

    def next_parts(self, queue: LightQueue) -> Iterable[AnswerEvent]:
        """Give all parts that are there, waiting for the first.

        Raises
        ------
        CallerDisconnected
            The connection was closed from the other side.
        """
        parts = [self._wait_for_part(queue)]
        while not queue.empty():
            parts.append(queue.get())
        if time.monotonic() - self.checked_at >= CHECK_INTERVAL_SECONDS:
            self._check_connection()
        return parts

    def _wait_for_part(self, queue: LightQueue) -> AnswerEvent:
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
