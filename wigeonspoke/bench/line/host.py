"""Model of an ingress host: what it knows, and the streams that it sends.

What the host decides is up to its policy.  Its knowledge is kept by the code
of the nodes: the chains, their load and limits, the suspected engines and the
retry budget.
"""

import random
from functools import partial
from typing import Protocol

from wigeonspoke.bench.line.chain import EngineRun, VirtualChain
from wigeonspoke.bench.line.fleet import SERVICE, SPEEDS
from wigeonspoke.bench.line.streams import LineStream
from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core.chains import (
    Chain,
    ChainSelector,
    RequestDemand,
    SuspectRegistry,
)
from wigeonspoke.core.chains.times import ChainUse
from wigeonspoke.core.fleet import EngineProfile, Fleet
from wigeonspoke.core.forwarding import RetryWindowBudget
from wigeonspoke.core.routing import RoutingTable

# Limits of the retry budget on the users' platform.
RETRY_RATIO = 0.2
RETRY_EXTRA = 400.0
RETRY_WINDOW_SECONDS = 10.0
# How long it takes to detect that a chain has stopped, or does not answer:
# the connect timeout of a node and about the silence timeout of a chain.
DETECTION_SECONDS = 0.3


class Clients(Protocol):
    """The clients of the hosts, as far as a host deals with them."""

    def receive_refusal(
        self, stream: LineStream, host: 'LineHost', retry_after: float
    ) -> None:
        """Handle a refusal of a stream."""

    def receive_end(self, stream: LineStream, *, is_complete: bool) -> None:
        """Handle the end of a stream that has reached an engine."""


class LinePolicy(Protocol):
    """What a host does with the streams that arrive."""

    def submit(self, stream: LineStream) -> None:
        """Send a stream to a chain now or later, or refuse it."""

    def cancel(self, stream: LineStream) -> None:
        """Forget a stream whose client has left."""

    def notice_change(self) -> None:
        """Look for room after a stream has ended or news has arrived."""

    def has_unreserved_room(self, stream: LineStream) -> bool:
        """Return whether a known chain has room that is not reserved."""

    def queue_length(self) -> int:
        """Return the number of streams that wait."""


