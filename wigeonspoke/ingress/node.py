"""The ingress node: listeners, background loops and graceful shutdown."""

import http
import time
import traceback
from collections.abc import Callable
from functools import partial
from typing import Any

import eventlet

from wigeonspoke.core.forwarding import Shutdown
from wigeonspoke.core.body_memory import answer_capacity, request_capacity
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.explain import EXPLAIN_PATH, ExplainApp
from wigeonspoke.ingress.fleet.chain_reporter import ChainReporter
from wigeonspoke.ingress.requests.connection_reporter import ConnectionReporter
from wigeonspoke.ingress.requests.request_handler import RequestHandler
from wigeonspoke.ingress.front_app import FrontApp
from wigeonspoke.ingress.fleet.lease_loop import LeaseLoop
from wigeonspoke.ingress.metrics_page import render_counters
from wigeonspoke.ingress.tables.part_table import (
    PartConsumer,
    PartPublisher,
)
from wigeonspoke.ingress.peers.connection_witness import ConnectionWitness
from wigeonspoke.ingress.peers.peer_gossip import PeerGossip
from wigeonspoke.ingress.peers.peer_versions import PeerVersions
from wigeonspoke.ingress.fleet.placement_loop import PlacementLoop
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.fleet.reachability_loop import ReachabilityLoop
from wigeonspoke.ingress.protocols import EngineControl, WireFormat
from wigeonspoke.ingress.settings import IngressSettings
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_consumers import (
    ConfigurationConsumer,
    RegistryConsumer,
    TableConsumer,
)
from wigeonspoke.ingress.tables.table_followers import TableFollower
from wigeonspoke.ingress.tables.table_relay import PeerApp
from wigeonspoke.ingress.relay.relay_app import RelayApp
from wigeonspoke.ingress.tables.table_subscription import TableSubscription
from wigeonspoke.store import FeedStore
from wigeonspoke.transport import (
    CLIENT_SOCKET_FRACTION,
    PEER_SOCKET_FRACTION,
    READINESS_SOCKET_FRACTION,
    HostLimits,
    HttpClient,
    HttpListener,
    ListenerLimits,
)

# The most connections of each listener, whatever the host would bear.
FRONT_CONNECTIONS = 1500
READY_CONNECTIONS = 32
PEER_CONNECTIONS = 256
# The load balancer removes a node after two failed readiness checks, one
# second apart.
READINESS_DRAIN_SECONDS = 2.6
DRAIN_POLL_SECONDS = 0.05
LIMITS_POLL_SECONDS = 0.5
LOOP_RESTART_SECONDS = 0.5


class TableNames:
    """Names of the store tables, and of the configuration's key."""

    __slots__ = ('configuration', 'configuration_key', 'registry')

    def __init__(
        self,
        configuration: str,
        configuration_key: str,
        registry: str,
    ) -> None:
        self.configuration = configuration
        self.configuration_key = configuration_key
        self.registry = registry


