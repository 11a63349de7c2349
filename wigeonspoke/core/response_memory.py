"""Memory for the bodies of answers, which all requests of a node share.

A limit for each answer does not limit a node: many large answers at once, from
one faulty endpoint, exceed its memory.  The memory is shared by dynamic
thresholds, as in packet switches with a shared buffer (Choudhury and Hahne,
"Dynamic queue length thresholds for shared-memory packet switches", 1998): an
endpoint may hold as much as is still free.  One endpoint can hold a half of
the memory, two a third each, and some is always left for the others.

An answer beyond its threshold is not read on for a time, which is no fault of
its endpoint.  The one that has waited longest may always go on, so that answers
do not wait for each other.  A node therefore holds at most its capacity and one
answer of the largest size, beside the free bytes of each.
"""

from collections import Counter

# Bytes that any answer may have, however little memory is free.
FREE_BYTES = 65536
# Part of a node's memory for bodies.  Copies are made of one at a time.
BODY_MEMORY_FRACTION = 0.25
BYTES_PER_MEGABYTE = 1048576


class HeldBody:
    """A body that is received, or held until it is sent on."""

    __slots__ = ('peer', 'size')

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.size = 0


class ResponseMemory:
    """The bytes held of bodies, by the address of the peer that sent them.

    >>> memory = ResponseMemory(capacity_bytes=1000000)
    >>> body = memory.begin('10.0.0.1:80')
    >>> memory.add(body, 600000)
    >>> memory.may_grow(body)
    False
    """

    __slots__ = ('by_peer', 'capacity_bytes', 'held_bytes', 'waiting')

    def __init__(self, capacity_bytes: float) -> None:
        self.capacity_bytes = capacity_bytes
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
        if body.size < FREE_BYTES:
            return True
        return self.by_peer[body.peer] < self.free_bytes

    def may_grow(self, body: HeldBody) -> bool:
        """Return whether more of a body may be received now."""
        return self.has_room(body) or body is next(iter(self.waiting), None)

    def wait(self, body: HeldBody) -> None:
        """Put a body in the line of those that wait, if it is not there."""
        self.waiting.setdefault(body)

    def end_wait(self, body: HeldBody) -> None:
        """Take a body out of the line."""
        self.waiting.pop(body, None)

    def release(self, body: HeldBody) -> None:
        """Hold a body no longer; repeating it has no effect."""
        self.end_wait(body)
        self.held_bytes -= body.size
        self.by_peer[body.peer] -= body.size
        if not self.by_peer[body.peer]:
            self.by_peer.pop(body.peer)
        body.size = 0


def body_capacity(memory_megabytes: float) -> float:
    """Return the bytes for bodies at a node with some memory."""
    return BODY_MEMORY_FRACTION * memory_megabytes * BYTES_PER_MEGABYTE
