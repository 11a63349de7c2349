"""Common base of the handlers for calls and streams."""

import http
import math
import time
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.forwarding import RetryWindowBudget
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.quarantine import Answer, Refusal, is_request_key
from wigeonspoke.core.relay import RunCounts, may_hand_over, outcome_of
from wigeonspoke.core.routing import Rule, choose_target
from wigeonspoke.ingress.requests.answer_watch import AnswerWatch, ClaimTrial
from wigeonspoke.ingress.requests.body_reading import BodyReader
from wigeonspoke.ingress.requests.disconnect_monitor import DisconnectMonitor
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.protocols import (
    ClientRequest,
    ForwardContext,
    HeaderList,
    ResponseMarkers,
)
from wigeonspoke.ingress.relay.relay_choice import RelayChoice
from wigeonspoke.ingress.requests.endpoint_reports import EndpointReports
from wigeonspoke.ingress.requests.responses import (
    EndpointResponse,
    NodeResponse,
)
from wigeonspoke.ingress.state import IngressState

CONNECT_TIMEOUT_SECONDS = 0.3
# How often to look at the other attempts while several are open.
SILENCE_RECHECK_SECONDS = 0.03
REFUSED_RETRY_AFTER_SECONDS = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0
# Clients that wait for the same endpoint return within this time.
RETURN_SPREAD_SECONDS = 1.0


class RequestContext(msgspec.Struct):
    """An admitted request, its deadline and its attempts so far.

    ``arrivals`` counts the attempts that have reached an endpoint, and
    ``possible_executions`` those that ran or may have run, at this node and at
    peers.  ``service`` is set if another node has chosen the service, and
    ``relayed_from`` is the name of that node.
    """

    request: ClientRequest
    rule: Rule
    account: str
    arrived_at: float
    deadline: float
    disconnect_monitor: DisconnectMonitor | None = None
    attempts: int = 0
    arrivals: int = 0
    possible_executions: int = 0
    service: str = ''
    relayed_from: str = ''

    @property
    def counts(self) -> RunCounts:
        """How often the request has arrived and may have run."""
        return RunCounts(self.arrivals, self.possible_executions)


class SilentAttempt(msgspec.Struct, frozen=True):
    """What is watched of an attempt left open while others are tried."""

    answer: Answer | None
    endpoints: tuple[Endpoint, ...]
    executions: int