class IngressNode:
    """An ingress node, which serves client requests on an entry host."""

    __slots__ = (
        'explain',
        'front',
        'gossip',
        'greenlets',
        'is_stopping',
        'lease_loop',
        'loops',
        'metrics',
        'open_handlers',
        'part_publisher',
        'peers',
        'placement_loop',
        'prober',
        'ready',
        'relay_app',
        'state',
        'tables',
        'witness',
    )

    def __init__(
        self,
        settings: IngressSettings,
        wire: WireFormat,
        store: FeedStore,
        control: EngineControl,
        client: HttpClient,
        tables: TableNames,
        log: DecisionLog,
    ) -> None:
        self.state = IngressState(settings, wire, log)
        store.on_era = self.state.record_era
        self.prober = Prober(self.state, control)
        self.witness = ConnectionWitness(self.state, client, self.prober.look)
        self.prober.witness = self.witness
        self.lease_loop = LeaseLoop(self.state, store)
        self.placement_loop = PlacementLoop(
            self.state, self.lease_loop, control
        )
        self.is_stopping = False
        self.greenlets: list[eventlet.greenthread.GreenThread] = []
        self.front: HttpListener | None = None
        self.ready: HttpListener | None = None
        self.peers: HttpListener | None = None
        self.metrics: HttpListener | None = None
        consumers: tuple[TableConsumer, ...] = (
            ConfigurationConsumer(
                self.state,
                tables.configuration,
                tables.configuration_key,
            ),
            RegistryConsumer(self.state, tables.registry),
        )
        peer_versions = PeerVersions()
        followers = [
            TableFollower(self.state, store, consumer, client, peer_versions)
            for consumer in consumers
        ]
        store_clock = self.lease_loop.store_seconds
        part_follower = TableFollower(
            self.state,
            store,
            PartConsumer(self.state, store_clock),
            client,
            peer_versions,
            watches_closely=False,
        )
        followers.append(part_follower)
        self.part_publisher = PartPublisher(
            self.state, store, part_follower.copy, store_clock
        )
        # The requests that have no final answer yet.
        self.open_handlers: set[RequestHandler] = set()
        self.relay_app = RelayApp(
            self.state,
            self.prober,
            self.part_publisher.claim_trial,
            self._peer_addresses,
            self.open_handlers,
        )
        self.tables = {
            follower.consumer.table: follower for follower in followers
        }
        self.explain = ExplainApp(self.state, self.tables[tables.registry].copy)
        self.gossip = PeerGossip(
            self.state,
            client,
            {name: follower.copy for name, follower in self.tables.items()},
            peer_versions,
        )
        # Bodies of the configuration are large, and its changes few: each node
        # reads them from the store.
        subscriptions = [
            TableSubscription(
                self.state, client, follower, self.gossip.exchange
            )
            for follower in followers[1:]
        ]
        self.loops: tuple[Callable[[], None], ...] = (
            *(follower.run for follower in followers),
            *(follower.run_peer_sync for follower in followers),
            *(follower.run_era_sync for follower in followers),
            *(subscription.run for subscription in subscriptions),
            self.prober.run,
            ReachabilityLoop(self.state, self.prober).run,
            self.lease_loop.run,
            *(
                partial(self.placement_loop.run, keeper)
                for keeper in self.lease_loop.keepers.values()
            ),
            self.gossip.run,
            self.part_publisher.run,
            self.state.connection_pool.run,
            ChainReporter(self.state).run,
            self._sync_limits,
        )

    def start(self) -> None:
        """Open the listeners and start the background loops."""
        settings = self.state.settings
        self.front = self._listen(
            'front',
            FrontApp(
                self.state,
                self.prober,
                self.part_publisher.claim_trial,
                self.open_handlers,
            ),
            settings.front,
            self._front_connections,
        )
        host_limits = self._host_limits
        ready_connections = host_limits.connections(
            READINESS_SOCKET_FRACTION, READY_CONNECTIONS
        )
        self.ready = self._listen(
            'ready', self._serve_readiness, settings.ready, ready_connections
        )
        self.peers = self._listen(
            'peers',
            PeerApp(
                self.tables,
                self.gossip.handle_request,
                self.relay_app,
                self.witness.handle_question,
            ),
            settings.peers,
            host_limits.connections(PEER_SOCKET_FRACTION, PEER_CONNECTIONS),
        )
        self.gossip.set_address(self.peers.address)
        self.metrics = self._listen(
            'metrics',
            self._serve_metrics,
            f'{settings.host}:{settings.metrics_port}',
            ready_connections,
        )
        self.greenlets = [
            eventlet.spawn(self._run_loop, loop) for loop in self.loops
        ]
        self.state.log.write(
            'start',
            front=settings.front,
            failure_domain=settings.failure_domain,
            store=settings.store,
        )

    def stop(self) -> None:
        """Shut down gracefully.

        Readiness fails first, until the load balancer has removed the node.
        Then the listener closes, and open requests are completed.  Those that
        are still open shortly before the time limit get a final answer.
        """
        self.state.shutdown = Shutdown.begin(
            time.monotonic(), self.state.settings.stop_seconds
        )
        self.is_stopping = True
        self.state.is_stopping = True
        self.state.tell_news()
        self.state.log.write('stop', active=self.front.active)
        self.front.is_stopping = True
        self.relay_app.is_stopping = True
        eventlet.sleep(READINESS_DRAIN_SECONDS)
        self.front.close()
        self._wait_for_requests(self.state.shutdown.answer_at)
        expired = self._expire_requests()
        self._wait_for_requests(self.state.shutdown.end_at)
        self.state.log.write(
            'stopped', active=self.front.active, expired=expired
        )

    def apply(self, settings: IngressSettings) -> tuple[str, ...]:
        """Apply changed settings; return the names of those changed.

        Addresses and names take effect at the next start.
        """
        before = self.state.settings
        changed = tuple(
            name
            for name in IngressSettings.__struct_fields__
            if getattr(settings, name) != getattr(before, name)
        )
        self.state.settings = settings
        self.state.memory.capacity_bytes = answer_capacity(settings.memory_mb)
        self.state.request_memory.bodies.capacity_bytes = request_capacity(
            settings.memory_mb
        )
        for budget in self.state.budgets.values():
            budget.ratio = settings.retry_ratio
            budget.extra_retries = settings.retry_extra
            budget.window_seconds = settings.retry_window_seconds
        return changed

    @property
    def is_ready(self) -> bool:
        """Whether the node can serve requests."""
        state = self.state
        return (
            not self.is_stopping
            and state.routing_table.configuration is not None
            and bool(state.fleet.endpoints)
        )

    @property
    def _host_limits(self) -> HostLimits:
        settings = self.state.settings
        return HostLimits(settings.max_sockets, settings.memory_mb)

    @property
    def _front_connections(self) -> int:
        return self._host_limits.connections(
            CLIENT_SOCKET_FRACTION, FRONT_CONNECTIONS
        )

    def _wait_for_requests(self, until: float) -> None:
        """Wait until no request is open, or until a time."""
        while time.monotonic() < until:
            self.front.close_idle()
            relayed = self.state.relay_traffic.in_progress
            if not self.front.open_connections and not relayed:
                return
            eventlet.sleep(DRAIN_POLL_SECONDS)

    def _expire_requests(self) -> int:
        """End the time for all open requests; return their number."""
        now = time.monotonic()
        expired = tuple(self.open_handlers)
        for request_handler in expired:
            request_handler.note('stop-expired')
            request_handler.expire(now)
        self.state.queues.wake()
        for listener in (self.front, self.peers):
            listener.end_bodies()
        return len(expired)

    def _peer_addresses(self) -> set[str]:
        """Return the addresses of the nodes of the system.

        They are registered in the store, or gossip has come from them.
        """
        return (
            self.state.peer_addresses | self.gossip.exchange.node_names.keys()
        )

    def _listen(
        self,
        name: str,
        application: Callable[..., Any],
        address: str,
        connections: int,
    ) -> HttpListener:
        host, _, port = address.rpartition(':')
        return HttpListener(
            application,
            host,
            int(port),
            ListenerLimits(connections=connections),
            ConnectionReporter(self.state, name),
            self.state.request_memory,
        )

    def _run_loop(self, loop: Callable[[], None]) -> None:
        """Run a background loop; start it again if it fails.

        The other loops and all requests depend on it, so that an unforeseen
        error must not end it for good.
        """
        while True:
            try:
                loop()
            except Exception:
                self.state.count_event('loop-failed')
                self.state.log.write(
                    'loop-failed', problem=traceback.format_exc()
                )
                eventlet.sleep(LOOP_RESTART_SECONDS)

    def _sync_limits(self) -> None:
        """Apply the configuration's limits to the listener."""
        while True:
            table = self.state.routing_table
            limits = table.limits
            self.front.apply_limits(
                ListenerLimits(
                    connections=self._front_connections,
                    header_bytes=limits.max_header_bytes,
                    idle_seconds=limits.idle_timeout_seconds,
                    head_seconds=limits.header_timeout_seconds,
                    version=table.version,
                )
            )
            eventlet.sleep(LIMITS_POLL_SECONDS)

    def _serve_readiness(
        self,
        _environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        if self.is_ready:
            status = http.HTTPStatus.OK
        start_response(f'{status.value} {status.phrase}', [])
        return [b'']

    def _serve_metrics(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        if environ['PATH_INFO'] == EXPLAIN_PATH:
            return self.explain(environ, start_response)
        page = render_counters(self.state)
        start_response('200 OK', [('Content-Type', page.content_type)])
        return [page.body]
