"""What a node knows of its live peers."""

import math
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.membership.records import Departure, PeerReport

PEER_TIMEOUT_SECONDS = 2.0
PEER_TIMEOUT_ROUNDS = 4
OWNER_LOAD_VALID_SECONDS = 6.0
MAX_DEPARTURES = 8
UNREACHABLE_SEQUENCE_MARGIN = 64
NO_OWNER_LOAD = (0, -math.inf)


class _LivePeer:
    __slots__ = ('received_at', 'report')

    def __init__(self, report: PeerReport, received_at: float) -> None:
        self.report = report
        self.received_at = received_at


class PeerRegistry:
    """The last report of each peer, forgotten when it grows stale."""

    __slots__ = (
        'departure_count',
        'departures',
        'owner_loads',
        'peers',
        'streams',
    )

    def __init__(self) -> None:
        self.peers: dict[str, _LivePeer] = {}
        self.streams: dict[int, int] = {}
        self.departures: dict[str, Departure] = {}
        self.departure_count = 0
        self.owner_loads: dict[int, tuple[int, float]] = {}

    @property
    def live_nodes(self) -> int:
        """Count this node and the peers heard of lately."""
        return len(self.peers) + 1

    def update(self, report: PeerReport, now: float) -> bool:
        """Take in a report; tell whether it was news."""
        known = self.peers.get(report.node)
        if known and _report_order(report) <= _report_order(known.report):
            return False
        departure = self.departures.get(report.node)
        if departure and _report_order(report) <= _report_order(departure):
            return False
        self.departures.pop(report.node, None)
        self.peers[report.node] = _LivePeer(report, now)
        for load in report.own_loads:
            self.owner_loads[load.index] = (load.streams, now)
        self._recount_streams()
        return True

    def departure_of(self, node: str, unreachable: bool) -> Departure | None:
        """Give the departure of a peer that does not answer, if it is known.

        It counts at every node that has heard nothing later of the peer.  A
        peer that surely does not listen may have told others a little later
        that it lived; should it live, its next reports soon refute this.
        """
        known = self.peers.get(node)
        if known is None:
            return None
        report = known.report
        margin = UNREACHABLE_SEQUENCE_MARGIN if unreachable else 0
        return Departure(node, report.incarnation, report.sequence + margin)

    def apply_departures(
        self, departures: Iterable[Departure]
    ) -> tuple[str, ...]:
        """Take in departures and return the names of the peers removed."""
        removed: list[str] = []
        for departure in departures:
            known = self.peers.get(departure.node)
            if known and _report_order(known.report) <= _report_order(
                departure
            ):
                self.departures[departure.node] = departure
                self.peers.pop(departure.node)
                removed.append(departure.node)
        if removed:
            self.departure_count += len(removed)
            self._recount_streams()
        return tuple(removed)

    def recent_departures(self) -> tuple[Departure, ...]:
        """Give the latest departures, for peers that do not know them."""
        return tuple(reversed(self.departures.values()))[:MAX_DEPARTURES]

    def remove_stale(self, now: float) -> tuple[str, ...]:
        """Drop peers not heard of lately and return their names."""
        stale = tuple(
            name
            for name, peer in self.peers.items()
            if now - peer.received_at > _timeout_seconds(peer.report)
        )
        for name in stale:
            self.peers.pop(name)
        if stale:
            self._recount_streams()
        return stale

    def clear_loads(self) -> None:
        """Forget all loads, which count places of another generation."""
        self.owner_loads.clear()
        for peer in self.peers.values():
            peer.report = msgspec.structs.replace(
                peer.report,
                loads=(),
                own_loads=(),
            )
        self._recount_streams()

    def nodes_by_domain(self) -> dict[str, list[str]]:
        """Give the names of live peers by failure domain."""
        nodes: dict[str, list[str]] = {}
        for name, peer in self.peers.items():
            nodes.setdefault(peer.report.failure_domain, []).append(name)
        return nodes

    def streams_at(self, index: int) -> int:
        """Count the streams that live peers have open at an endpoint."""
        return self.streams.get(index, 0)

    def owner_streams(self, index: int) -> int:
        """Give an owner's last count of the streams at its engine."""
        return self.owner_loads.get(index, NO_OWNER_LOAD)[0]

    def has_owner_load(self, index: int, now: float) -> bool:
        """Tell whether an owner has told of its engine lately."""
        received_at = self.owner_loads.get(index, NO_OWNER_LOAD)[1]
        return now - received_at <= OWNER_LOAD_VALID_SECONDS

    def _recount_streams(self) -> None:
        self.streams = {}
        for peer in self.peers.values():
            for load in peer.report.loads:
                known = self.streams.get(load.index, 0)
                self.streams[load.index] = known + load.streams


def _timeout_seconds(report: PeerReport) -> float:
    return PEER_TIMEOUT_SECONDS + PEER_TIMEOUT_ROUNDS * report.round_seconds


def _report_order(report: PeerReport | Departure) -> tuple[str, int]:
    return (report.incarnation, report.sequence)
