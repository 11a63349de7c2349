"""The connection of one client to a listener, and how it ended."""

import enum
import time
from typing import Protocol

import msgspec


# Bytes of a body that count as progress: a byte now and then does not.
PROGRESS_BYTES = 1024


class Phase(enum.StrEnum):
    """What a connection is occupied with."""

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    # The request is complete, and its response has not begun.
    WAITING = 'waiting'
    WRITING = 'writing'


class EndCause(enum.StrEnum):
    """Why a connection ended."""

    # The client closed it, or it broke.
    CLIENT = 'client'
    # The last response was complete and announced the end.
    COMPLETE = 'complete'
    LIMIT = 'limit'
    # Its place was needed for another client.
    PLACE = 'place'
    STOP = 'stop'
    # The head of a request cannot be parsed; the response says so.
    REJECTED = 'rejected'
    # The application ended a response that it cannot complete.
    ABORTED = 'aborted'
    # An unforeseen error of the application or the server.
    ERROR = 'error'


class ConnectionEnd(msgspec.Struct, frozen=True):
    """How a connection ended.

    ``quiet_seconds`` is the time since the phase began or, while a response
    is written, since its last part.  ``limit_seconds`` is the limit that was
    exceeded, if any, and ``version`` the version of the configuration it comes
    from.  ``request_id`` is that of the request, if the phase has one.
    """

    phase: Phase
    cause: EndCause
    quiet_seconds: float
    limit_seconds: float | None
    version: int
    request_id: str
    problem: str

    @property
    def is_regular(self) -> bool:
        """Return whether no request or response was affected."""
        if self.cause is EndCause.CLIENT:
            return self.phase is Phase.IDLE
        return self.cause is EndCause.COMPLETE


class OpenBody(Protocol):
    """The body of a request that is being read."""

    def give_up(self) -> bool:
        """Refuse the body if it waits for memory; return whether it does."""


class RequestLimits(Protocol):
    """Limits on a request: the size of its head, and each phase in seconds."""

    header_bytes: int
    head_seconds: float
    body_seconds: float
    write_seconds: float
    version: int


class ClientConnection:
    """What a connection is occupied with, and why it ends.

    ``limits`` are those under which the current or last request began, and
    ``since`` is when the phase began.  ``progress_at`` is since when the client
    has sent nothing that counts.  ``answered`` is how many requests were
    answered.  Only the first cause counts: what
    follows from it, such as an error of a later write, tells nothing new.
    """

    __slots__ = (
        'address',
        'answered',
        'body',
        'cause',
        'is_closing',
        'limit_seconds',
        'limits',
        'phase',
        'problem',
        'progress_at',
        'progress_bytes',
        'request_id',
        'since',
        'version',
    )

    def __init__(self, limits: RequestLimits, address: str = '') -> None:
        self.limits = limits
        self.address = address
        self.answered = 0
        # The body of the current or last request, None before the first one.
        self.body: OpenBody | None = None
        # Whether only what a refused client still sends is dropped.
        self.is_closing = False
        # Bytes of a body since ``progress_at``.
        self.progress_bytes = 0
        self.phase = Phase.IDLE
        self.since = time.monotonic()
        self.progress_at = self.since
        self.cause: EndCause | None = None
        self.problem = ''
        self.limit_seconds: float | None = None
        self.version = limits.version
        self.request_id = ''

    def begin_request(self, limits: RequestLimits) -> None:
        """Begin the head of a request, which keeps its limits."""
        self.limits = limits
        self.enter(Phase.HEAD)

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase
        self.since = time.monotonic()
        self.progress_at = self.since

    def record_body(self, size: int) -> None:
        """Record that a part of the request's body was received."""
        self.progress_bytes += size
        if self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = 0
            self.progress_at = time.monotonic()

    def record_progress(self) -> None:
        """Record that a part of the response was sent."""
        if self.phase is Phase.WRITING and self.cause is None:
            self.since = time.monotonic()

    def end(self, cause: EndCause, problem: str = '') -> None:
        """Record why the connection ends."""
        if self.cause is None:
            self.cause = cause
            self.problem = problem

    def end_by_limit(self, limit_seconds: float, version: int) -> None:
        """Record that a limit ends the connection, and whose it is."""
        if self.cause is None:
            self.limit_seconds = limit_seconds
            self.version = version
        self.end(EndCause.LIMIT)

    def describe_end(self) -> ConnectionEnd:
        """Return how the connection has ended."""
        return ConnectionEnd(
            phase=self.phase,
            cause=self.cause or EndCause.COMPLETE,
            quiet_seconds=time.monotonic() - self.since,
            limit_seconds=self.limit_seconds,
            version=self.version,
            request_id=self.request_id,
            problem=self.problem,
        )
