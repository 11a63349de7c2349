"""The core of a node: events in, actions out.

>>> import random
>>> from wigeonspoke.core.events import TimerFired
>>> router = Router('n1', 'a', random.Random(1))
>>> router.handle(TimerFired(), 0.0)
[]
"""

import random
from collections.abc import Callable

from wigeonspoke.core import events
from wigeonspoke.core.actions import AnyAction, ProbeEndpoint
from wigeonspoke.core.calls import CallCoordinator
from wigeonspoke.core.generation import GenerationCoordinator
from wigeonspoke.core.load_report import foreign_loads, own_loads
from wigeonspoke.core.membership import PeerReport
from wigeonspoke.core.membership.exchange import ROUND_SECONDS
from wigeonspoke.core.view import ClusterView


class Router:
    """Decides for one node.

    ``node`` is the node's name, ``home`` its failure domain.  All chance
    comes from the generator given, so that the same events at the same
    times lead to the same actions.
    """

    __slots__ = (
        'calls',
        'generation',
        'handlers',
        'node',
        'round_seconds',
        'sequence',
        'view',
    )

    def __init__(self, node: str, home: str, chance: random.Random) -> None:
        self.node = node
        self.view = ClusterView(node, home, chance)
        self.generation = GenerationCoordinator(self.view)
        self.calls = CallCoordinator(self.view)
        self.sequence = 0
        self.round_seconds = ROUND_SECONDS
        self.handlers: dict[type, Callable[..., list[AnyAction]]] = {
            events.ConfigurationAdopted: self._adopt,
            events.MarksHeard: self._hear_marks,
            events.HostsListed: self._hear_hosts,
            events.PeerReported: self._hear_peer,
            events.PeersDeparted: self._lose_peers,
            events.GenerationRequested: self.generation.submit,
            events.StepReplied: self.generation.handle_reply,
            events.StepFailed: self.generation.handle_failure,
            events.CallRequested: self.calls.request,
            events.CallReplied: self.calls.replied,
            events.CallFailed: self.calls.failed,
            events.ClaimAnswered: self.calls.claim_answered,
            events.CallerGone: self._cancel,
            events.ProbeAnswered: self._take_probe,
            events.StopRequested: self._stop,
            events.TimerFired: self._tick,
        }

    def handle(self, event: events.AnyEvent, now: float) -> list[AnyAction]:
        """Take in an event at a monotonic time in seconds."""
        actions = self.handlers[type(event)](event, now)
        if self.view.notes:
            actions.extend(self.view.drain_notes())
        return actions

    def report(self, incarnation: str) -> PeerReport:
        """Give the load report that this node sends its peers."""
        self.sequence += 1
        return PeerReport(
            node=self.node,
            failure_domain=self.view.home,
            incarnation=incarnation,
            sequence=self.sequence,
            generation=self.view.generation,
            loads=foreign_loads(self.view),
            own=own_loads(self.view, self.sequence),
            round_seconds=self.round_seconds,
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self.generation.sessions and not self.calls.sessions

    def _adopt(
        self,
        event: events.ConfigurationAdopted,
        now: float,
    ) -> list[AnyAction]:
        if self.view.adopt(event.configuration):
            return self.generation.dispatch(now)
        return []

    def _hear_marks(
        self,
        event: events.MarksHeard,
        now: float,
    ) -> list[AnyAction]:
        for mark in self.view.marks.merge(event.marks):
            self.view.count('mark_changed', mark.state.value)
            self.view.note('mark', mark.endpoint, detail=mark.state.value)
        return self.generation.dispatch(now)

    def _hear_hosts(
        self,
        event: events.HostsListed,
        now: float,
    ) -> list[AnyAction]:
        self.view.take_leaving(event.leaving)
        return self.generation.dispatch(now)

    def _hear_peer(
        self,
        event: events.PeerReported,
        now: float,
    ) -> list[AnyAction]:
        self.view.take_report(event.report, now)
        return self.generation.dispatch(now)

    def _lose_peers(
        self,
        event: events.PeersDeparted,
        now: float,
    ) -> list[AnyAction]:
        self.view.lose_peers(event.departures)
        return self.generation.dispatch(now)

    def _cancel(self, event: events.CallerGone, now: float) -> list[AnyAction]:
        return [
            *self.generation.cancel(event.request_id, now),
            *self.calls.cancel(event.request_id, now),
        ]

    def _take_probe(
        self,
        event: events.ProbeAnswered,
        now: float,
    ) -> list[AnyAction]:
        if self.view.take_probe(event.endpoint, event.healthy, now):
            return self.generation.dispatch(now)
        return []

    def _stop(
        self,
        event: events.StopRequested,
        now: float,
    ) -> list[AnyAction]:
        self.view.stopping = True
        self.view.note('node-stopping')
        return []

    def _tick(self, event: events.TimerFired, now: float) -> list[AnyAction]:
        self.view.forget_stale_peers(now)
        probes = map(ProbeEndpoint, self.view.wanted_probes(now))
        return [*probes, *self.calls.tick(now), *self.generation.tick(now)]
