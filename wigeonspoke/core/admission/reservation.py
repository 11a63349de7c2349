"""Capacity of chains reserved for the more urgent ranks, across nodes.

With many nodes, most queues hold one request or none, so that the order
within a queue decides little.  Each node therefore leaves free on a chain
what is expected to arrive at all nodes for more urgent ranks before the nodes
know of each other's starts.
"""

import math

import msgspec

from wigeonspoke.core.admission.recent_counts import (
    WINDOW_SECONDS,
    RecentCount,
)

# Mean age of what peers report of their streams: a round of gossip.
NEWS_AGE_SECONDS = 0.7
# A waiting request takes capacity that was reserved and not used this long.
# It is less than the 0.3 s for which a stream with a target latency of 0.5 s
# waits, so that such a stream can still use it.
UNUSED_SECONDS = 0.25


class ChainLoad(msgspec.Struct, frozen=True):
    """Streams of all nodes on a chain, and its capacity in requests."""

    head_id: str
    streams: int
    capacity: float


class _FreeCapacity:
    """The time since which free capacity of a chain has been unused."""

    __slots__ = ('free_since', 'streams')

    def __init__(self, streams: int, now: float) -> None:
        self.streams = streams
        self.free_since = now


class RankReservation:
    """Reserves capacity on the chains of one service by rank.

    ``arrivals`` counts this node's requests by rank.  ``free_capacity`` is
    keyed by the endpoint id of a chain's head; it has an entry for each chain
    that a request was not admitted to.
    """

    __slots__ = ('arrivals', 'free_capacity')

    def __init__(self) -> None:
        self.arrivals: dict[int, RecentCount] = {}
        self.free_capacity: dict[str, _FreeCapacity] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Count a request of a rank at this node."""
        self.arrivals.setdefault(rank, RecentCount()).add(now)

    def retain(self, head_ids: set[str], now: float) -> None:
        """Drop the state of other chains and of ranks without requests."""
        for head_id in self.free_capacity.keys() - head_ids:
            self.free_capacity.pop(head_id)
        for rank in tuple(self.arrivals):
            if not self.arrivals[rank].count(now):
                self.arrivals.pop(rank)

    def reserved(self, rank: int, nodes: int, chains: int, now: float) -> float:
        """Return what is reserved on each chain for ranks before ``rank``.

        For each rank it is what arrives at all nodes within the age of their
        news, plus its square root, since arrivals are random.
        """
        per_chain = nodes / max(1, chains)
        reserved: float = 0
        for other, arrivals in self.arrivals.items():
            if other < rank:
                rate = arrivals.count(now) / WINDOW_SECONDS
                expected = rate * per_chain * NEWS_AGE_SECONDS
                reserved += expected + math.sqrt(expected)
        return reserved

    def record_start(self, head_id: str, now: float) -> None:
        """Record that a request of this node takes capacity of a chain."""
        free = self.free_capacity.get(head_id)
        if free is not None:
            free.free_since = now
            free.streams += 1

    def is_admitted(
        self,
        load: ChainLoad,
        reserved: float,
        waits_since: float,
        now: float,
    ) -> bool:
        """Return whether a request that waits may start on a chain.

        ``reserved`` is what :meth:`reserved` returns for its rank.
        """
        free_since = self._free_since(load, now)
        if load.streams < load.capacity - reserved:
            return True
        unused_since = max(free_since, waits_since)
        is_unused = now >= unused_since + UNUSED_SECONDS
        return is_unused and load.streams < load.capacity

    def _free_since(self, load: ChainLoad, now: float) -> float:
        """Return since when nobody has taken the chain's free capacity.

        Any rise of the streams counts, since peers don't report their ranks.
        """
        head_id = load.head_id
        streams = load.streams
        free = self.free_capacity.get(head_id)
        if free is None:
            free = _FreeCapacity(streams, now)
            self.free_capacity[head_id] = free
        # If the clock has stepped back, the time is measured from now.
        is_earlier = now < free.free_since
        is_full = streams >= load.capacity
        if is_full or streams > free.streams or is_earlier:
            free.free_since = now
        free.streams = streams
        return free.free_since
