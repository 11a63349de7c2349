"""Trial connections to endpoints that may be out of reach of this node."""

import time

import eventlet

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.reachability import IsolationChange
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.state import IngressState

# A failed connection wakes the loop; only periodic trials wait for a round.
ROUND_SECONDS = 0.1


class ReachabilityLoop:
    """Makes the trial connections that are due, and reports isolations."""

    __slots__ = ('prober', 'state')

    def __init__(self, state: IngressState, prober: Prober) -> None:
        self.state = state
        self.prober = prober

    def run(self) -> None:
        """Make trials whenever they are due; never returns."""
        while True:
            self.state.reachability_news.wait(ROUND_SECONDS)
            now = time.monotonic()
            for endpoint in self.state.reachability.due_trials(now):
                if not self.state.availability.is_backing_off(endpoint, now):
                    eventlet.spawn(self._try, endpoint)
            self._report_changes()

    def _try(self, endpoint: Endpoint) -> None:
        tried_at = time.monotonic()
        needs_answer = self.state.reachability.needs_answer(endpoint, tried_at)
        if needs_answer:
            error = self.prober.ask(endpoint)
        else:
            error = self.prober.try_connection(endpoint)
        result = 'connected' if error is None else 'failed'
        self.state.count_event('trial-connection', result)
        self.state.log.write(
            'trial',
            service=endpoint.service,
            domain=endpoint.failure_domain,
            endpoint=endpoint.endpoint_id,
            address=endpoint.address,
            result=result,
            asked=needs_answer,
            seconds=round(time.monotonic() - tried_at, 3),
        )
        if error is not None and needs_answer:
            self.state.reachability.record_failed_trial(endpoint, tried_at)
            # What peers reach meanwhile decides.
            self.state.tell_news()
        self._report_changes()

    def _report_changes(self) -> None:
        changes = self.state.reachability.take_changes()
        for change in changes:
            if change.is_isolated:
                self._report_isolated(change)
            else:
                self._report_end(change)
        if changes:
            self.state.tell_news()

    def _report_isolated(self, change: IsolationChange) -> None:
        self.state.count_event('isolated', change.service)
        self.state.log.write(
            'isolated',
            service=change.service,
            domain=change.failure_domain,
            first_failure_ago=round(time.monotonic() - change.since, 3),
            unanswered=change.is_unanswered,
        )

    def _report_end(self, change: IsolationChange) -> None:
        kind = 'isolation-withdrawn'
        if not change.is_withdrawn:
            kind = 'reachable-again'
            self._forget_beliefs(change)
        self.state.count_event(kind, change.service)
        self.state.log.write(
            kind,
            service=change.service,
            domain=change.failure_domain,
            first_failure_ago=round(time.monotonic() - change.since, 3),
        )

    def _forget_beliefs(self, change: IsolationChange) -> None:
        """End suspicions and ejections that began with the isolation."""
        for suspicion in tuple(self.state.suspects.suspicions.values()):
            endpoint = suspicion.endpoint
            is_of_group = (endpoint.service, endpoint.failure_domain) == (
                change.service,
                change.failure_domain,
            )
            if is_of_group and suspicion.since >= change.since:
                self.state.suspects.clear(endpoint.endpoint_id)
                self.state.log.write('trusted', endpoint=endpoint.endpoint_id)
        for replica in self.state.fleet.of_service(change.service):
            if replica.failure_domain == change.failure_domain:
                self.state.replicas.restore(replica, change.since)