class RequestHandler:
    """Attempts, retry budget and logging shared by all request kinds."""

    __slots__ = (
        'answer_watch',
        'bodies',
        'context',
        'executions_before',
        'has_ended_endpoint',
        'has_tried',
        'last_error',
        'leaving_runs',
        'open_attempts',
        'prober',
        'refusal',
        'relay',
        'response',
        'service',
        'state',
    )

    def __init__(
        self,
        state: IngressState,
        context: RequestContext,
        prober: Prober,
        claim_trial: ClaimTrial,
    ) -> None:
        self.state = state
        self.context = context
        self.prober = prober
        self.last_error: StepError | None = None
        self.bodies = BodyReader(state)
        self.open_attempts: list[EndpointAttempt] = []
        # Why the request is not sent to any endpoint, None if it may be.
        self.refusal: Refusal | None = None
        # The runs that said in their answers to the request that they leave.
        self.leaving_runs: set[str] = set()
        # Whether the request may be what ended the endpoint it was sent to.
        self.has_ended_endpoint = False
        # Whether the trial of the whole request has reached an endpoint.
        self.has_tried = False
        # The complete response to the client, None for a stream of events.
        self.response: EndpointResponse | NodeResponse | None = None
        self.executions_before = context.possible_executions
        self.service = context.service or choose_target(
            context.rule.targets,
            state.rng.random(),
        )
        self.relay = RelayChoice(
            state, self.service, is_relayed=bool(context.relayed_from)
        )
        self.answer_watch = AnswerWatch(
            state.part_watch,
            claim_trial,
            self.service,
            context.account,
            context.request,
        )
        # The budget counts each request once, at the node of its client.
        if not context.relayed_from:
            self.budget.record_request(context.arrived_at)

    @property
    def budget(self) -> RetryWindowBudget:
        """Retry budget of the service."""
        return self.state.budget(self.service)

    def reserve_attempt(self, now: float) -> bool:
        """Take an attempt from the retry budget.

        The first one that arrives at an endpoint is free, at whichever node.
        """
        if not self.context.arrivals:
            return True
        return self.budget.withdraw(now)

    @property
    def last_event_id(self) -> str:
        """Id of the last event that the client has, empty if there is none."""
        return self.context.request.last_event_id

    @property
    def outcome(self) -> Outcome:
        """The outcome of a relayed request, which its sender is told."""
        return outcome_of(
            self._endpoint_status(),
            self.executions_before,
            self.context.possible_executions,
        )

    @property
    def outcome_reason(self) -> str:
        """Why a relayed request has this outcome."""
        if isinstance(self.response, NodeResponse):
            return self.response.reason
        return str(Reason.DONE)

    @property
    def is_last_try(self) -> bool:
        """Whether the request must not be sent to another endpoint.

        It may have ended its endpoint, or was the trial of a quarantined key,
        or is quarantined.
        """
        return (
            self.has_ended_endpoint
            or self.has_tried
            or self.answer_watch.is_trial
            or self.refusal is not None
        )

    def may_relay(self, silent_runs: int = 0) -> bool:
        """Return whether the request may be handed to a peer.

        ``silent_runs`` is how often it may run in an attempt that is silent.
        """
        context = self.context
        executions = context.possible_executions + silent_runs
        return may_hand_over(
            RunCounts(context.arrivals, executions),
            self.relay.handovers,
            self.context.rule.max_attempts,
            may_repeat=self.may_repeat(),
        )

    def begin_last_resort(self) -> bool:
        """Turn to peers as the last way to serve the request, if they may.

        Return whether they may.  No connection to an endpoint was established
        for it, so that it has run nowhere.  Other requests or trials may have
        reached the endpoints, or it may not be known yet that this node does
        not.
        """
        context = self.context
        if not context.attempts or context.arrivals or self.relay.is_relayed:
            return False
        is_over = time.monotonic() >= context.deadline
        if is_over or context.disconnect_monitor.is_disconnected:
            return False
        self.relay.is_last_resort = True
        return self.refusal is None and self.is_allowed() and self.may_relay()

    def may_attempt(self, max_attempts: int) -> bool:
        """Return whether another attempt is useful and allowed."""
        context = self.context
        if (
            self.has_tried
            or context.disconnect_monitor.is_disconnected
            or time.monotonic() >= context.deadline
        ):
            return False
        attempts = max(context.attempts, context.arrivals)
        if not attempts and not self.relay.handovers:
            return True
        if attempts >= max_attempts or not self.is_allowed():
            return False
        return not context.possible_executions or self.may_repeat()

    def may_repeat(self) -> bool:
        """Return whether the request may be repeated after it may have run.

        One that may have ended its endpoint is not sent to another one, and
        neither is the trial of a quarantined key.
        """
        if self.has_ended_endpoint or self.answer_watch.is_trial:
            return False
        rule = self.context.rule
        return (
            rule.may_repeat
            and self.context.possible_executions < rule.max_attempts
        )

    def is_refused(self, *, can_be_sent: bool = True) -> bool:
        """Return whether the request, or a part of it, is quarantined."""
        self.refusal = self.answer_watch.find_refusal(can_be_sent=can_be_sent)
        return self.refusal is not None

    def end_trial(self) -> None:
        """Count a trial that has reached an endpoint without a sound answer."""
        if self.has_tried or self.context.possible_executions:
            self.answer_watch.end_trial()

    def note_refusal(self, refusal: Refusal) -> None:
        """Write to the log why the request was not sent."""
        self.note(
            'part-refused',
            part=refusal.part,
            engines=refusal.engines,
            last_crash_ago=round(refusal.last_crash_age, 3),
            retry_after=round(refusal.retry_after, 3),
        )

    def send(
        self,
        attempt: EndpointAttempt,
        endpoint: Endpoint,
        deadline: float,
        chain: Chain | None = None,
        last_event_id: str = '',
    ) -> None:
        """Connect to an endpoint and send the request."""
        context = self.context
        request = context.request
        now = time.monotonic()
        for reason in self.state.availability.blocked_reasons(
            self.service, now
        ):
            self.state.count_event('turned-elsewhere', reason)
        self.state.availability.record_sent(endpoint, now)
        timeout = min(CONNECT_TIMEOUT_SECONDS, deadline - now)
        try:
            attempt.connect(timeout)
        except AttemptError as error:
            # A time-out shortened by the request's deadline is no evidence
            # about the endpoint.
            is_short = error.is_timed_out and timeout < CONNECT_TIMEOUT_SECONDS
            if not is_short and not attempt.is_aborted:
                self.state.record_unreached(endpoint)
            self._return_reserved(now)
            raise
        context.arrivals += 1
        forward_context = ForwardContext(
            endpoint=endpoint,
            remaining_seconds=context.deadline - time.monotonic(),
            account=context.account,
            chain=chain,
            last_event_id=last_event_id,
            urgency=None if chain is None else self._urgency(),
        )
        attempt.send(
            request.method,
            request.target,
            self.state.wire.encode_headers(request, forward_context),
            request.body,
        )

    def begin_attempt(self, address: str) -> EndpointAttempt:
        """Begin an attempt that is aborted if the client disconnects."""
        self.context.attempts += 1
        may_repeat = self.context.rule.may_repeat
        pool = self.state.connection_pool if may_repeat else None
        return self.open_attempt(EndpointAttempt(address, pool))

    def open_attempt(self, attempt: EndpointAttempt) -> EndpointAttempt:
        """Abort an attempt if the client disconnects."""
        self.open_attempts.append(attempt)
        self.context.disconnect_monitor.on_disconnect = self._abort_attempts
        return attempt

    def end_attempt(self, attempt: EndpointAttempt) -> None:
        """Close an attempt, which a disconnect no longer aborts."""
        self.open_attempts.remove(attempt)
        attempt.close()

    def leave_silent(self, executions: int = 1) -> SilentAttempt:
        """Begin to try others beside a silent attempt.

        It counts as a run from then on, one at a peer as all the runs that
        the peer was allowed.
        """
        self.context.possible_executions += executions
        watch = self.answer_watch
        return SilentAttempt(watch.answer, watch.endpoints, executions)

    def return_to(self, silent: SilentAttempt) -> None:
        """Go on with a silent attempt: no other one has taken over.

        If it fails later, it has reasons of its own.
        """
        self.context.possible_executions -= silent.executions
        self.answer_watch.answer = silent.answer
        self.answer_watch.endpoints = silent.endpoints
        self.refusal = None

    def has_earlier_input(self, current: EndpointAttempt | None = None) -> bool:
        """Return whether an open attempt other than the current one goes on."""
        return any(
            attempt.has_input()
            for attempt in self.open_attempts
            if attempt is not current
        )

    def next_check_at(self, silent_at: float) -> float:
        """Return until when to read, sooner while another attempt is open."""
        check_at = min(silent_at, self.context.deadline)
        if len(self.open_attempts) == 1:
            return check_at
        return min(check_at, time.monotonic() + SILENCE_RECHECK_SECONDS)

    def must_abandon(self, attempt: EndpointAttempt) -> bool:
        """Return whether the time is over, or an earlier attempt goes on."""
        is_over = time.monotonic() >= self.context.deadline
        return is_over or self.has_earlier_input(attempt)

    def record_failure(
        self,
        endpoint: Endpoint,
        error: StepError,
        **facts: object,
    ) -> None:
        """Record an attempt that got no valid response to its request."""
        self.last_error = error
        if error.reason is not Reason.CONNECT:
            self.has_tried = self.answer_watch.tries_request
        if error.outcome is not Outcome.NOT_RUN:
            self.context.possible_executions += 1
        self.state.count_event('try-failed', str(error.reason))
        self.note(
            'try-failed',
            peer=endpoint.address,
            endpoint=endpoint.endpoint_id,
            step=error.step,
            outcome=error.outcome,
            reason=error.reason,
            client_left=self.context.disconnect_monitor.is_disconnected,
            **facts,
        )

    def record_no_answer(
        self, attempt: EndpointAttempt, endpoint: Endpoint
    ) -> None:
        """Record that a new connection has given no answer, if it has not.

        Something on the way may establish connections and lose their data.
        """
        if attempt.is_unanswered:
            self.state.record_unanswered(endpoint, attempt.connected_at)

    def read_markers(
        self,
        attempt: EndpointAttempt,
        endpoint: Endpoint,
        status: int,
        headers: HeaderList,
    ) -> ResponseMarkers:
        """Read the markers of an endpoint's response, and act on them.

        Raises
        ------
        AttemptError
            The response belongs to another request, so that this one may run.
        """
        reports = EndpointReports(
            self.state, self.context.request.request_id, self.note
        )
        markers = reports.read_markers(attempt, endpoint, status, headers)
        if not reports.is_own_answer(attempt, markers):
            raise AttemptError(invalid_response_error(endpoint.address))
        if markers.is_leaving and self.state.fleet.is_leaving(endpoint):
            self.leaving_runs.add(endpoint.start_id)
        return markers

    def retry_after(
        self,
        endpoints: Iterable[Endpoint],
        otherwise_seconds: float,
        jitter_seconds: float = 0,
    ) -> float:
        """Return when a refused request may come again, in seconds.

        It is when the first of some endpoints may be sent to, if all of them
        have said when.  A random time keeps clients from returning all at
        once; the time that endpoints named is the same for all of them.
        """
        now = time.monotonic()
        next_send_at = self.state.availability.next_send_at(endpoints, now)
        wait_seconds = otherwise_seconds
        if next_send_at is not None and next_send_at < math.inf:
            wait_seconds = max(otherwise_seconds, next_send_at - now)
            jitter_seconds = max(jitter_seconds, RETURN_SPREAD_SECONDS)
        return wait_seconds + jitter_seconds * self.state.rng.random()

    def is_allowed(self) -> bool:
        """Return whether the current configuration still allows the request."""
        context = self.context
        table = self.state.routing_table
        if not context.relayed_from:
            return table.allows(context.rule, context.request.key)
        # The key stays at the node of the client, which has checked it.
        rule = context.rule
        if table.find_rule(rule.host, rule.prefix) is None:
            return False
        return not context.account or any(
            account.name == context.account
            for account in table.accounts.values()
        )

    def note(self, kind: str, **facts: object) -> None:
        """Write a decision about the request to the log."""
        if self.context.relayed_from:
            facts['relayed_from'] = self.context.relayed_from
        self.state.log.write(
            kind,
            request=self.context.request.request_id,
            rule=self.context.rule.name,
            version=self.state.routing_table.version,
            tries=self.context.attempts,
            **facts,
        )

    def expire(self, now: float) -> None:
        """End the time for the request, so that it gets its final answer."""
        self.context.deadline = min(self.context.deadline, now)
        for attempt in self.open_attempts:
            attempt.expire()

    def close(self) -> None:
        """End what belongs to the request, once its response is sent."""
        self.bodies.release()
        self.context.disconnect_monitor.stop()
        # Objects of a request refer to each other, so that they live until the
        # next garbage collection, which large bodies do not bring about.
        self.context.request.body = b''

    def record_complete_response(self) -> None:
        """Record how long a complete response has taken."""
        context = self.context
        seconds = time.monotonic() - context.arrived_at
        self.state.response_times.record(context.rule.name, seconds)

    def _urgency(self) -> int | None:
        """Return the urgency to tell engines, None if ranks don't differ."""
        ranks = self.state.routing_table.ranks
        context = self.context
        rank = ranks.rank(self.service, context.rule, context.account)
        return ranks.urgency(self.service, rank)

    def _endpoint_status(self) -> int | None:
        """Return the status of an endpoint's answer, None if there is none."""
        if self.response is None:
            return http.HTTPStatus.OK
        if isinstance(self.response, EndpointResponse):
            return self.response.status
        return None

    def _return_reserved(self, now: float) -> None:
        """Return to the budget what was taken for an attempt.

        A connection that was never established is no arrival.
        """
        if self.context.arrivals:
            self.budget.put_back(now)

    def _abort_attempts(self) -> None:
        for attempt in self.open_attempts:
            attempt.abort()


def refusal_reason(refusal: Refusal) -> str:
    """Return the reason that the response to a refused request names."""
    if is_request_key(refusal.part):
        return 'quarantined-request'
    return 'quarantined-part'


def refusal_retry_after(refusal: Refusal) -> float:
    """Return when a refused request may come again, in seconds."""
    return max(MIN_RETRY_AFTER_SECONDS, refusal.retry_after)


def timeout_error(attempt: EndpointAttempt, step: str) -> StepError:
    """Return the error of an attempt abandoned without a response."""
    outcome = Outcome.UNKNOWN if attempt.may_have_executed else Outcome.NOT_RUN
    return StepError(outcome, Reason.TIMEOUT, step, attempt.peer)


def invalid_response_error(peer: str) -> StepError:
    """Return the error of a response that cannot match the request."""
    return StepError(Outcome.UNKNOWN, Reason.CONTRACT, 'answer', peer)
