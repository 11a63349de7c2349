"""What an ingress node knows, shared by its parts."""

import math
import random
import time
from collections import Counter

from wigeonspoke.core.chains import ChainActivity, ChainChooser, SuspectBook
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import ReplicaChooser, WindowBudget
from wigeonspoke.core.leases import LeaseRow
from wigeonspoke.core.membership import PeerBook
from wigeonspoke.core.routing import RoutingTable
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.connection_pool import ConnectionPool
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
        'connection_pool',
        'counters',
        'fleet',
        'hears_all_peers',
        'leases',
        'log',
        'peer_book',
        'peer_leases',
        'peers',
        'random',
        'registered_nodes',
        'replicas',
        'routing_table',
        'settings',
        'started_at',
        'steward_peers',
        'store_failed_at',
        'suspects',
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
        self.peer_book = PeerBook()
        # Whether each round of talk reaches every node.
        self.hears_all_peers = True
        self.peers: set[str] = set(settings.seeds)
        # When the leases that this node holds end, by failure domain.
        self.leases: dict[str, float] = {}
        # Leases as the peers that hold them tell.
        self.peer_leases: dict[str, LeaseRow] = {}
        # Starts of peers that hold a lease.
        self.steward_peers: set[str] = set()
        self.routing_table = RoutingTable()
        self.fleet = Fleet()
        self.suspects = SuspectBook()
        self.activity = ChainActivity()
        domain = settings.failure_domain
        self.chains = ChainChooser(self.fleet, self.suspects, domain)
        self.replicas = ReplicaChooser(self.fleet, domain)
        self.connection_pool = ConnectionPool()
        self.budgets: dict[str, WindowBudget] = {}
        self.counters: Counter[tuple[str, str]] = Counter()
        self.random = random.Random(settings.name)

    def budget(self, service: str) -> WindowBudget:
        """Give the retry budget of a service."""
        known = self.budgets.get(service)
        if known is None:
            known = WindowBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_seconds,
                self.started_at,
            )
            self.budgets[service] = known
        known.share = 1 / self.node_count
        return known

    def record_store_failure(self, now: float) -> None:
        """Take in that a call to the store got no answer, or was refused."""
        self.store_failed_at = now

    @property
    def node_count(self) -> int:
        """Count the nodes that there may be, this one among them.

        A peer that is not heard of may only be cut off from this node.
        """
        return max(self.registered_nodes, self.peer_book.live_nodes)

    def record_peer_lease(self, domain: str, holder: str, until: float) -> None:
        """Take in what a peer tells of a lease that it holds."""
        known = self.peer_leases.get(domain)
        if known is None or until > known.until:
            self.peer_leases[domain] = LeaseRow(holder, until)

    @property
    def is_steward(self) -> bool:
        """Tell whether this node holds any lease."""
        return bool(self.leases)

    @property
    def must_watch_store(self) -> bool:
        """Tell whether nobody else watches the store closely for this node."""
        heard = self.steward_peers & self.peer_book.peers.keys()
        return self.is_steward or not heard

    @property
    def live_peer_names(self) -> set[str]:
        """Give the names of the peers that were heard of lately."""
        return {node_name(instance_id) for instance_id in self.peer_book.peers}

    def count_event(self, name: str, reason: str = '') -> None:
        """Count something that happened."""
        self.counters[name, reason] += 1

    def is_node_gone(self, name: str, live_names: set[str]) -> bool:
        """Tell whether a node is not there any more.

        ``live_names`` names the nodes heard of lately, for many questions.

        In a small deployment each node hears every other within a round or
        two.  In a large one a node that is not heard of may just not have
        had its turn: only one that did not answer a peer is gone.
        """
        if name in live_names:
            return False
        if self.hears_all_peers:
            return True
        return name in {
            node_name(instance_id) for instance_id in self.peer_book.departures
        }


def node_name(instance_id: str) -> str:
    """Give the name of a node whose start goes by ``NAME#TAG``."""
    return instance_id.partition('#')[0]
