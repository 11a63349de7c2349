"""Memory for the bodies of requests, shared by the listeners of a process."""

import http
import time

from eventlet.event import Event

from wigeonspoke.core.body_memory import (
    SMALL_REQUEST_BYTES,
    BodyMemory,
    HeldBody,
)
from wigeonspoke.transport.request_head import RequestError

DEFAULT_CAPACITY_BYTES = 33554432


class MemoryShortError(RequestError):
    """The body of a request was not read in full for want of memory."""

    def __init__(self) -> None:
        super().__init__(http.HTTPStatus.SERVICE_UNAVAILABLE, 'body-memory')


class RequestMemory:
    """Lets bodies wait while others hold the memory."""

    __slots__ = ('bodies', 'events')

    def __init__(self, capacity_bytes: float = DEFAULT_CAPACITY_BYTES) -> None:
        self.bodies = BodyMemory(capacity_bytes, SMALL_REQUEST_BYTES)
        self.events: dict[HeldBody, Event] = {}

    def wait_for_room(self, body: HeldBody, deadline: float) -> None:
        """Wait until more of a body may be received.

        Raises
        ------
        MemoryShortError
            There was none until the deadline, on the monotonic clock, or the
            client uses it too slowly while others wait.
        """
        if not self.bodies.has_room(body):
            self._wait(body, deadline)
            now = time.monotonic()
            is_first = not self.bodies.has_room(body)
            if is_first and self.bodies.is_stalled(body, now):
                raise MemoryShortError
        if self.bodies.has_room(body) and body in self.bodies.waiting:
            self.bodies.end_wait(body)
            self._wake()

    def refuse(self, body: HeldBody) -> bool:
        """Refuse a body if it waits for memory; return whether it does."""
        event = self.events.pop(body, None)
        if event is None:
            return False
        event.send(True)
        return True

    def release(self, body: HeldBody) -> None:
        """Hold a body no longer; repeating it has no effect."""
        has_freed = body.size > 0 or body in self.bodies.waiting
        self.bodies.release(body)
        if has_freed:
            self._wake()

    def _wait(self, body: HeldBody, deadline: float) -> None:
        self.bodies.wait(body)
        while not self.bodies.may_grow(body):
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise MemoryShortError
            event = Event()
            self.events[body] = event
            try:
                is_refused = event.wait(timeout=remaining_seconds)
            finally:
                self.events.pop(body, None)
            if is_refused:
                raise MemoryShortError

    def _wake(self) -> None:
        """Wake the bodies that may grow now."""
        if not self.events:
            return
        for body in self.bodies.waiting:
            if body in self.events and self.bodies.may_grow(body):
                self.events.pop(body).send()
