"""Event handling of a node: maps each event to a list of actions.

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
from wigeonspoke.core.membership.gossip import ROUND_SECONDS
from wigeonspoke.core.view import ClusterView


class Router:
    """Handles all events of one node.

    ``node`` is the node's name and ``failure_domain`` the domain it runs in.
    All randomness comes from ``rng``, so that the same events at the same
    times lead to the same actions.
    """

    __slots__ = (
        'calls',
        'generations',
        'handlers',
        'node',
        'round_seconds',
        'sequence',
        'view',
    )

    def __init__(
        self, node: str, failure_domain: str, rng: random.Random
    ) -> None:
        self.node = node
        self.view = ClusterView(node, failure_domain, rng)
        self.generations = GenerationCoordinator(self.view)
        self.calls = CallCoordinator(self.view)
        self.sequence = 0
        self.round_seconds = ROUND_SECONDS
        self.handlers: dict[type, Callable[..., list[AnyAction]]] = {
            events.ConfigurationAdopted: self._adopt_configuration,
            events.MarksReceived: self._merge_marks,
            events.LeavingHostsListed: self._update_leaving_hosts,
            events.PeerReported: self._update_peer,
            events.PeersDeparted: self._remove_departed_peers,
            events.GenerationRequested: self.generations.submit,
            events.StepReplied: self.generations.handle_reply,
            events.StepFailed: self.generations.handle_failure,
            events.CallRequested: self.calls.handle_request,
            events.CallReplied: self.calls.handle_reply,
            events.CallFailed: self.calls.handle_failure,
            events.ClaimAnswered: self.calls.handle_claim_answer,
            events.CallerGone: self._cancel_request,
            events.ProbeCompleted: self._handle_probe_result,
            events.StopRequested: self._start_stopping,
            events.TimerFired: self._handle_timer,
        }

    def handle(self, event: events.AnyEvent, now: float) -> list[AnyAction]:
        """Handle an event; ``now`` is a monotonic time in seconds."""
        actions = self.handlers[type(event)](event, now)
        if self.view.notes:
            actions.extend(self.view.drain_notes())
        return actions

    def report(self, incarnation: str) -> PeerReport:
        """Build the next load report for this node's peers."""
        self.sequence += 1
        return PeerReport(
            node=self.node,
            failure_domain=self.view.failure_domain,
            incarnation=incarnation,
            sequence=self.sequence,
            generation=self.view.generation,
            loads=foreign_loads(self.view),
            own_loads=own_loads(self.view, self.sequence),
            round_seconds=self.round_seconds,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not self.generations.sessions and not self.calls.sessions

    def _adopt_configuration(
        self,
        event: events.ConfigurationAdopted,
        now: float,
    ) -> list[AnyAction]:
        if self.view.adopt(event.configuration):
            return self.generations.dispatch(now)
        return []

    def _merge_marks(
        self,
        event: events.MarksReceived,
        now: float,
    ) -> list[AnyAction]:
        for mark in self.view.marks.merge(event.marks):
            self.view.count('mark_changed', mark.state.value)
            self.view.note('mark', mark.endpoint, detail=mark.state.value)
        return self.generations.dispatch(now)

    def _update_leaving_hosts(
        self,
        event: events.LeavingHostsListed,
        now: float,
    ) -> list[AnyAction]:
        self.view.update_leaving_hosts(event.leaving)
        return self.generations.dispatch(now)

    def _update_peer(
        self,
        event: events.PeerReported,
        now: float,
    ) -> list[AnyAction]:
        self.view.update_peer(event.report, now)
        return self.generations.dispatch(now)

    def _remove_departed_peers(
        self,
        event: events.PeersDeparted,
        now: float,
    ) -> list[AnyAction]:
        self.view.remove_departed_peers(event.departures)
        return self.generations.dispatch(now)

    def _cancel_request(
        self, event: events.CallerGone, now: float
    ) -> list[AnyAction]:
        return [
            *self.generations.cancel(event.request_id, now),
            *self.calls.cancel(event.request_id, now),
        ]

    def _handle_probe_result(
        self,
        event: events.ProbeCompleted,
        now: float,
    ) -> list[AnyAction]:
        if self.view.handle_probe_result(event.endpoint, event.healthy, now):
            return self.generations.dispatch(now)
        return []

    def _start_stopping(
        self,
        event: events.StopRequested,
        now: float,
    ) -> list[AnyAction]:
        self.view.is_stopping = True
        self.view.note('node-stopping')
        return []

    def _handle_timer(
        self, event: events.TimerFired, now: float
    ) -> list[AnyAction]:
        self.view.remove_stale_peers(now)
        probes = map(ProbeEndpoint, self.view.endpoints_to_probe(now))
        return [*probes, *self.calls.tick(now), *self.generations.tick(now)]
