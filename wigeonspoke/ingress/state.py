"""State of an ingress node, shared by its components."""

import random
import time
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from wigeonspoke.core.admission import RankReservation
from wigeonspoke.core.availability import EndpointAvailability
from wigeonspoke.core.chains import (
    ChainActivity,
    ChainSelector,
    SuspectRegistry,
)
from wigeonspoke.core.fleet import (
    Endpoint,
    Fleet,
    LeavingReport,
    StoreOutages,
)
from wigeonspoke.core.forwarding import (
    ReplicaSelector,
    ResponseTimes,
    RetryWindowBudget,
    Shutdown,
)
from wigeonspoke.core.leases import LeaseRow, VersionedLease
from wigeonspoke.core.limits import NamedLimits, SenderRegistry
from wigeonspoke.core.membership import PeerRegistry
from wigeonspoke.core.relay import RelayTraffic
from wigeonspoke.core.reachability import Reachability
from wigeonspoke.core.body_memory import (
    SMALL_ANSWER_BYTES,
    BodyMemory,
    answer_capacity,
    request_capacity,
)
from wigeonspoke.core.routing import RoutingTable
from wigeonspoke.core.store_version import EraHistory
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.requests.connection_pool import ConnectionPool
from wigeonspoke.ingress.fleet.part_watch import PartWatch
from wigeonspoke.ingress.protocols import WireFormat
from wigeonspoke.ingress.requests.waiting_queue import WaitingQueues
from wigeonspoke.ingress.settings import IngressSettings
from wigeonspoke.ingress.wake_up import WakeUp
from wigeonspoke.transport import RequestMemory

# Number of nodes assumed until the registered nodes have been counted.
ASSUMED_NODE_COUNT = 10
MILLISECONDS_PER_SECOND = 1000


