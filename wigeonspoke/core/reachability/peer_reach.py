"""What peers report of the endpoints that they reach."""

import math
from collections import Counter
from collections.abc import Collection, Iterable

import msgspec

from wigeonspoke.core.reachability.records import ReachedReport, RelayPeer

# A peer reaches a group if it had an answer within this time.  It covers the
# age of the answer at the peer and up to two gossip rounds, which take at most
# 0.84 s each with their jitter.
REACHED_SECONDS = 2.5
# A peer without a message for this time is forgotten.  Gossip of large
# deployments reaches a given peer only every few rounds.
PEER_MEMORY_SECONDS = 10.0
# More nodes than the largest deployment has.
MAX_PEERS = 1024
# Relayed requests that a peer has in progress at most; it refuses others.
MAX_RELAYED_REQUESTS = 64
# Requests in progress that halve the chance of an otherwise idle peer to be
# chosen.  A host of the first deployment has about as many in usual load.
USUAL_REQUESTS = 8.0

# A service and a failure domain.
Group = tuple[str, str]


class _Peer(msgspec.Struct):
    """The last message of a peer; ``answered_at`` is on this node's clock.

    ``doubted`` holds the groups that it may not reach, with those in
    ``isolated``.
    """

    relay_peer: RelayPeer
    heard_at: float
    answered_at: dict[Group, float]
    isolated: set[Group]
    doubted: set[Group]
    open_requests: int
    is_stopping: bool


class PeerReach:
    """The last reports of peers, and this node's requests relayed to them."""

    __slots__ = ('failure_domain', 'peers', 'relayed')

    def __init__(self, failure_domain: str) -> None:
        self.failure_domain = failure_domain
        self.peers: dict[str, _Peer] = {}
        # Requests of this node that each peer has in progress, by its name.
        self.relayed: Counter[str] = Counter()

    def merge(
        self,
        relay_peer: RelayPeer,
        reports: Iterable[ReachedReport],
        now: float,
        *,
        open_requests: int,
        is_stopping: bool,
    ) -> None:
        """Replace what is known of a peer by its newest message."""
        answered_at: dict[Group, float] = {}
        isolated: set[Group] = set()
        doubted: set[Group] = set()
        for report in reports:
            group = (report.service, report.failure_domain)
            if report.answer_age is not None:
                answered_at[group] = now - max(0, report.answer_age)
            if report.is_isolated:
                isolated.add(group)
            if report.is_isolated or report.is_doubted:
                doubted.add(group)
        self.peers.pop(relay_peer.name, None)
        self.peers[relay_peer.name] = _Peer(
            relay_peer,
            now,
            answered_at,
            isolated,
            doubted,
            open_requests,
            is_stopping,
        )
        self._forget_old(now)

    def remove(self, name: str) -> None:
        """Forget a peer that has left or does not answer."""
        self.peers.pop(name, None)

    def has_peers(self, now: float) -> bool:
        """Return whether a message of any peer arrived recently."""
        return any(
            now - peer.heard_at <= PEER_MEMORY_SECONDS
            for peer in self.peers.values()
        )

    def last_answer_at(self, group: Group) -> float:
        """Return when a peer last had an answer of a group."""
        return max(
            (
                peer.answered_at.get(group, -math.inf)
                for peer in self.peers.values()
            ),
            default=-math.inf,
        )

    def is_reached(self, group: Group, now: float) -> bool:
        """Return whether a peer that is not isolated reaches a group."""
        return any(_reaches(peer, group, now) for peer in self.peers.values())

    def count_reaching(self, service: str, now: float) -> int:
        """Return how many peers may be chosen for a service."""
        return len(self._usable(service, now, ()))

    def choose_witness(
        self, group: Group, now: float, draw: float
    ) -> RelayPeer | None:
        """Choose a peer to ask about an endpoint, by a number from 0 to 1.

        Peers of other failure domains come first, since one of this node's
        own may be cut off with it, and those that reached the group lately.
        """
        heard = [
            peer
            for peer in self.peers.values()
            if now - peer.heard_at <= REACHED_SECONDS and not peer.is_stopping
        ]
        remote = [
            peer
            for peer in heard
            if peer.relay_peer.failure_domain != self.failure_domain
        ]
        candidates = remote or heard
        reaching = [peer for peer in candidates if _reaches(peer, group, now)]
        return self._draw(reaching or candidates, draw)

    def doubted_groups(self, now: float) -> set[Group]:
        """Return the groups that some peer does not reach, or may not reach."""
        doubted: set[Group] = set()
        for peer in self.peers.values():
            if now - peer.heard_at <= REACHED_SECONDS:
                doubted |= peer.doubted
        return doubted

    def choose(
        self, service: str, now: float, excluded: Collection[str], draw: float
    ) -> RelayPeer | None:
        """Choose a peer that reaches a service, by a number from 0 to 1."""
        usable = self._usable(service, now, excluded)
        local = [
            peer
            for peer in usable
            if peer.relay_peer.failure_domain == self.failure_domain
        ]
        return self._draw(local or usable, draw)

    def _usable(
        self, service: str, now: float, excluded: Collection[str]
    ) -> list[_Peer]:
        """Return the peers that reach a service and do not stop."""
        return [
            peer
            for name, peer in self.peers.items()
            if name not in excluded
            and not peer.is_stopping
            and _reaches_service(peer, service, now)
        ]

    def _draw(self, candidates: list[_Peer], draw: float) -> RelayPeer | None:
        weights = [self._weight(peer) for peer in candidates]
        rest = draw * sum(weights)
        for peer, weight in zip(candidates, weights, strict=True):
            rest -= weight
            if rest < 0:
                return peer.relay_peer
        return candidates[-1].relay_peer if candidates else None

    def _weight(self, peer: _Peer) -> float:
        """Return the weight of a peer, which falls with its load.

        This node's own relayed requests may not be in the peer's count yet;
        counting them twice spreads requests more evenly.
        """
        requests = peer.open_requests + self.relayed[peer.relay_peer.name]
        return 1 / (1 + requests / USUAL_REQUESTS)

    def _forget_old(self, now: float) -> None:
        old = [
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > PEER_MEMORY_SECONDS
        ]
        for name in old:
            self.peers.pop(name)
        while len(self.peers) > MAX_PEERS:
            self.peers.pop(next(iter(self.peers)))


def _reaches(peer: _Peer, group: Group, now: float) -> bool:
    answered_at = peer.answered_at.get(group, -math.inf)
    return group not in peer.isolated and now - answered_at <= REACHED_SECONDS


def _reaches_service(peer: _Peer, service: str, now: float) -> bool:
    return any(
        group[0] == service and _reaches(peer, group, now)
        for group in peer.answered_at
    )