class LineHost:
    """A host with its own clock, which may jump.

    ``runs`` holds the streams in progress by their number.
    """

    __slots__ = (
        'budget',
        'chains',
        'clients',
        'clock_offset',
        'died_at',
        'domain',
        'is_alive',
        'live_hosts',
        'name',
        'policy',
        'rng',
        'routing_table',
        'runs',
        'scheduler',
        'selector',
        'suspects',
    )

    def __init__(
        self,
        name: str,
        domain: str,
        scheduler: Scheduler,
        fleet: Fleet,
        routing_table: RoutingTable,
        chains: dict[str, VirtualChain],
        clients: Clients,
        seed: int,
    ) -> None:
        self.name = name
        self.domain = domain
        self.scheduler = scheduler
        self.routing_table = routing_table
        self.chains = chains
        self.clients = clients
        self.rng = random.Random(f'{name} {seed}')
        self.clock_offset: float = 0
        self.is_alive = True
        self.died_at: float = 0
        self.live_hosts = 1
        self.suspects = SuspectRegistry()
        self.selector = ChainSelector(
            fleet,
            self.suspects,
            domain,
            rng=random.Random(f'{name} choice {seed}'),
            count_nodes=lambda: self.live_hosts,
        )
        # It starts one window ago: the extra retries grow in the first window.
        self.budget = RetryWindowBudget(
            RETRY_RATIO,
            RETRY_EXTRA,
            RETRY_WINDOW_SECONDS,
            -RETRY_WINDOW_SECONDS,
        )
        self.runs: dict[int, tuple[EngineRun, VirtualChain]] = {}
        self.policy: LinePolicy | None = None

    @property
    def now(self) -> float:
        """The time on the clock of the host."""
        return self.scheduler.now + self.clock_offset

    @property
    def profile(self) -> EngineProfile:
        """Engine profile of the service."""
        return self.routing_table.services[SERVICE].engine

    def known_chains(self) -> tuple[Chain, ...]:
        """Return the chains that the host knows."""
        return self.selector.chains(SERVICE, self.profile)

    def has_room(self, chain: Chain, reserved: float = 0) -> bool:
        """Return whether a chain has unreserved room, and the host knows it.

        A host may also take a chain for free that is full, since news is old.
        """
        head = chain.head
        if not self.selector.has_capacity(chain, self.now):
            return False
        virtual = self.chains[head.endpoint_id]
        known = self.selector.streams_at(head.endpoint_id)
        streams = max(known, len(virtual.runs))
        return virtual.is_alive and streams < head.slots - reserved

    def send(
        self,
        stream: LineStream,
        chain: Chain,
        demand: RequestDemand | None = None,
        urgency: int | None = None,
    ) -> bool:
        """Send a stream to a chain; return whether the chain admits it.

        A chain that does not answer counts as one that breaks off later.
        """
        use = self.selector.begin(chain, demand, self.now)
        virtual = self.chains[chain.head.endpoint_id]
        done = stream.events * SPEEDS.steps_per_pass
        run = EngineRun(
            stream,
            min(done, stream.output - 1),
            partial(self._handle_end, stream, chain, use),
            partial(self._handle_event, stream, use),
        )
        if not virtual.is_alive:
            run.on_end(False)
            return True
        if virtual.start(run, urgency):
            self.runs[stream.number] = (run, virtual)
            return True
        self.suspects.deprioritize(chain.head.endpoint_id, self.now)
        self.selector.record_refusal(chain, self.now)
        self.selector.end(chain, use, self.now)
        return False

    def refuse(self, stream: LineStream, retry_after: float) -> None:
        """Refuse a stream."""
        self.clients.receive_refusal(stream, self, retry_after)

    def drop(self, stream: LineStream) -> None:
        """End a stream whose client has left."""
        self.policy.cancel(stream)
        entry = self.runs.get(stream.number)
        if entry is not None:
            run, virtual = entry
            virtual.end(run, is_complete=False)

    def die(self) -> None:
        """End with all streams."""
        self.is_alive = False
        self.died_at = self.scheduler.now
        for run, virtual in tuple(self.runs.values()):
            run.on_end = _ignore_end
            virtual.end(run, is_complete=False)

    def _handle_event(self, stream: LineStream, use: ChainUse) -> None:
        gap = self.scheduler.now - stream.last_event_at
        self.selector.times.record_event(use, gap, self.now)

    def _handle_end(
        self,
        stream: LineStream,
        chain: Chain,
        use: ChainUse,
        is_complete: bool,
    ) -> None:
        """Stop counting a stream that has completed, or later a lost one."""
        self.runs.pop(stream.number, None)
        if not is_complete and not stream.is_ended:
            self.scheduler.call_later(
                DETECTION_SECONDS, self._handle_break, stream, chain, use
            )
            return
        self.selector.end(chain, use, self.now)
        if is_complete:
            self.clients.receive_end(stream, is_complete=True)
        self.policy.notice_change()

    def _handle_break(
        self, stream: LineStream, chain: Chain, use: ChainUse
    ) -> None:
        """Suspect the engines of a chain, and send the stream elsewhere."""
        self.selector.end(chain, use, self.now)
        for hop in chain.hops:
            self.suspects.suspect(hop.endpoint, 'silent', self.now)
        if not self.is_alive or stream.is_ended:
            return
        stream.excluded.update(chain.endpoint_ids)
        if self.budget.withdraw(self.now):
            self.policy.submit(stream)
        else:
            self.clients.receive_end(stream, is_complete=False)


def _ignore_end(_is_complete: bool) -> None:
    """Do nothing: the host has died."""