class IngressState:
    """What one node knows of its configuration, endpoints and peers.

    It also holds the node's counters, retry budgets and idle connections.
    """

    __slots__ = (
        'activity',
        'budgets',
        'chains',
        'connection_pool',
        'counters',
        'era_news',
        'eras',
        'fleet',
        'availability',
        'hears_all_peers',
        'is_stopping',
        'lease_holding_peers',
        'leases',
        'limits',
        'log',
        'part_watch',
        'peer_addresses',
        'peer_leases',
        'peers',
        'reachability',
        'reachability_news',
        'registered_node_count',
        'queues',
        'relay_traffic',
        'request_memory',
        'released_leases',
        'released_peer_leases',
        'memory',
        'memory_news',
        'replicas',
        'reservations',
        'response_times',
        'rng',
        'routing_table',
        'settings',
        'shutdown',
        'started_at',
        'store_outages',
        'suspects',
        'tell_news',
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
        # Number of nodes with a current registration in the store.
        self.registered_node_count = ASSUMED_NODE_COUNT
        self.store_outages = StoreOutages()
        self.eras = EraHistory()
        # Woken when the store is known to have come back from an older copy.
        self.era_news = WakeUp()
        self.peers = PeerRegistry()
        # Whether each gossip round reaches every node.
        self.hears_all_peers = True
        self.peer_addresses: set[str] = set(settings.seeds)
        # Expiry of the leases held by this node, by failure domain, on the
        # store's monotonic clock.
        self.leases: dict[str, float] = {}
        # Leases reported by the peers that hold them, by failure domain.
        self.peer_leases: dict[str, LeaseRow] = {}
        # Leases that this node released because it cannot reach the engines,
        # and those of which peers say so, by failure domain.
        self.released_leases: dict[str, VersionedLease] = {}
        self.released_peer_leases: dict[str, VersionedLease] = {}
        # Whether this node stops, so that peers relay no requests to it.
        self.is_stopping = False
        self.shutdown = Shutdown()
        self.response_times = ResponseTimes()
        # Instance ids of peers that hold a lease.
        self.lease_holding_peers: set[str] = set()
        self.routing_table = RoutingTable()
        self.fleet = Fleet()
        self.reachability = Reachability(self.fleet, settings.failure_domain)
        # Woken when trial connections may be due.
        self.reachability_news = WakeUp()
        self.suspects = SuspectRegistry()
        # Called when peers should hear of news at once.
        self.tell_news: Callable[[], None] = _ignore
        self.part_watch = PartWatch(log, lambda: self.tell_news())
        self.activity = ChainActivity()
        domain = settings.failure_domain
        self.limits = NamedLimits(
            SenderRegistry(settings.name, domain, self.started_at)
        )
        self.availability = EndpointAvailability(self.fleet, self.limits)
        self.chains = ChainSelector(
            self.fleet,
            self.suspects,
            domain,
            self.availability,
            random.Random(settings.name),
            lambda: self.node_count,
        )
        self.replicas = ReplicaSelector(self.fleet, domain, self.availability)
        self.connection_pool = ConnectionPool()
        self.memory = BodyMemory(
            answer_capacity(settings.memory_mb), SMALL_ANSWER_BYTES
        )
        self.request_memory = RequestMemory(
            request_capacity(settings.memory_mb)
        )
        # Woken when bodies are held no longer.
        self.memory_news = WakeUp()
        self.relay_traffic = RelayTraffic()
        self.budgets: dict[str, RetryWindowBudget] = {}
        self.queues = WaitingQueues()
        # By service, for services whose requests have different ranks.
        self.reservations: dict[str, RankReservation] = {}
        self.counters: Counter[tuple[str, str]] = Counter()
        self.rng = random.Random(settings.name)

    def budget(self, service: str) -> RetryWindowBudget:
        """Return the retry budget of a service, with this node's share."""
        service_budget = self.budgets.get(service)
        if service_budget is None:
            service_budget = RetryWindowBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_seconds,
                self.started_at,
            )
            self.budgets[service] = service_budget
        service_budget.node_share = 1 / self.node_count
        return service_budget

    def record_leaving(self, start_id: str, source: str) -> bool:
        """Record that a run reported its leaving; return whether it is news."""
        if not self.fleet.record_leaving(start_id, time.monotonic()):
            return False
        self._log_leaving(start_id, source, 0)
        self.tell_news()
        return True

    def merge_leaving(
        self, reports: Iterable[LeavingReport], source: str
    ) -> bool:
        """Merge a peer's reports of runs that leave.

        Return whether any is news.
        """
        now = time.monotonic()
        has_news = False
        for report in reports:
            if self.fleet.merge_leaving(report, now):
                self._log_leaving(report.start_id, source, report.age)
                has_news = True
        return has_news

    def record_unreached(self, endpoint: Endpoint) -> None:
        """Record that a connection to an endpoint was not established."""
        self.reachability.record_failed(endpoint, time.monotonic())
        self.reachability_news.wake()

    def record_unanswered(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record a request that got no answer on a new connection."""
        now = time.monotonic()
        if self.reachability.record_unanswered(endpoint, sent_at, now):
            self.count_event('doubted', endpoint.service)
            self.tell_news()
        self.reachability_news.wake()

    def record_store_failure(
        self, now: float, silent_seconds: float = 0
    ) -> None:
        """Record that a call to the store was refused or not answered.

        ``silent_seconds`` is how long ago its answer was due.
        """
        self.store_outages.record_failure(now, silent_seconds)

    @property
    def node_count(self) -> int:
        """Number of nodes that may be running, including this one.

        Registered nodes count even if no gossip arrives from them, because
        they may only be partitioned from this node.
        """
        return max(self.registered_node_count, self.peers.live_nodes)

    def record_peer_lease(self, domain: str, holder: str, until: float) -> None:
        """Record a lease reported by the peer that holds it."""
        existing = self.peer_leases.get(domain)
        if existing is None or until > existing.until:
            self.peer_leases[domain] = LeaseRow(holder, until)

    def record_released_lease(
        self, domain: str, released: VersionedLease
    ) -> None:
        """Record that the holder of a lease has released it."""
        known = self.released_peer_leases.get(domain)
        told = msgspec.structs.replace(
            released, era=self.eras.complete(released.store_version).era
        )
        if known is None or told.store_version > known.store_version:
            self.released_peer_leases[domain] = told

    def record_era(self, era: int, peer: str = '') -> None:
        """Record the era of an answer of the store, or of a peer's table.

        If it is a later one, the store has lost its last seconds: what is read
        of it from here on may be older than what is known.
        """
        before = self.eras.current
        if not self.eras.record(era):
            return
        now = time.monotonic()
        # Entries that others write again may be missing for a moment.
        self.store_outages.record_return(now)
        kept = self.fleet.keep_leaving(now)
        self.count_event('store-era', 'peer' if peer else 'store')
        self.log.write(
            'store-era',
            era=era,
            before=before,
            source=peer or 'store',
            leaving=kept,
        )
        self.era_news.wake()

    @property
    def open_requests(self) -> int:
        """Number of requests that this node has at endpoints."""
        return self.chains.in_flight.total() + self.replicas.in_flight.total()

    def heard_leases(self) -> dict[str, LeaseRow]:
        """Return leases of other nodes to tell peers, in a large fleet.

        There, few nodes exchange messages with the holder itself in time.
        That of the own domain goes with each message, and one other in turn at
        random, so that a message does not grow with the domains.
        """
        if self.hears_all_peers:
            return {}
        own_domain = self.settings.failure_domain
        heard = self.peer_leases.keys() - self.leases.keys()
        others = sorted(heard - {own_domain})
        told = heard & {own_domain}
        if others:
            told.add(self.rng.choice(others))
        return {domain: self.peer_leases[domain] for domain in told}

    @property
    def holds_lease(self) -> bool:
        """Whether this node holds the lease of any failure domain."""
        return bool(self.leases)

    @property
    def must_watch_store(self) -> bool:
        """Whether this node must poll the store with short waits.

        Lease holders always do.  Other nodes learn of changes from a holder,
        and poll closely themselves only if none is among their live peers.
        """
        heard = self.lease_holding_peers & self.peers.peers.keys()
        return self.holds_lease or not heard

    @property
    def live_peer_names(self) -> set[str]:
        """Names of the peers with a recent report."""
        return {node_name(instance_id) for instance_id in self.peers.peers}

    def count_event(self, name: str, reason: str = '') -> None:
        """Increment the counter of an event with an optional reason."""
        self.counters[name, reason] += 1

    def count_amount(self, name: str, reason: str, seconds: float) -> None:
        """Add a time in milliseconds to a counter."""
        milliseconds = round(seconds * MILLISECONDS_PER_SECOND)
        self.counters[name, reason] += milliseconds

    def is_node_gone(self, name: str, live_names: set[str]) -> bool:
        """Return whether a node is considered gone.

        ``live_names`` is :attr:`live_peer_names`, passed in so that it is
        computed once for several checks.

        In a small deployment every node hears from every other within a
        round or two, so silence is enough.  In a large one a gossip round
        reaches only some peers, so a silent node counts as gone only if it
        failed to answer a peer.
        """
        if name in live_names:
            return False
        if self.hears_all_peers:
            return True
        return name in {
            node_name(instance_id) for instance_id in self.peers.departures
        }

    def _log_leaving(self, start_id: str, source: str, age: float) -> None:
        """Write to the log that a run leaves, and who said it when."""
        self.log.write(
            'endpoint-leaving',
            endpoint=start_id,
            source=source,
            told_ago=age,
            revision=self.fleet.revision,
        )


def _ignore() -> None:
    """Do nothing until the gossip is connected."""


def node_name(instance_id: str) -> str:
    """Return the node name in an instance id of the form ``NAME#TAG``."""
    return instance_id.partition('#')[0]
