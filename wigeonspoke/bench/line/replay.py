"""Replay of a load pattern with one policy, in virtual time."""

import random
from collections import Counter
from collections.abc import Callable

from wigeonspoke.bench.line.chain import ChainSpeed, VirtualChain
from wigeonspoke.bench.line.figures import LineResult, summarize
from wigeonspoke.bench.line.fleet import (
    ENGINES_PER_CHAIN,
    LAYERS,
    make_configuration,
    make_engines,
)
from wigeonspoke.bench.line.host import LineHost, LinePolicy
from wigeonspoke.bench.line.patterns import FaultKind, LineFault, LoadPattern
from wigeonspoke.bench.line.policies import NaivePolicy, PollingPolicy
from wigeonspoke.bench.line.queue_policy import QueuePolicy
from wigeonspoke.bench.line.streams import LineStream, generate_streams
from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core.chains.token_load import TokenLoad
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.routing import RoutingTable

# A report is on average half a period old when the next one replaces it, so
# that what a host knows of others is 0.7 s old on average.
NEWS_PERIOD_SECONDS = 0.25
NEWS_DELAY_SECONDS = 0.575
# Hosts forget the streams of a host without news for this time.
PEER_TIMEOUT_SECONDS = 3.0
# The load balancer sends to a dead host for this time.
BALANCER_SECONDS = 1.0
# The registry lists engines for this time after their end.
REGISTRY_SECONDS = 2.0
# A client leaves after this time without an event.
CLIENT_GAP_SECONDS = 2.0
# A client waits for Retry-After if it is at most this part of its time.
RETRY_AFTER_FRACTION = 1 / 3
# Clients return later than Retry-After by up to this fraction.
RETURN_JITTER = 0.1
REPEAT_SECONDS = 0.05
MAX_REPEATS = 20
# Time for the streams in progress at the end to complete.
DRAIN_SECONDS = 6.0
POLICIES: dict[str, Callable[[LineHost], LinePolicy]] = {
    'naive': NaivePolicy,
    'polling': PollingPolicy,
    'queue': QueuePolicy,
}


