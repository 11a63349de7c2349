"""Simulation of a cluster in virtual time.

The network is modelled by two properties of each pair of failure domains: the
one-way delay and whether the pair is partitioned.
"""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from wigeonspoke.bench.engine import StepEvent, VirtualEngine
from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core import actions, events
from wigeonspoke.core.deployment import Configuration
from wigeonspoke.core.membership import PeerReport

TICK_INTERVAL_SECONDS = 0.05
GOSSIP_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
LOCAL_DELAY_SECONDS = 0.0002


class Policy(Protocol):
    """Decision logic of a node: the core's router or the naive baseline."""

    def handle(
        self,
        event: events.AnyEvent,
        now: float,
    ) -> list[actions.AnyAction]:
        """Handle an event and return the resulting actions."""

    def report(self, incarnation: str) -> PeerReport:
        """Return the load report to send to peers."""


PolicyFactory = Callable[[str, str, random.Random], Policy]


class RequestRecord:
    """A request and its answer as its caller received it.

    Times are in virtual seconds.  A request that is resubmitted to another
    node keeps its record.
    """

    __slots__ = (
        'arrival_time',
        'end_time',
        'finish',
        'node',
        'request',
        'resubmissions',
        'token_times',
        'tokens',
    )

    def __init__(
        self,
        request: events.GenerationRequested,
        node: str,
        arrival_time: float,
    ) -> None:
        self.request = request
        self.node = node
        self.resubmissions = 0
        self.arrival_time = arrival_time
        self.token_times: list[float] = []
        self.tokens: list[int] = []
        self.finish: actions.FinishGeneration | None = None
        self.end_time: float = 0

    @property
    def is_complete(self) -> bool:
        """Whether the answer finished without an error."""
        return bool(self.finish) and self.finish.error is None


