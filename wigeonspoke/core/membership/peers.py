"""What a node knows of its live peers."""

from wigeonspoke.core.membership.records import PeerReport

PEER_LIVE_SECONDS = 3.0


class _Peer:
    __slots__ = ('heard_at', 'report')

    def __init__(self, report: PeerReport, heard_at: float) -> None:
        self.report = report
        self.heard_at = heard_at


class PeerBook:
    """The last report of each peer, forgotten when it grows stale."""

    __slots__ = ('peers', 'streams')

    def __init__(self) -> None:
        self.peers: dict[str, _Peer] = {}
        self.streams: dict[str, int] = {}

    @property
    def live_nodes(self) -> int:
        """Count this node and the peers heard of lately."""
        return len(self.peers) + 1

    def take(self, report: PeerReport, now: float) -> bool:
        """Take in a report; tell whether it was news."""
        known = self.peers.get(report.node)
        if known and not self._is_news(known.report, report):
            return False
        self.peers[report.node] = _Peer(report, now)
        self._recount()
        return True

    def forget_stale(self, now: float) -> tuple[str, ...]:
        """Drop peers not heard of lately and return their names."""
        stale = tuple(
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > PEER_LIVE_SECONDS
        )
        for name in stale:
            self.peers.pop(name)
        if stale:
            self._recount()
        return stale

    def nodes_by_domain(self) -> dict[str, list[str]]:
        """Give the names of live peers by failure domain."""
        nodes: dict[str, list[str]] = {}
        for name, peer in self.peers.items():
            nodes.setdefault(peer.report.failure_domain, []).append(name)
        return nodes

    def streams_at(self, endpoint: str) -> int:
        """Count the streams that live peers have open at an endpoint."""
        return self.streams.get(endpoint, 0)

    def _is_news(self, known: PeerReport, report: PeerReport) -> bool:
        if known.incarnation != report.incarnation:
            return True
        return report.sequence > known.sequence

    def _recount(self) -> None:
        self.streams = {}
        for peer in self.peers.values():
            for load in peer.report.loads:
                known = self.streams.get(load.endpoint, 0)
                self.streams[load.endpoint] = known + load.streams
