"""What an ingress node knows, shared by its parts."""

import random
import time
from collections import Counter

from wigeonspoke.core.chains import ChainActivity, ChainChooser, SuspectBook
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import ReplicaChooser, WindowBudget
from wigeonspoke.core.routing import RoutingTable
from wigeonspoke.ingress.protocols import WireFormat
from wigeonspoke.ingress.settings import IngressSettings
from wigeonspoke.observe import DecisionLog

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
        'log',
        'nodes',
        'peers',
        'random',
        'replicas',
        'settings',
        'started_at',
        'suspects',
        'table',
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
        self.nodes = ASSUMED_NODES
        self.peers: set[str] = set(settings.seeds)
        self.table = RoutingTable()
        self.fleet = Fleet()
        self.suspects = SuspectBook()
        self.activity = ChainActivity()
        domain = settings.failure_domain
        self.chains = ChainChooser(self.fleet, self.suspects, domain)
        self.replicas = ReplicaChooser(self.fleet, domain)
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
        known.share = 1 / self.nodes
        return known

    def count(self, name: str, reason: str = '') -> None:
        """Count something that happened."""
        self.counters[name, reason] += 1