class VirtualNode:
    """A node that runs a policy and performs its actions."""

    __slots__ = (
        'action_handlers',
        'alive',
        'cluster',
        'failure_domain',
        'name',
        'policy',
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        policy: Policy,
        cluster: 'VirtualCluster',
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.policy = policy
        self.cluster = cluster
        self.alive = True
        self.action_handlers: dict[type, Callable[..., None]] = {
            actions.SendStep: self._send_step,
            actions.CancelStream: self._cancel_stream,
            actions.EmitToken: self._record_token,
            actions.FinishGeneration: self._record_finish,
            actions.ProbeEndpoint: self._probe,
        }

    def dispatch(self, event: events.AnyEvent) -> None:
        """Pass an event to the policy and perform the resulting actions."""
        if not self.alive:
            return
        now = self.cluster.scheduler.now
        for action in self.policy.handle(event, now):
            self.cluster.on_action(self.name, action)
            perform_action = self.action_handlers.get(type(action))
            if perform_action:
                perform_action(action)

    def tick(self) -> None:
        """Send the policy a timer event."""
        self.dispatch(events.TimerFired())

    def gossip(self) -> None:
        """Send this node's load report to all reachable peers."""
        if not self.alive:
            return
        report = self.policy.report('1')
        for peer in self.cluster.nodes.values():
            if peer is not self and self.cluster.can_reach(
                self, peer.failure_domain
            ):
                delay = self.cluster.delay(
                    self.failure_domain, peer.failure_domain
                )
                self.cluster.scheduler.call_later(
                    delay,
                    peer.dispatch,
                    events.PeerReported(report),
                )

    def _send_step(self, action: actions.SendStep) -> None:
        engine = self.cluster.engines[action.endpoint]
        domain = engine.record.failure_domain
        delay = self.cluster.delay(self.failure_domain, domain)
        self.cluster.scheduler.call_later(
            delay, self._deliver_step, engine, action
        )

    def _deliver_step(
        self,
        engine: VirtualEngine,
        action: actions.SendStep,
    ) -> None:
        if self.cluster.can_reach(self, engine.record.failure_domain):
            engine.submit(action, self._reply_callback(engine))

    def _reply_callback(
        self,
        engine: VirtualEngine,
    ) -> Callable[[StepEvent], None]:
        domain = engine.record.failure_domain
        return ReplyPath(self, domain).deliver

    def _cancel_stream(self, action: actions.CancelStream) -> None:
        engine = self.cluster.engines[action.endpoint]
        delay = self.cluster.delay(
            self.failure_domain, engine.record.failure_domain
        )
        stream = (action.request_id, action.attempt)
        self.cluster.scheduler.call_later(delay, engine.cancel, stream)

    def _record_token(self, action: actions.EmitToken) -> None:
        record = self.cluster.request_records[action.request_id]
        record.tokens.append(action.token)
        record.token_times.append(self.cluster.scheduler.now)

    def _record_finish(self, action: actions.FinishGeneration) -> None:
        record = self.cluster.request_records[action.request_id]
        record.finish = action
        record.end_time = self.cluster.scheduler.now
        self.cluster.on_finish(record)

    def _probe(self, action: actions.ProbeEndpoint) -> None:
        engine = self.cluster.engines[action.endpoint]
        is_reachable = self.cluster.can_reach(
            self, engine.record.failure_domain
        )
        healthy = engine.alive and not engine.hung and is_reachable
        delay = 2 * self.cluster.delay(
            self.failure_domain, engine.record.failure_domain
        )
        if not healthy and engine.alive:
            delay = PROBE_TIMEOUT_SECONDS
        reply = events.ProbeCompleted(action.endpoint, healthy)
        self.cluster.scheduler.call_later(delay, self.dispatch, reply)


class ReplyPath:
    """Delivers the replies of the engines of a failure domain to a node."""

    __slots__ = ('domain', 'node')

    def __init__(self, node: VirtualNode, domain: str) -> None:
        self.node = node
        self.domain = domain

    def deliver(self, event: StepEvent) -> None:
        """Deliver a reply after the link's delay, or drop it if partitioned."""
        cluster = self.node.cluster
        if not cluster.can_reach(self.node, self.domain):
            return
        for delay in cluster.reply_delays(
            self.node.failure_domain, self.domain
        ):
            cluster.scheduler.call_later(delay, self.node.dispatch, event)


class VirtualCluster:
    """A deployment with its configuration, nodes and engines.

    ``node_domains`` maps node names to failure domains.  ``partitions`` holds
    the pairs of failure domains that cannot reach each other, and
    ``delay_factors`` multiplies the delays of degraded links.  Subclasses can
    override ``on_action`` and ``on_finish``, for example to record actions or
    to generate a closed-loop load.
    """

    def __init__(
        self,
        configuration: Configuration,
        node_domains: dict[str, str],
        make_policy: PolicyFactory,
        seed: int,
    ) -> None:
        self.configuration = configuration
        self.scheduler = Scheduler()
        self.rng = random.Random(seed)
        self.partitions: set[frozenset[str]] = set()
        self.delay_factors: dict[frozenset[str], float] = {}
        self.request_records: dict[str, RequestRecord] = {}
        self.link_delays = {
            frozenset((link.one, link.other)): link.seconds
            for link in configuration.links
        }
        layers = {model.name: model.layers for model in configuration.models}
        self.engines = {
            record.name: VirtualEngine(
                record,
                layers[record.model],
                self.scheduler,
            )
            for record in configuration.engines
        }
        self.nodes = {
            name: self._make_node(name, failure_domain, make_policy)
            for name, failure_domain in node_domains.items()
        }

    def start(self) -> None:
        """Apply the configuration on all nodes and start their timers."""
        for node in self.nodes.values():
            node.dispatch(events.ConfigurationAdopted(self.configuration))
            self.scheduler.call_every(TICK_INTERVAL_SECONDS, node.tick)
            self.scheduler.call_every(GOSSIP_INTERVAL_SECONDS, node.gossip)

    def submit_request(
        self, node: str, request: events.GenerationRequested
    ) -> None:
        """Submit a request to a node at the current virtual time."""
        record = RequestRecord(request, node, self.scheduler.now)
        self.request_records[request.request_id] = record
        self.nodes[node].dispatch(request)

    def kill_node(self, name: str) -> None:
        """Kill a node and resubmit its unfinished requests to other nodes."""
        killed = self.nodes[name]
        killed.alive = False
        survivors = [node for node in self.nodes.values() if node.alive]
        interrupted = [
            record
            for record in self.request_records.values()
            if record.node == name and record.finish is None
        ]
        for number, record in enumerate(interrupted):
            record.tokens.clear()
            self.resubmit(record, survivors[number % len(survivors)].name)

    def resubmit(self, record: RequestRecord, node: str) -> None:
        """Submit a request again to another node, under a new request id."""
        record.node = node
        record.resubmissions += 1
        resubmitted = msgspec.structs.replace(
            record.request,
            request_id=f'{record.request.request_id}-{record.resubmissions}',
        )
        self.request_records[resubmitted.request_id] = record
        self.nodes[node].dispatch(resubmitted)

    def delay(self, one: str, other: str) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        if one == other:
            return LOCAL_DELAY_SECONDS
        pair = frozenset((one, other))
        factor = self.delay_factors.get(pair, 1)
        return self.link_delays.get(pair, LOCAL_DELAY_SECONDS) * factor

    def reply_delays(self, one: str, other: str) -> tuple[float, ...]:
        """Return the delay of each delivered copy of a reply.

        Subclasses can drop a reply or duplicate it.
        """
        return (self.delay(one, other),)

    def can_reach(self, node: VirtualNode, domain: str) -> bool:
        """Return whether a node and a failure domain are not partitioned."""
        return frozenset((node.failure_domain, domain)) not in self.partitions

    def on_action(self, node: str, action: actions.AnyAction) -> None:
        """Handle an action before the node performs it."""

    def on_finish(self, record: RequestRecord) -> None:
        """Handle the end of an answer."""

    def _make_node(
        self,
        name: str,
        failure_domain: str,
        make_policy: PolicyFactory,
    ) -> VirtualNode:
        rng = random.Random(self.rng.random())
        return VirtualNode(
            name, failure_domain, make_policy(name, failure_domain, rng), self
        )
