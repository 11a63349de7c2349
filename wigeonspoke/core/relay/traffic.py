"""The relayed requests of a node, and the peers that failed to serve some."""

from wigeonspoke.core.reachability import MAX_RELAYED_REQUESTS

# A peer that failed gets no request for this long.  Gossip removes a silent
# peer after about 2 s.
PEER_BACKOFF_SECONDS = 2.0


class RelayTraffic:
    """Counts requests that are served for peers, and remembers failed peers.

    There is at most one entry for each peer.
    """

    __slots__ = ('failed_until', 'in_progress')

    def __init__(self) -> None:
        self.in_progress = 0
        self.failed_until: dict[str, float] = {}

    def begin(self) -> bool:
        """Begin a request of a peer; return False if there are too many."""
        if self.in_progress >= MAX_RELAYED_REQUESTS:
            return False
        self.in_progress += 1
        return True

    def end(self) -> None:
        """End a request of a peer."""
        self.in_progress -= 1

    def record_failed(self, peer: str, now: float) -> None:
        """Record that a peer gave no valid answer."""
        self.failed_until[peer] = now + PEER_BACKOFF_SECONDS

    def failed_peers(self, now: float) -> frozenset[str]:
        """Return the peers that failed a short time ago."""
        for peer, until in tuple(self.failed_until.items()):
            if until <= now:
                self.failed_until.pop(peer)
        return frozenset(self.failed_until)
