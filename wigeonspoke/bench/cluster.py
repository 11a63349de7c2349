"""Nodes and engines in virtual time, with delays and cuts between domains.

There is no model of a network beyond a delay and a cut for each pair of
failure domains.
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

TICK_SECONDS = 0.05
GOSSIP_SECONDS = 0.25
PROBE_SECONDS = 1.0
LOCAL_SECONDS = 0.0002


class Policy(Protocol):
    """What decides for a node: the core's router, or a naive one."""

    def handle(
        self,
        event: events.AnyEvent,
        now: float,
    ) -> list[actions.AnyAction]:
        """Take in an event and give the actions."""

    def report(self, incarnation: str) -> PeerReport:
        """Give the load report for peers."""


PolicyFactory = Callable[[str, str, random.Random], Policy]


class AnswerLog:
    """What the caller of one request saw, and when."""

    __slots__ = (
        'arrived',
        'ended',
        'finish',
        'moved',
        'node',
        'request',
        'times',
        'tokens',
    )

    def __init__(
        self,
        request: events.GenerationRequested,
        node: str,
        arrived: float,
    ) -> None:
        self.request = request
        self.node = node
        self.moved = 0
        self.arrived = arrived
        self.times: list[float] = []
        self.tokens: list[int] = []
        self.finish: actions.FinishGeneration | None = None
        self.ended: float = 0

    @property
    def is_whole(self) -> bool:
        """Tell whether the answer ended without an error."""
        return bool(self.finish) and self.finish.error is None


class VirtualNode:
    """A node: a policy and the carrying out of its actions."""

    __slots__ = ('alive', 'cluster', 'home', 'name', 'performers', 'policy')

    def __init__(
        self,
        name: str,
        home: str,
        policy: Policy,
        cluster: 'VirtualCluster',
    ) -> None:
        self.name = name
        self.home = home
        self.policy = policy
        self.cluster = cluster
        self.alive = True
        self.performers: dict[type, Callable[..., None]] = {
            actions.SendStep: self._send_step,
            actions.CancelStream: self._cancel_stream,
            actions.EmitToken: self._emit,
            actions.FinishGeneration: self._finish,
            actions.ProbeEndpoint: self._probe,
        }

    def dispatch(self, event: events.AnyEvent) -> None:
        """Hand the policy an event and carry out its actions."""
        if not self.alive:
            return
        now = self.cluster.scheduler.now
        for action in self.policy.handle(event, now):
            self.cluster.note(self.name, action)
            perform = self.performers.get(type(action))
            if perform:
                perform(action)

    def tick(self) -> None:
        """Tell the policy that time has passed."""
        self.dispatch(events.TimerFired())

    def gossip(self) -> None:
        """Tell all peers within reach of this node's load."""
        if not self.alive:
            return
        report = self.policy.report('1')
        for peer in self.cluster.nodes.values():
            if peer is not self and self.cluster.reaches(self, peer.home):
                delay = self.cluster.delay(self.home, peer.home)
                self.cluster.scheduler.after(
                    delay,
                    peer.dispatch,
                    events.PeerReported(report),
                )

    def _send_step(self, action: actions.SendStep) -> None:
        engine = self.cluster.engines[action.endpoint]
        domain = engine.record.failure_domain
        delay = self.cluster.delay(self.home, domain)
        self.cluster.scheduler.after(delay, self._arrive, engine, action)

    def _arrive(
        self,
        engine: VirtualEngine,
        action: actions.SendStep,
    ) -> None:
        if self.cluster.reaches(self, engine.record.failure_domain):
            engine.submit(action, self._answer_from(engine))

    def _answer_from(
        self,
        engine: VirtualEngine,
    ) -> Callable[[StepEvent], None]:
        domain = engine.record.failure_domain
        return AnswerPath(self, domain).deliver

    def _cancel_stream(self, action: actions.CancelStream) -> None:
        engine = self.cluster.engines[action.endpoint]
        delay = self.cluster.delay(self.home, engine.record.failure_domain)
        stream = (action.request_id, action.attempt)
        self.cluster.scheduler.after(delay, engine.cancel, stream)

    def _emit(self, action: actions.EmitToken) -> None:
        log = self.cluster.answers[action.request_id]
        log.tokens.append(action.token)
        log.times.append(self.cluster.scheduler.now)

    def _finish(self, action: actions.FinishGeneration) -> None:
        log = self.cluster.answers[action.request_id]
        log.finish = action
        log.ended = self.cluster.scheduler.now
        self.cluster.ended(log)

    def _probe(self, action: actions.ProbeEndpoint) -> None:
        engine = self.cluster.engines[action.endpoint]
        reached = self.cluster.reaches(self, engine.record.failure_domain)
        healthy = engine.alive and not engine.frozen and reached
        delay = 2 * self.cluster.delay(self.home, engine.record.failure_domain)
        if not healthy and engine.alive:
            delay = PROBE_SECONDS
        answer = events.ProbeAnswered(action.endpoint, healthy)
        self.cluster.scheduler.after(delay, self.dispatch, answer)


