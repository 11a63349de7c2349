"""Reading of whole bodies, in memory that all requests share."""

import time
from collections.abc import Callable, Iterator
from functools import partial

from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.body_memory import HeldBody
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.transport import BodyEnd, ReadTimeout

MAX_BODY_BYTES = 16777216
# How long a body waits for memory at most before its attempt is looked at.
CHECK_SECONDS = 0.05
# A body is sent on in parts of this size: the part being sent is copied.
SENT_BYTES = 65536

ReadPart = Callable[[], bytes | BodyEnd]


class BodyReader:
    """Reads the bodies of the answers to one request.

    They are held until :meth:`release`, which is due when the response to the
    client is sent; one that is not complete is held no longer.
    """

    __slots__ = ('held', 'state')

    def __init__(self, state: IngressState) -> None:
        self.state = state
        self.held: list[HeldBody] = []

    def read(
        self,
        attempt: EndpointAttempt,
        deadline: float,
        read_part: ReadPart | None = None,
    ) -> bytes:
        """Read a complete body, up to the size limit.

        ``read_part`` reads the next part, by default until the deadline.

        Raises
        ------
        AttemptError
            The body is too large or broken off.
        ReadTimeout
            The deadline has passed, also while the body waited for memory.
        """
        read_part = read_part or partial(attempt.read_body_part, deadline)
        body = self.state.memory.begin(attempt.peer)
        self.held.append(body)
        try:
            return b''.join(
                self._read_parts(attempt, deadline, body, read_part)
            )
        except BaseException:
            self._release(body)
            raise

    def release(self) -> None:
        """Hold the bodies no longer."""
        for body in tuple(self.held):
            self._release(body)

    def _read_parts(
        self,
        attempt: EndpointAttempt,
        deadline: float,
        body: HeldBody,
        read_part: ReadPart,
    ) -> Iterator[bytes]:
        memory = self.state.memory
        while True:
            if memory.has_room(body):
                memory.end_wait(body)
            elif not memory.may_grow(body):
                self._wait(attempt, deadline, body)
            part = read_part()
            if isinstance(part, BodyEnd):
                return
            memory.add(body, len(part))
            if body.size > MAX_BODY_BYTES:
                raise _too_large_error(attempt.peer)
            yield part

    def _wait(
        self, attempt: EndpointAttempt, deadline: float, body: HeldBody
    ) -> None:
        """Wait for memory; go on at once if the attempt was given up.

        What the endpoint sends after the deadline is not read: the others that
        wait would get the memory too late, one after the other.
        """
        memory = self.state.memory
        self.state.count_event('body-waits')
        self.state.log.write(
            'body-waits',
            peer=attempt.peer,
            body_bytes=body.size,
            peer_bytes=memory.by_peer[body.peer],
            held_bytes=memory.held_bytes,
            waiting=len(memory.waiting),
        )
        memory.wait(body)
        while not memory.may_grow(body) and time.monotonic() < deadline:
            if attempt.is_given_up:
                return
            self.state.memory_news.wait(CHECK_SECONDS)
        if time.monotonic() >= deadline:
            raise ReadTimeout

    def _release(self, body: HeldBody) -> None:
        self.held.remove(body)
        memory = self.state.memory
        memory.release(body)
        if memory.waiting:
            self.state.memory_news.wake()


def split_body(body: bytes) -> Iterator[bytes]:
    """Yield the parts in which a body is sent on; an empty one has one."""
    if len(body) <= SENT_BYTES:
        yield body
        return
    view = memoryview(body)
    for start in range(0, len(body), SENT_BYTES):
        yield bytes(view[start : start + SENT_BYTES])


def _too_large_error(peer: str) -> AttemptError:
    return AttemptError(
        StepError(Outcome.UNKNOWN, Reason.TOO_LARGE, 'answer', peer)
    )
