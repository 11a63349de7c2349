"""Memory for bodies, which all requests of a node share.

A limit for each body does not limit a node: many large ones at once, from one
faulty endpoint or from many clients, exceed its memory.  The memory is shared
by dynamic thresholds, as in packet switches with a shared buffer (Choudhury and
Hahne, "Dynamic queue length thresholds for shared-memory packet switches",
1998): a peer may hold as much as is still free.  One peer can hold a half of
the memory, two a third each, and some is always left for the others.

A body beyond its threshold is not read on for a time, which is no fault of its
peer.  The one that has waited longest may always go on, so that bodies do not
wait for each other.  A node therefore holds at most its capacity and one body
of the largest size, beside the small bytes of each.
"""

from collections import Counter

# Bytes that any answer may have, however little memory is free.
SMALL_ANSWER_BYTES = 65536
# The same for a request: there may be as many as a listener has connections.
SMALL_REQUEST_BYTES = 16384
# Parts of a node's memory for bodies.  Copies are made of one at a time.
ANSWER_MEMORY_FRACTION = 0.25
REQUEST_MEMORY_FRACTION = 0.125
BYTES_PER_MEGABYTE = 1048576
# What the first body in line must bring within a time, in seconds, while others
# wait for it.
CHECK_SECONDS = 1.0
CHECK_BYTES = 16384


class HeldBody:
    """A body that is received, or held until it is sent on."""

    __slots__ = ('checked_at', 'checked_size', 'peer', 'size')

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.size = 0
        # When its progress as the first in line was last checked, on the
        # monotonic clock, and its size then.
        self.checked_at: float | None = None
        self.checked_size = 0


class BodyMemory:
    """The bytes held of bodies, by the address of the peer that sent them.

    ``small_bytes`` is the size below which a body may always grow.

    >>> memory = BodyMemory(capacity_bytes=1000000, small_bytes=65536)
    >>> body = memory.begin('10.0.0.1:80')
    >>> memory.add(body, 600000)
    >>> memory.may_grow(body)
    False
    """

    __slots__ = (
        'by_peer',
        'capacity_bytes',
        'held_bytes',
        'small_bytes',
        'waiting',
    )

    def __init__(self, capacity_bytes: float, small_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.small_bytes = small_bytes
        self.held_bytes = 0
        self.by_peer: Counter[str] = Counter()
        # Bodies that wait for memory, in the order in which they began to.
        self.waiting: dict[HeldBody, None] = {}

    @property
    def free_bytes(self) -> float:
        """Bytes that are not held."""
        return self.capacity_bytes - self.held_bytes

    def begin(self, peer: str) -> HeldBody:
        """Begin to hold a body."""
        return HeldBody(peer)

    def add(self, body: HeldBody, size: int) -> None:
        """Hold further bytes of a body."""
        body.size += size
        self.held_bytes += size
        self.by_peer[body.peer] += size

    def has_room(self, body: HeldBody) -> bool:
        """Return whether a body is within its threshold."""
        if body.size < self.small_bytes:
            return True
        return self.by_peer[body.peer] < self.free_bytes

    def is_first(self, body: HeldBody) -> bool:
        """Return whether a body is the first in line."""
        return body is next(iter(self.waiting), None)

    def may_grow(self, body: HeldBody) -> bool:
        """Return whether more of a body may be received now."""
        return self.has_room(body) or self.is_first(body)

    def wait(self, body: HeldBody) -> None:
        """Put a body in the line of those that wait, if it is not there."""
        self.waiting.setdefault(body)

    def end_wait(self, body: HeldBody) -> None:
        """Take a body out of the line."""
        self.waiting.pop(body, None)
        body.checked_at = None

    def is_stalled(self, body: HeldBody, now: float) -> bool:
        """Return whether the first in line makes too little progress.

        It is not while no other body waits for it.
        """
        is_due = (
            body.checked_at is not None
            and now - body.checked_at >= CHECK_SECONDS
        )
        gained_bytes = body.size - body.checked_size
        if body.checked_at is None or is_due:
            body.checked_at = now
            body.checked_size = body.size
        return is_due and gained_bytes < CHECK_BYTES and len(self.waiting) > 1

    def release(self, body: HeldBody) -> None:
        """Hold a body no longer; repeating it has no effect."""
        self.end_wait(body)
        self.held_bytes -= body.size
        self.by_peer[body.peer] -= body.size
        if not self.by_peer[body.peer]:
            self.by_peer.pop(body.peer)
        body.size = 0


def answer_capacity(memory_megabytes: float) -> float:
    """Return the bytes for bodies of answers at a node with some memory."""
    return ANSWER_MEMORY_FRACTION * memory_megabytes * BYTES_PER_MEGABYTE


def request_capacity(memory_megabytes: float) -> float:
    """Return the bytes for bodies of requests at a node with some memory."""
    return REQUEST_MEMORY_FRACTION * memory_megabytes * BYTES_PER_MEGABYTE
