"""What a node knows of its live peers."""

import math
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.membership.records import Departure, PeerReport

PEER_LIVE_SECONDS = 2.0
LIVE_ROUNDS = 4
OWN_LOAD_SECONDS = 6.0
MAX_DEPARTURES = 8
SURE_SLACK = 64
UNTOLD = (0, -math.inf)


class _Peer:
    __slots__ = ('heard_at', 'report')

    def __init__(self, report: PeerReport, heard_at: float) -> None:
        self.report = report
        self.heard_at = heard_at


class PeerBook:
    """The last report of each peer, forgotten when it grows stale."""

    __slots__ = ('departures', 'lost_count', 'own_loads', 'peers', 'streams')

    def __init__(self) -> None:
        self.peers: dict[str, _Peer] = {}
        self.streams: dict[int, int] = {}
        self.departures: dict[str, Departure] = {}
        self.lost_count = 0
        self.own_loads: dict[int, tuple[int, float]] = {}

    @property
    def live_nodes(self) -> int:
        """Count this node and the peers heard of lately."""
        return len(self.peers) + 1

    def take(self, report: PeerReport, now: float) -> bool:
        """Take in a report; tell whether it was news."""
        known = self.peers.get(report.node)
        if known and _age(report) <= _age(known.report):
            return False
        departure = self.departures.get(report.node)
        if departure and _age(report) <= _age(departure):
            return False
        self.departures.pop(report.node, None)
        self.peers[report.node] = _Peer(report, now)
        for load in report.own:
            self.own_loads[load.index] = (load.streams, now)
        self._recount()
        return True

    def suspect(self, node: str, sure: bool) -> Departure | None:
        """Give the departure of a peer that does not answer, if it is known.

        It counts at every node that has heard nothing later of the peer.  A
        peer that surely does not listen may have told others a little later
        that it lived; should it live, its next reports soon refute this.
        """
        known = self.peers.get(node)
        if known is None:
            return None
        report = known.report
        slack = SURE_SLACK if sure else 0
        return Departure(node, report.incarnation, report.sequence + slack)

    def depart(self, departures: Iterable[Departure]) -> tuple[str, ...]:
        """Take in departures and return the names of the peers dropped."""
        dropped: list[str] = []
        for departure in departures:
            known = self.peers.get(departure.node)
            if known and _age(known.report) <= _age(departure):
                self.departures[departure.node] = departure
                self.peers.pop(departure.node)
                dropped.append(departure.node)
        if dropped:
            self.lost_count += len(dropped)
            self._recount()
        return tuple(dropped)

    def recent_departures(self) -> tuple[Departure, ...]:
        """Give the latest departures, for peers that do not know them."""
        return tuple(reversed(self.departures.values()))[:MAX_DEPARTURES]

    def forget_stale(self, now: float) -> tuple[str, ...]:
        """Drop peers not heard of lately and return their names."""
        stale = tuple(
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > _patience(peer.report)
        )
        for name in stale:
            self.peers.pop(name)
        if stale:
            self._recount()
        return stale

    def forget_loads(self) -> None:
        """Forget all loads, which count places of another generation."""
        self.own_loads.clear()
        for peer in self.peers.values():
            peer.report = msgspec.structs.replace(
                peer.report,
                loads=(),
                own=(),
            )
        self._recount()

    def nodes_by_domain(self) -> dict[str, list[str]]:
        """Give the names of live peers by failure domain."""
        nodes: dict[str, list[str]] = {}
        for name, peer in self.peers.items():
            nodes.setdefault(peer.report.failure_domain, []).append(name)
        return nodes

    def streams_at(self, index: int) -> int:
        """Count the streams that live peers have open at an endpoint."""
        return self.streams.get(index, 0)

    def told_by_owner(self, index: int) -> int:
        """Give an owner's last count of the streams at its engine."""
        return self.own_loads.get(index, UNTOLD)[0]

    def is_told_by_owner(self, index: int, now: float) -> bool:
        """Tell whether an owner has told of its engine lately."""
        heard_at = self.own_loads.get(index, UNTOLD)[1]
        return now - heard_at <= OWN_LOAD_SECONDS

    def _recount(self) -> None:
        self.streams = {}
        for peer in self.peers.values():
            for load in peer.report.loads:
                known = self.streams.get(load.index, 0)
                self.streams[load.index] = known + load.streams


def _patience(report: PeerReport) -> float:
    return PEER_LIVE_SECONDS + LIVE_ROUNDS * report.round_seconds


def _age(report: PeerReport | Departure) -> tuple[str, int]:
    return (report.incarnation, report.sequence)