class LineReplay:
    """A pattern, its hosts, clients and chains, under one policy."""

    __slots__ = (
        'chains',
        'counters',
        'fleet',
        'has_news',
        'hosts',
        'pattern',
        'policy',
        'rng',
        'scheduler',
        'seconds',
        'seed',
        'streams',
    )

    def __init__(
        self,
        pattern: LoadPattern,
        policy: str,
        seed: int,
        hosts: int,
        seconds: float,
    ) -> None:
        self.pattern = pattern
        self.policy = policy
        self.seed = seed
        self.seconds = seconds
        self.scheduler = Scheduler()
        self.rng = random.Random(seed)
        self.counters: Counter[str] = Counter()
        self.has_news = True
        self.fleet = Fleet()
        for engine in make_engines(pattern):
            self.fleet.put(engine)
        self.chains: dict[str, VirtualChain] = {}
        self.hosts = self._make_hosts(hosts)
        self._make_chains()
        self.streams = generate_streams(pattern, seconds, seed)

    def run(self) -> LineResult:
        """Run the replay and return its figures."""
        self._schedule_arrivals()
        self._schedule_news()
        for fault in self.pattern.faults:
            self.scheduler.call_later(fault.at, self._inject, fault)
        self.scheduler.run_until(self.seconds + DRAIN_SECONDS)
        return summarize(self)

    def receive_refusal(
        self, stream: LineStream, host: LineHost, retry_after: float
    ) -> None:
        """Let a client return once, or at once if it does not wait."""
        self.counters['refusals'] += 1
        stream.host = ''
        if host.policy.has_unreserved_room(stream):
            self.counters['refused-with-room'] += 1
        left = stream.deadline - self.scheduler.now
        if stream.events:
            stream.is_ended = True
        elif stream.kind.repeats_at_once and stream.arrivals <= MAX_REPEATS:
            self._return_after(REPEAT_SECONDS, stream, host)
        elif (
            stream.arrivals == 1 and retry_after <= left * RETRY_AFTER_FRACTION
        ):
            jitter = 1 + RETURN_JITTER * self.rng.random()
            self._return_after(retry_after * jitter, stream, host)
        else:
            stream.is_ended = True

    def receive_end(self, stream: LineStream, *, is_complete: bool) -> None:
        """End a stream."""
        stream.is_ended = True
        stream.is_served = is_complete and self.scheduler.now <= stream.deadline

    def _make_hosts(self, count: int) -> list[LineHost]:
        routing_table = RoutingTable()
        routing_table.adopt(make_configuration(self.pattern))
        hosts: list[LineHost] = []
        for number in range(count):
            host = LineHost(
                f'host-{number}',
                self.pattern.domains[number % len(self.pattern.domains)],
                self.scheduler,
                self.fleet,
                routing_table,
                self.chains,
                self,
                self.seed,
            )
            host.policy = POLICIES[self.policy](host)
            host.live_hosts = count
            host.budget.node_share = 1 / count
            hosts.append(host)
        return hosts

    def _make_chains(self) -> None:
        """Make the chains that the core finds over the engines."""
        profile = self.hosts[0].profile
        for chain in self.hosts[0].known_chains():
            part = LAYERS // ENGINES_PER_CHAIN
            caches = min(
                profile.cache_capacity(hop.endpoint.accelerator, part)
                for hop in chain.hops
            )
            head_id = chain.head.endpoint_id
            self.chains[head_id] = VirtualChain(
                self.scheduler,
                head_id,
                ChainSpeed(len(chain.hops)),
                caches / part,
            )

    def _schedule_arrivals(self) -> None:
        """Spread the streams of each domain over its hosts at random."""
        for stream in self.streams:
            hosts = [
                host for host in self.hosts if host.domain == stream.domain
            ]
            host = self.rng.choice(hosts or self.hosts)
            self.scheduler.call_later(
                stream.arrived_at, self._arrive, stream, host
            )

    def _schedule_news(self) -> None:
        for number, host in enumerate(self.hosts):
            phase = NEWS_PERIOD_SECONDS * number / len(self.hosts)
            self.scheduler.call_later(phase, self._publish, host)

    def _arrive(self, stream: LineStream, host: LineHost) -> None:
        """Let a stream reach its host, or another one if that is gone."""
        stream.arrivals += 1
        receiver = host
        if not host.is_alive:
            if self.scheduler.now < host.died_at + BALANCER_SECONDS:
                stream.is_ended = True
                return
            receiver = self.rng.choice(
                [other for other in self.hosts if other.is_alive]
            )
        self.scheduler.call_later(
            CLIENT_GAP_SECONDS, self._abandon, stream, receiver, stream.arrivals
        )
        stream.host = receiver.name
        receiver.policy.submit(stream)

    def _return_after(
        self, seconds: float, stream: LineStream, host: LineHost
    ) -> None:
        self.scheduler.call_later(seconds, self._arrive, stream, host)

    def _abandon(
        self, stream: LineStream, host: LineHost, arrival: int
    ) -> None:
        """Let a client leave that has seen no event since its arrival."""
        is_current = arrival == stream.arrivals and stream.host == host.name
        if is_current and not stream.events and not stream.is_ended:
            self.counters['abandoned'] += 1
            stream.is_ended = True
            host.drop(stream)

    def _publish(self, host: LineHost) -> None:
        """Tell all other hosts the streams of one."""
        if not host.is_alive:
            return
        self.scheduler.call_later(
            NEWS_DELAY_SECONDS,
            self._deliver,
            host,
            dict(host.selector.in_flight),
            dict(host.selector.times.loads),
        )
        self.scheduler.call_later(NEWS_PERIOD_SECONDS, self._publish, host)

    def _deliver(
        self,
        sender: LineHost,
        streams: dict[str, int],
        loads: dict[str, TokenLoad],
    ) -> None:
        if not self.has_news:
            return
        for host in self.hosts:
            if host is not sender and host.is_alive:
                host.selector.peer_load.update(sender.name, streams, loads)
                host.policy.notice_change()

    def _inject(self, fault: LineFault) -> None:
        """Let a fault happen."""
        self.counters['faults'] += 1
        if fault.kind is FaultKind.HOST_DIES:
            self._kill_host(max(self.hosts, key=_queue_length))
        elif fault.kind is FaultKind.CHAIN_VANISHES:
            self._lose_chain(next(iter(self.chains.values())))
        elif fault.kind is FaultKind.NEWS_STOPS:
            self.has_news = False
            self._forget_hosts_later(self.hosts)
        else:
            for host in self.hosts[::2]:
                host.clock_offset += fault.seconds

    def _kill_host(self, host: LineHost) -> None:
        self.counters['queued-at-fault'] += host.policy.queue_length()
        host.die()
        for stream in self.streams:
            if stream.host == host.name:
                stream.is_ended = True
        self._forget_hosts_later([host])

    def _lose_chain(self, chain: VirtualChain) -> None:
        """Lose the engines of a chain, which stay registered for a while."""
        self.counters['queued-at-fault'] += sum(map(_queue_length, self.hosts))
        lost = next(
            known
            for known in self.hosts[0].known_chains()
            if known.head.endpoint_id == chain.head_id
        )
        chain.vanish()
        for endpoint_id in lost.endpoint_ids:
            self.scheduler.call_later(
                REGISTRY_SECONDS, self.fleet.drop, endpoint_id
            )

    def _forget_hosts_later(self, gone: list[LineHost]) -> None:
        self.scheduler.call_later(
            PEER_TIMEOUT_SECONDS, self._forget_hosts, gone
        )

    def _forget_hosts(self, gone: list[LineHost]) -> None:
        """Let all hosts forget the streams of those they do not hear from."""
        names = {host.name for host in self.hosts}
        names.difference_update(host.name for host in gone)
        for host in self.hosts:
            host.live_hosts = len(names | {host.name})
            host.selector.peer_load.retain(names)


def _queue_length(host: LineHost) -> int:
    return host.policy.queue_length() if host.is_alive else 0
