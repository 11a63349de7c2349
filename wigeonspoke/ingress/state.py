"""What an ingress node knows, shared by its parts."""

import math
import random
import time
from collections import Counter

from wigeonspoke.core.chains import (
    ChainActivity,
    ChainSelector,
    SuspectRegistry,
)
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import ReplicaSelector, RetryWindowBudget
from wigeonspoke.core.leases import LeaseRow
from wigeonspoke.core.membership import PeerRegistry
from wigeonspoke.core.routing import RoutingTable
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.kept_connections import KeptConnections
from wigeonspoke.ingress.protocols import WireFormat
from wigeonspoke.ingress.settings import IngressSettings

# Nodes that are taken to be there until they have been counted.
ASSUMED_NODES = 10


class IngressState:
    """The beliefs and the books of one node."""

    __slots__ = (
        'activity',
        'budgets',
        'chains',
        'counters',
        'fleet',
        'hears_all_peers',
        'kept_connections',
        'leases',
        'log',
        'peer_book',
        'peers',
        'random',
        'registered_nodes',
        'replicas',
        'settings',
        'started_at',
        'steward_peers',
        'store_failed_at',
        'suspects',
        'table',
        'told_leases',
        'wire',
    )

    def __init__(
        self,
        settings: IngressSettings,
        wire: WireFormat,
        log: DecisionLog,
    ) -> None:
        self.settings = settings
        self.wire = wire
        self.log = log
        self.started_at = time.monotonic()
        # Nodes that have told the store of themselves.
        self.registered_nodes = ASSUMED_NODES
        self.store_failed_at = -math.inf
        self.peer_book = PeerRegistry()
        # Whether each round of talk reaches every node.
        self.hears_all_peers = True
        self.peers: set[str] = set(settings.seeds)
        # When the leases that this node holds end, by failure domain.
        self.leases: dict[str, float] = {}
        # Leases as the peers that hold them tell.
        self.told_leases: dict[str, LeaseRow] = {}
        # Starts of peers that hold a lease.
        self.steward_peers: set[str] = set()
        self.table = RoutingTable()
        self.fleet = Fleet()
        self.suspects = SuspectRegistry()
        self.activity = ChainActivity()
        domain = settings.failure_domain
        self.chains = ChainSelector(self.fleet, self.suspects, domain)
        self.replicas = ReplicaSelector(self.fleet, domain)
        self.kept_connections = KeptConnections()
        self.budgets: dict[str, RetryWindowBudget] = {}
        self.counters: Counter[tuple[str, str]] = Counter()
        self.random = random.Random(settings.name)

    def budget(self, service: str) -> RetryWindowBudget:
        """Give the retry budget of a service."""
        known = self.budgets.get(service)
        if known is None:
            known = RetryWindowBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_seconds,
                self.started_at,
            )
            self.budgets[service] = known
        known.node_share = 1 / self.nodes
        return known

    def note_store_failure(self, now: float) -> None:
        """Take in that a call to the store got no answer, or was refused."""
        self.store_failed_at = now

    @property
    def nodes(self) -> int:
        """Count the nodes that there may be, this one among them.

        A peer that is not heard of may only be cut off from this node.
        """
        return max(self.registered_nodes, self.peer_book.live_nodes)

    def note_lease(self, domain: str, holder: str, until: float) -> None:
        """Take in what a peer tells of a lease that it holds."""
        known = self.told_leases.get(domain)
        if known is None or until > known.until:
            self.told_leases[domain] = LeaseRow(holder, until)

    @property
    def is_steward(self) -> bool:
        """Tell whether this node holds any lease."""
        return bool(self.leases)

    @property
    def must_watch(self) -> bool:
        """Tell whether nobody else watches the store closely for this node."""
        heard = self.steward_peers & self.peer_book.peers.keys()
        return self.is_steward or not heard

    @property
    def present_nodes(self) -> set[str]:
        """Give the names of the peers that were heard of lately."""
        return {name_of(start) for start in self.peer_book.peers}

    def count(self, name: str, reason: str = '') -> None:
        """Count something that happened."""
        self.counters[name, reason] += 1

    def is_gone(self, name: str, present: set[str]) -> bool:
        """Tell whether a node is not there any more.

        ``present`` names the nodes heard of lately, for many questions.

        In a small deployment each node hears every other within a round or
        two.  In a large one a node that is not heard of may just not have
        had its turn: only one that did not answer a peer is gone.
        """
        if name in present:
            return False
        if self.hears_all_peers:
            return True
        return name in {name_of(start) for start in self.peer_book.departures}


def name_of(start: str) -> str:
    """Give the name of a node whose start goes by ``NAME#TAG``."""
    return start.partition('#')[0]