class AnswerPath:
    """The way of an engine's answers back to a node."""

    __slots__ = ('domain', 'node')

    def __init__(self, node: VirtualNode, domain: str) -> None:
        self.node = node
        self.domain = domain

    def deliver(self, event: StepEvent) -> None:
        """Deliver an answer after the link's delay, unless it is cut."""
        cluster = self.node.cluster
        if not cluster.reaches(self.node, self.domain):
            return
        for delay in cluster.reply_delays(self.node.home, self.domain):
            cluster.scheduler.after(delay, self.node.dispatch, event)


class VirtualCluster:
    """A deployment: its configuration, nodes and engines.

    ``node_homes`` maps the names of nodes to their failure domains.  The
    hooks ``note`` and ``ended`` are for recordings and closed loops.
    """

    def __init__(
        self,
        configuration: Configuration,
        node_homes: dict[str, str],
        make_policy: PolicyFactory,
        seed: int,
    ) -> None:
        self.configuration = configuration
        self.scheduler = Scheduler()
        self.random = random.Random(seed)
        self.cuts: set[frozenset[str]] = set()
        self.link_factors: dict[frozenset[str], float] = {}
        self.answers: dict[str, AnswerLog] = {}
        self.delays = {
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
            name: self._make_node(name, home, make_policy)
            for name, home in node_homes.items()
        }

    def start(self) -> None:
        """Put the configuration in force and start the timers."""
        for node in self.nodes.values():
            node.dispatch(events.ConfigurationAdopted(self.configuration))
            self.scheduler.every(TICK_SECONDS, node.tick)
            self.scheduler.every(GOSSIP_SECONDS, node.gossip)

    def ask(self, node: str, request: events.GenerationRequested) -> None:
        """Let a caller ask a node now."""
        log = AnswerLog(request, node, self.scheduler.now)
        self.answers[request.request_id] = log
        self.nodes[node].dispatch(request)

    def lose_node(self, name: str) -> None:
        """Let a node die; its callers ask again at another one."""
        lost = self.nodes[name]
        lost.alive = False
        heirs = [node for node in self.nodes.values() if node.alive]
        asked = [
            log
            for log in self.answers.values()
            if log.node == name and log.finish is None
        ]
        for number, log in enumerate(asked):
            log.tokens.clear()
            self.move(log, heirs[number % len(heirs)].name)

    def move(self, log: AnswerLog, node: str) -> None:
        """Let a caller ask another node for the whole answer."""
        log.node = node
        log.moved += 1
        moved = msgspec.structs.replace(
            log.request,
            request_id=f'{log.request.request_id}-{log.moved}',
        )
        self.answers[moved.request_id] = log
        self.nodes[node].dispatch(moved)

    def delay(self, one: str, other: str) -> float:
        """Give the one-way delay between two failure domains."""
        if one == other:
            return LOCAL_SECONDS
        pair = frozenset((one, other))
        factor = self.link_factors.get(pair, 1)
        return self.delays.get(pair, LOCAL_SECONDS) * factor

    def reply_delays(self, one: str, other: str) -> tuple[float, ...]:
        """Give the delay of each copy of a reply that arrives."""
        return (self.delay(one, other),)

    def reaches(self, node: VirtualNode, domain: str) -> bool:
        """Tell whether a node's messages get to a failure domain."""
        return frozenset((node.home, domain)) not in self.cuts

    def note(self, node: str, action: actions.AnyAction) -> None:
        """Take note of an action, for recordings."""

    def ended(self, log: AnswerLog) -> None:
        """Take note of an answer's end, for closed loops."""

    def _make_node(
        self,
        name: str,
        home: str,
        make_policy: PolicyFactory,
    ) -> VirtualNode:
        chance = random.Random(self.random.random())
        return VirtualNode(name, home, make_policy(name, home, chance), self)
