"""A node: its listeners, background loops and runtime."""

import random
import time
import uuid
from collections.abc import Callable
from functools import partial

import eventlet
from eventlet.greenthread import GreenThread

from wigeonspoke.config import ConfigStore
from wigeonspoke.core.events import StopRequested
from wigeonspoke.core.router import Router
from wigeonspoke.endpoints import HttpEngine, HttpService
from wigeonspoke.node.admin_app import AdminApp
from wigeonspoke.node.callers_app import CallersApp
from wigeonspoke.node.claim_store import ClaimStore
from wigeonspoke.node.config_sync import ConfigSync
from wigeonspoke.node.gossip import Gossip
from wigeonspoke.node.mark_sync import MarkSync
from wigeonspoke.node.peers_app import PeersApp
from wigeonspoke.node.runtime import RequestIdGenerator, Runtime
from wigeonspoke.node.settings import NodeSettings
from wigeonspoke.node.tokenizer import ByteTokenizer
from wigeonspoke.observe import HybridClock, Timeline
from wigeonspoke.store import HttpPlatform
from wigeonspoke.transport import HttpClient, HttpListener, RequestMemory
from wigeonspoke.webapp import key_digest

RANDOM_SUFFIX_LENGTH = 4
MILLISECONDS_PER_SECOND = 1000
IDLE_POLL_SECONDS = 0.05


class Node:
    """The router process of one entry host.

    The listeners are open after construction; :meth:`start` starts the
    background loops.  :meth:`stop` completes the requests in progress;
    :meth:`kill` drops them, which simulates a crash.
    """

    __slots__ = (
        'admin',
        'callers',
        'config_sync',
        'gossip',
        'greenlets',
        'incarnation',
        'is_stopping',
        'mark_sync',
        'peers',
        'runtime',
        'settings',
    )

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.incarnation = new_incarnation()
        self.is_stopping = False
        self.greenlets: list[GreenThread] = []
        client = HttpClient()
        platform = HttpPlatform(settings.platform, client)
        self.runtime = self._make_runtime(client, platform)
        peer_client = HttpClient(
            {'Authorization': f'Bearer {settings.cluster_key}'},
        )
        self.config_sync = ConfigSync(
            self.runtime,
            ConfigStore(platform),
            peer_client,
        )
        self.mark_sync = MarkSync(self.runtime, platform)
        self.gossip = Gossip(
            runtime=self.runtime,
            config_sync=self.config_sync,
            client=peer_client,
            host_list=platform,
            incarnation=self.incarnation,
            seeds=settings.seeds,
        )
        self._start_listeners()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this node."""
        return not self.is_stopping and self.config_sync.generation > 0

    def start(self) -> None:
        """Start the background loops."""
        loops: tuple[Callable[[], None], ...] = (
            self.runtime.fire_timer_forever,
            self.config_sync.poll_forever,
            self.mark_sync.sync_forever,
            self.gossip.gossip_forever,
            self.gossip.poll_hosts_forever,
        )
        self.greenlets = [eventlet.spawn(loop) for loop in loops]

    def stop(self) -> None:
        """Shut down gracefully; return when no request is in progress.

        The readiness check fails at once.  For ``look_away_seconds``, new
        requests are still accepted, because the load balancer needs time to
        notice and stop sending them.
        """
        self.is_stopping = True
        eventlet.sleep(self.settings.look_away_seconds)
        self.runtime.dispatch(StopRequested())
        while not self._is_idle():
            eventlet.sleep(IDLE_POLL_SECONDS)
        self.callers.close()
        self.admin.close()
        self.peers.close()
        self._stop_background_loops()

    def kill(self) -> None:
        """Stop at once and drop all requests in progress."""
        self.is_stopping = True
        self._stop_background_loops()
        for listener in (self.callers, self.admin, self.peers):
            listener.abort()

    def _is_idle(self) -> bool:
        if self.callers.active or self.runtime.claim_store.pending_writes:
            return False
        return self.runtime.router.is_idle

    def _stop_background_loops(self) -> None:
        for greenlet in self.greenlets:
            greenlet.kill()

    def _make_runtime(
        self,
        client: HttpClient,
        platform: HttpPlatform,
    ) -> Runtime:
        settings = self.settings
        failure_domain = settings.failure_domain
        clock = HybridClock(time.time)
        return Runtime(
            router=Router(settings.name, failure_domain, random.Random()),
            engine=HttpEngine(client),
            service=HttpService(client),
            claim_store=ClaimStore(platform),
            timeline=Timeline(settings.name, failure_domain, clock),
        )

    def _start_listeners(self) -> None:
        settings = self.settings
        request_ids = RequestIdGenerator(settings.name, self.incarnation)
        callers = CallersApp(self.runtime, request_ids, ByteTokenizer())
        admin = AdminApp(
            runtime=self.runtime,
            config_sync=self.config_sync,
            mark_sync=self.mark_sync,
            key_digest=key_digest(settings.admin_key),
            incarnation=self.incarnation,
            is_ready=lambda: self.is_ready,
        )
        peers = PeersApp(self.gossip, key_digest(settings.cluster_key))
        listen = partial(
            HttpListener, host=settings.host, memory=RequestMemory()
        )
        self.callers = listen(callers, port=settings.callers_port)
        self.admin = listen(admin, port=settings.admin_port)
        self.peers = listen(peers, port=settings.peers_port)
        self.gossip.set_address(self.peers.address)


def new_incarnation() -> str:
    """Return a string that sorts higher at each start of a node.

    It begins with the wall-clock time of the start, in milliseconds and
    as 12 hexadecimal digits.
    """
    started = int(time.time() * MILLISECONDS_PER_SECOND)
    return f'{started:012x}{uuid.uuid4().hex[:RANDOM_SUFFIX_LENGTH]}'
