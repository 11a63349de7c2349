"""Which groups of endpoints this node cannot reach while its peers can.

A group is the endpoints of a service in a failure domain.  A host may lose its
connectivity to a group, while clients, the store and its peers still reach
it.  Its failed connections then are no evidence about the endpoints: the node
reports the isolation to its peers, does not change its view of the endpoints'
health, and relays requests until trial connections succeed.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable

from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.reachability.group import (
    MIN_FAILED_ENDPOINTS,
    UNANSWERED_TRIAL_SECONDS,
    GroupState,
)
from wigeonspoke.core.reachability.peer_reach import (
    REACHED_SECONDS,
    Group,
    PeerReach,
)
from wigeonspoke.core.reachability.records import (
    IsolationChange,
    ReachedReport,
    RelayPeer,
)

# Groups in a message, which is bounded in bytes.
MAX_REPORTS = 32
# Groups with recorded state: more than any deployment has.
MAX_GROUPS = 256
# While a peer does not reach a group, or doubts it, a node that has no requests
# for it asks an endpoint this often, so that it can say that it reaches it.
WITNESS_SECONDS = 1.0
# A trial succeeds at the earliest two intervals of 0.5 s after the endpoints
# can be reached again, so that clients need not return sooner.
MIN_RETRY_AFTER_SECONDS = 1.0
# Clients return only if this much of their remaining time suffices.
MAX_RETRY_AFTER_FRACTION = 1 / 3
# Changes kept until they are taken; a reader takes them every few rounds.
MAX_CHANGES = 256


class Reachability:
    """Evidence of isolation, by group, with trial connections and recovery."""

    __slots__ = ('changes', 'connections', 'fleet', 'groups', 'peer_reach')

    def __init__(self, fleet: Fleet, failure_domain: str) -> None:
        self.fleet = fleet
        self.groups: dict[Group, GroupState] = {}
        self.peer_reach = PeerReach(failure_domain)
        # The last new connections by service: endpoint id and time, of at
        # most two endpoints.
        self.connections: dict[str, dict[str, float]] = {}
        # Isolations that began or ended since :meth:`take_changes`.
        self.changes: deque[IsolationChange] = deque(maxlen=MAX_CHANGES)

    def record_connected(
        self, endpoint: Endpoint, now: float, *, is_answered: bool = True
    ) -> None:
        """Record a new connection to an endpoint.

        ``is_answered`` is whether the endpoint has answered a request on it.
        """
        latest = self.connections.setdefault(endpoint.service, {})
        latest.pop(endpoint.endpoint_id, None)
        latest[endpoint.endpoint_id] = now
        if len(latest) > 2:
            latest.pop(next(iter(latest)))
        group = _group_of(endpoint)
        count = len(self._endpoints(group))
        if self._state(group).record_connected(
            endpoint.endpoint_id, now, count, is_answered=is_answered
        ):
            self._note_change(group, is_isolated=False)

    def record_failed(self, endpoint: Endpoint, now: float) -> None:
        """Record that a connection to an endpoint was not established."""
        group = _group_of(endpoint)
        if self._state(group).record_failed(endpoint.endpoint_id, now):
            self._note_change(group, is_isolated=True)
        self._update(group, now)

    def record_unanswered(
        self, endpoint: Endpoint, sent_at: float, now: float
    ) -> bool:
        """Record a request that got no answer on a new connection.

        It tells nothing if the group has answered on a connection opened later.
        Return whether peers should hear that the group is doubted.
        """
        state = self._state_of(endpoint)
        if state.connected_at >= sent_at:
            return False
        is_news = not state.has_unanswered(now)
        state.record_unanswered(endpoint.endpoint_id, now)
        return is_news

    def record_failed_trial(self, endpoint: Endpoint, began_at: float) -> None:
        """Record that a trial which began at a time had no answer."""
        state = self._state_of(endpoint)
        state.failed_trial_at = max(state.failed_trial_at, began_at)

    def record_answered(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint answered, on whichever connection."""
        state = self._state_of(endpoint)
        state.record_answered(endpoint.endpoint_id, now)

    def needs_answer(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether only an answer shows that a group is reached.

        It does while requests get none, and for what peers are told.  After
        failures to connect, a connection suffices.
        """
        state = self._state_of(endpoint)
        if state.isolated_at is not None:
            return state.needs_answers
        return state.has_unanswered(now) or not state.is_determining(now)

    def is_isolated(
        self, service: str, failure_domain: str, now: float
    ) -> bool:
        """Return whether this node is isolated from a group."""
        group = (service, failure_domain)
        self._update(group, now)
        state = self.groups.get(group)
        return state is not None and state.isolated_at is not None

    def is_service_isolated(self, service: str, now: float) -> bool:
        """Return whether this node is isolated from all groups of it."""
        endpoints = self.fleet.of_service(service)
        domains = {endpoint.failure_domain for endpoint in endpoints}
        return bool(domains) and all(
            self.is_isolated(service, domain, now) for domain in domains
        )

    def may_try(self, endpoint: Endpoint, now: float, draw: float) -> bool:
        """Return whether a request may be sent to an endpoint.

        ``draw`` is a random number from 0 to 1: while the group recovers,
        only a share of the requests may.
        """
        group = _group_of(endpoint)
        self._update(group, now)
        state = self.groups.get(group)
        return state is None or draw < state.own_share(now)

    def due_trials(self, now: float) -> tuple[Endpoint, ...]:
        """Return the endpoints to connect to now, as trials."""
        doubted = self.peer_reach.doubted_groups(now)
        for group in doubted:
            if self._endpoints(group):
                self._state(group)
        trials: list[Endpoint] = []
        for due_group, state in tuple(self.groups.items()):
            excluded = self._due_exclusions(
                due_group, state, now, is_doubted=due_group in doubted
            )
            if excluded is None:
                continue
            trial = self._next_in_turn(due_group, state, excluded)
            if trial is not None:
                trials.append(trial)
        return tuple(trials)

    def choose_peer(
        self, service: str, now: float, excluded: Collection[str], draw: float
    ) -> RelayPeer | None:
        """Choose a peer that reaches a service, None if there is none.

        ``draw`` is a random number from 0 to 1.
        """
        return self.peer_reach.choose(service, now, excluded, draw)

    def choose_witness(
        self, endpoint: Endpoint, now: float, draw: float
    ) -> RelayPeer | None:
        """Choose a peer that may see whether an endpoint has ended."""
        group = _group_of(endpoint)
        return self.peer_reach.choose_witness(group, now, draw)

    def count_peers(self, service: str, now: float) -> int:
        """Return how many peers reach a service, as far as is known."""
        return self.peer_reach.count_reaching(service, now)

    def refusal_retry_after(
        self, service: str, now: float, remaining_seconds: float, draw: float
    ) -> float | None:
        """Return the Retry-After of a request that no node can serve.

        It is None unless this node is isolated from the service and no peer
        reaches it, so that the request is to be refused at once.  ``draw`` is
        a random number from 0 to 1, which keeps clients from returning all at
        once.
        """
        if not self.is_service_isolated(service, now):
            return None
        if self.choose_peer(service, now, (), draw) is not None:
            return None
        return min(
            MIN_RETRY_AFTER_SECONDS * (1 + draw),
            remaining_seconds * MAX_RETRY_AFTER_FRACTION,
        )

    def begin_relay(self, peer: str) -> None:
        """Count a request of this node as in progress at a peer."""
        self.peer_reach.relayed[peer] += 1

    def end_relay(self, peer: str) -> None:
        """Stop counting a request as in progress at a peer."""
        self.peer_reach.relayed[peer] -= 1
        if not self.peer_reach.relayed[peer]:
            self.peer_reach.relayed.pop(peer)

    def reports(self, now: float) -> tuple[ReachedReport, ...]:
        """Return reports for peers: the groups with the most recent news."""
        news: list[tuple[float, ReachedReport]] = []
        for group, state in self.groups.items():
            age = max(0, now - state.answered_at)
            is_isolated = state.own_share(now) < 1
            is_doubted = state.has_unanswered(now)
            must_tell = is_isolated or is_doubted
            if age > REACHED_SECONDS and not must_tell:
                continue
            answer_age = None if age == math.inf else round(age, 2)
            report = ReachedReport(*group, answer_age, is_isolated, is_doubted)
            news.append((0 if must_tell else age, report))
        news.sort(key=lambda aged: aged[0])
        return tuple(report for _, report in news[:MAX_REPORTS])

    def merge(
        self,
        peer: str,
        address: str,
        failure_domain: str,
        reports: Iterable[ReachedReport],
        now: float,
        *,
        open_requests: int = 0,
        is_stopping: bool = False,
    ) -> None:
        """Apply what a peer reports of the groups that it reaches."""
        self.peer_reach.merge(
            RelayPeer(peer, address, failure_domain),
            reports,
            now,
            open_requests=open_requests,
            is_stopping=is_stopping,
        )

    def remove_peer(self, peer: str) -> None:
        """Forget a peer that has left or does not answer."""
        self.peer_reach.remove(peer)

    def take_changes(self) -> tuple[IsolationChange, ...]:
        """Return the isolations that began or ended since the last call."""
        changes = tuple(self.changes)
        self.changes.clear()
        return changes

    def isolated_groups(self, now: float) -> tuple[Group, ...]:
        """Return the groups from which this node is isolated."""
        return tuple(
            group
            for group in tuple(self.groups)
            if self.is_isolated(*group, now)
        )

    def is_determining(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a failure may turn out to be an isolation.

        Without peers it cannot.
        """
        state = self.groups.get(_group_of(endpoint))
        if state is None or not state.is_determining(now):
            return False
        return self.has_peers(now)

    def has_peers(self, now: float) -> bool:
        """Return whether there are peers, without which nothing is isolated."""
        return self.peer_reach.has_peers(now)

    def suspends_beliefs(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether failures are no evidence about an endpoint now."""
        return self.is_isolated(
            endpoint.service, endpoint.failure_domain, now
        ) or self.is_determining(endpoint, now)

    def others_of_service(self, endpoint: Endpoint) -> tuple[Endpoint, ...]:
        """Return the other endpoints of a service, those of its group first."""
        others = [
            other
            for other in self.fleet.of_service(endpoint.service)
            if other.endpoint_id != endpoint.endpoint_id
        ]
        others.sort(
            key=lambda other: other.failure_domain != endpoint.failure_domain
        )
        return tuple(others)

    def is_only_one_of_group(self, endpoint: Endpoint) -> bool:
        """Return whether a group has no other endpoint."""
        group = (endpoint.service, endpoint.failure_domain)
        return len(self._endpoints(group)) <= 1

    def has_connected_beside(self, endpoint: Endpoint, since: float) -> bool:
        """Return whether another endpoint of the service was connected to.

        It is also true if the service has no other endpoint.
        """
        latest = self.connections.get(endpoint.service, {})
        if any(
            connected_at > since and other_id != endpoint.endpoint_id
            for other_id, connected_at in latest.items()
        ):
            return True
        return not self.others_of_service(endpoint)

    def _due_exclusions(
        self, group: Group, state: GroupState, now: float, *, is_doubted: bool
    ) -> set[str] | None:
        """Return the endpoints not to try, or None if no trial is due.

        ``is_doubted`` is whether peers need to know if this node reaches the
        group.
        """
        self._update(group, now)
        if state.is_determining(now):
            return self._first_exclusions(state, now)
        interval = WITNESS_SECONDS
        if state.isolated_at is not None:
            interval = state.trial_seconds
        elif not is_doubted or now - state.answered_at <= WITNESS_SECONDS:
            return None
        return set() if state.take_trial_if_due(interval, now) else None

    def _first_exclusions(
        self, state: GroupState, now: float
    ) -> set[str] | None:
        """Return the endpoints not to try before anything is concluded.

        Trials go on while requests get no answer: one may meet an endpoint
        that only pauses.
        """
        if not self.has_peers(now):
            return None
        is_due = (
            state.take_trial_if_due(UNANSWERED_TRIAL_SECONDS, now)
            if state.has_unanswered(now)
            else state.take_first_trial()
        )
        return state.failed_ids(now) if is_due else None

    def _next_in_turn(
        self, group: Group, state: GroupState, excluded: Collection[str]
    ) -> Endpoint | None:
        """Return the endpoint after the one tried last, by endpoint id."""
        candidates = sorted(
            (
                endpoint
                for endpoint in self._endpoints(group)
                if endpoint.endpoint_id not in excluded
            ),
            key=lambda endpoint: endpoint.endpoint_id,
        )
        if not candidates and state.unanswered_ids:
            candidates = self._endpoints(group)
        if not candidates:
            return None
        later = [
            endpoint
            for endpoint in candidates
            if endpoint.endpoint_id > state.last_tried
        ]
        chosen = (later or candidates)[0]
        state.last_tried = chosen.endpoint_id
        return chosen

    def _note_change(
        self, group: Group, *, is_isolated: bool, is_withdrawn: bool = False
    ) -> None:
        state = self.groups[group]
        self.changes.append(
            IsolationChange(
                *group,
                is_isolated,
                state.run_started_at,
                is_withdrawn,
                state.needs_answers,
            )
        )

    def _update(self, group: Group, now: float) -> None:
        """Begin an isolation for which there is evidence, or withdraw one."""
        state = self.groups.get(group)
        if state is None:
            return
        if state.isolated_at is not None:
            self._withdraw_if_down(group, state, now)
            return
        if not state.failed_at:
            return
        # Endpoints that leave or are no longer listed are no evidence.
        listed = {one.endpoint_id for one in self._endpoints(group)}
        failed = state.failed_ids(now) & listed
        required = max(1, min(MIN_FAILED_ENDPOINTS, len(listed)))
        answered_since = math.inf
        if len(failed - state.unanswered_ids) >= required:
            if not state.awaits_trial(len(listed) - len(failed), now):
                answered_since = now - REACHED_SECONDS
        elif len(failed) >= required:
            answered_since = self._unanswered_since(state)
        if self.peer_reach.last_answer_at(group) >= answered_since:
            state.begin_isolation(now)
            self._note_change(group, is_isolated=True)

    def _unanswered_since(self, state: GroupState) -> float:
        """Return since when a peer must have had an answer.

        Endpoints may only be slow or pause, for all nodes.  So a trial must
        have had no answer, and a peer one after that trial began.
        """
        if state.failed_trial_at < state.run_started_at:
            return math.inf
        return state.failed_trial_at

    def _withdraw_if_down(
        self, group: Group, state: GroupState, now: float
    ) -> None:
        """End an isolation if the endpoints are down instead.

        At its beginning, the answers of peers may be older than the failure
        of the endpoints.  If no peer has a later one, while this node reaches
        other endpoints of the service, the isolation was a wrong conclusion.
        A node that reaches none of them stays isolated, since nothing tells
        the two cases apart.  An isolation from a group without endpoints ends,
        too, since no trial can end it.
        """
        if not self._endpoints(group):
            state.end_isolation()
            self._note_change(group, is_isolated=False, is_withdrawn=True)
            return
        if now - state.isolated_at <= REACHED_SECONDS:
            return
        if self.peer_reach.is_reached(group, now):
            return
        reaches_others = any(
            other[0] == group[0]
            and other_state.isolated_at is None
            and now - other_state.answered_at <= REACHED_SECONDS
            for other, other_state in self.groups.items()
        )
        if reaches_others:
            state.end_isolation()
            self._note_change(group, is_isolated=False, is_withdrawn=True)

    def _endpoints(self, group: Group) -> list[Endpoint]:
        service, failure_domain = group
        return [
            endpoint
            for endpoint in self.fleet.of_service(service)
            if endpoint.failure_domain == failure_domain
        ]

    def _state_of(self, endpoint: Endpoint) -> GroupState:
        return self._state(_group_of(endpoint))

    def _state(self, group: Group) -> GroupState:
        state = self.groups.get(group)
        if state is None:
            state = GroupState()
            self.groups[group] = state
            while len(self.groups) > MAX_GROUPS:
                self.groups.pop(next(iter(self.groups)))
        return state


def _group_of(endpoint: Endpoint) -> Group:
    return (endpoint.service, endpoint.failure_domain)
