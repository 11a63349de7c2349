"""Waiting for an answer while watching whether the caller is still there."""

import socket
import time
from collections.abc import Iterable

from eventlet.queue import Empty, LightQueue
from werkzeug.wrappers import Request

from wigeonspoke.core.actions import EmitToken, FinishCall, FinishGeneration

WATCH_SECONDS = 0.25

Part = EmitToken | FinishGeneration | FinishCall


class CallerLeft(Exception):
    """The caller closed its connection."""


class CallerWatch:
    """Takes parts of an answer from a queue as long as the caller stays.

    It looks a few times a second, also when parts come without a pause,
    since a whole answer is written only at its end.
    """

    __slots__ = ('checked_at', 'sock')

    def __init__(self, request: Request) -> None:
        source = request.environ['eventlet.input']
        # The green socket would wait for bytes; the one under it does not.
        self.sock: socket.socket = source.get_socket().fd
        self.checked_at = time.monotonic()

    def next_parts(self, answers: LightQueue) -> Iterable[Part]:
        """Give all parts that are there, waiting for the first.

        Raises
        ------
        CallerLeft
            The connection was closed from the other side.
        """
        parts = [self._wait(answers)]
        while not answers.empty():
            parts.append(answers.get())
        if time.monotonic() - self.checked_at >= WATCH_SECONDS:
            self._check()
        return parts

    def _wait(self, answers: LightQueue) -> Part:
        while True:
            try:
                return answers.get(timeout=WATCH_SECONDS)
            except Empty:
                self._check()

    def _check(self) -> None:
        self.checked_at = time.monotonic()
        try:
            peeked = self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerLeft from error
        if not peeked:
            raise CallerLeft
