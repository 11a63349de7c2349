"""Registry of the live peers of a node and their reported loads."""

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
    """The last report of each live peer.

    ``streams`` holds the number of streams that peers have open, by endpoint
    index.  ``owner_loads`` holds the last stream count that an owner reported
    for its engine, and the time of that report, by endpoint index.
    """

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
        """The number of live peers, plus one for this node."""
        return len(self.peers) + 1

    def update(self, report: PeerReport, now: float) -> bool:
        """Apply a report if it is the latest; return whether it was.

        A report that a known departure covers is ignored, too.
        """
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
        """Return the departure of a known peer that does not answer.

        It takes effect at every node that has no later report of the peer.
        If the peer is certain not to listen, other nodes may still hold
        slightly later reports that it sent before it stopped, so the
        departure also covers a margin of later sequence numbers.  If the peer
        is alive after all, its next reports soon exceed the margin and cancel
        the departure.
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
        """Remove departed peers and return their names."""
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
        """Return the latest departures, to pass on to other peers."""
        return tuple(reversed(self.departures.values()))[:MAX_DEPARTURES]

    def remove_stale(self, now: float) -> tuple[str, ...]:
        """Remove peers without a recent report and return their names."""
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
        """Clear all loads after a change of configuration.

        Their indexes refer to the endpoints of the previous generation.
        """
        self.owner_loads.clear()
        for peer in self.peers.values():
            peer.report = msgspec.structs.replace(
                peer.report,
                loads=(),
                own_loads=(),
            )
        self._recount_streams()

    def nodes_by_domain(self) -> dict[str, list[str]]:
        """Return the names of live peers by failure domain."""
        nodes: dict[str, list[str]] = {}
        for name, peer in self.peers.items():
            nodes.setdefault(peer.report.failure_domain, []).append(name)
        return nodes

    def streams_at(self, index: int) -> int:
        """Return the number of streams of live peers at an endpoint."""
        return self.streams.get(index, 0)

    def owner_streams(self, index: int) -> int:
        """Return the last stream count that an engine's owner reported."""
        return self.owner_loads.get(index, NO_OWNER_LOAD)[0]

    def has_owner_load(self, index: int, now: float) -> bool:
        """Return whether the owner reported its engine's load recently."""
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
