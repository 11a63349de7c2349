"""Attempts of a request at peers, which serve it for this node.

They have the interface of attempts at a chain, so that the code which reads,
checks and resumes answers serves both.  A peer stands for a chain of one hop.
"""

import time

from wigeonspoke.core.chains import Chain, Hop
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.reachability import RelayPeer
from wigeonspoke.core.relay import (
    Handover,
    PeerAnswer,
    RunCounts,
    plan_handover,
    settle,
)
from wigeonspoke.ingress.protocols import HeaderList, ResponseMarkers
from wigeonspoke.ingress.relay.relay_head import (
    LAST_TRY,
    RELAY_HEADER,
    RELAY_PATH,
    RelayHead,
    encode_head,
    read_leaving,
    read_outcome,
)
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.requests.request_handler import (
    CONNECT_TIMEOUT_SECONDS,
    RequestHandler,
    invalid_response_error,
)

# No endpoint has an id with this prefix: ids in the registry do not begin with
# a slash.
PEER_ID_PREFIX = '/peer/'


class PeerChain(Chain, frozen=True):
    """A peer in the place of a chain or of a replica."""

    peer: RelayPeer


class PeerAttempts:
    """Hands one request to peers, one after the other or beside a silent one.

    ``plans`` holds the limits that were sent with each open attempt, and
    ``answers`` the counts and outcomes of those that were answered.
    """

    __slots__ = ('answers', 'request_handler', 'plans', 'state')

    # The peer finds out by the usual limits that an endpoint is silent, and
    # tries another one.  This node waits for the outcome of that.
    silence_factor = 2.0

    def __init__(self, request_handler: RequestHandler) -> None:
        self.request_handler = request_handler
        self.state = request_handler.state
        self.plans: dict[EndpointAttempt, Handover] = {}
        self.answers: dict[EndpointAttempt, PeerAnswer] = {}

    def reserve(self, now: float) -> PeerChain | None:
        """Choose the next peer, None if the request must not be sent.

        A trial of a quarantined key that is due is claimed by the peer.
        """
        request_handler = self.request_handler
        request_handler.is_refused(can_be_sent=False)
        if (
            request_handler.refusal is not None
            and request_handler.refusal.retry_after > 0
        ):
            return None
        request_handler.refusal = None
        peer = request_handler.relay.find_peer(now)
        if peer is None:
            return None
        request_handler.relay.handovers += 1
        request_handler.relay.excluded.add(peer.name)
        endpoint = Endpoint(
            f'{PEER_ID_PREFIX}{peer.name}',
            request_handler.service,
            peer.address,
            peer.failure_domain,
        )
        return PeerChain((Hop(endpoint, LayerRange(0, 0)),), peer)

    def begin(self, chain: PeerChain) -> EndpointAttempt:
        """Begin an attempt at a peer, on a connection of its own."""
        attempt = EndpointAttempt(chain.peer.address)
        context = self.request_handler.context
        self.plans[attempt] = plan_handover(
            context.counts,
            context.rule.max_attempts,
            may_repeat=self.request_handler.may_repeat(),
        )
        self.state.reachability.begin_relay(chain.peer.name)
        return self.request_handler.open_attempt(attempt)

    def end(self, attempt: EndpointAttempt, chain: PeerChain) -> None:
        """End an attempt."""
        self.plans.pop(attempt, None)
        self.answers.pop(attempt, None)
        self.state.reachability.end_relay(chain.peer.name)
        self.request_handler.end_attempt(attempt)

    def use_of(self, _attempt: EndpointAttempt) -> None:
        """Return None: the times of a peer are not estimated."""

    def send(self, attempt: EndpointAttempt, chain: PeerChain) -> None:
        """Connect to a peer and hand it the request."""
        request_handler = self.request_handler
        request_handler.answer_watch.begin(())
        now = time.monotonic()
        reason = request_handler.relay.reason(now)
        self.state.count_event('relayed', reason)
        self.state.count_event('relayed-to', chain.peer.name)
        plan = self.plans[attempt]
        request_handler.note(
            'relayed',
            to=chain.peer.name,
            peer=chain.peer.address,
            service=request_handler.service,
            reason=reason,
            arrivals=plan.before.arrivals,
            runs=plan.before.executions,
            run_limit=plan.execution_limit,
        )
        deadline = request_handler.context.deadline
        attempt.connect(min(CONNECT_TIMEOUT_SECONDS, deadline - now))
        head = encode_head(self._make_head(plan))
        attempt.send(
            'POST',
            RELAY_PATH,
            (('Host', chain.peer.address), (RELAY_HEADER, head)),
            request_handler.context.request.body,
        )

    def read_head(
        self,
        attempt: EndpointAttempt,
        chain: PeerChain,
        status: int,
        headers: HeaderList,
    ) -> ResponseMarkers | None:
        """Read the head of a response, None if the peer has no answer.

        What endpoints tell of themselves is recorded at the peer, which tells
        it to all nodes.  This node passes on an answer that says leaving, so
        that it records that itself, too.
        """
        request_id = self.request_handler.context.request.request_id
        answer, reason = read_outcome(headers, request_id)
        if answer is None:
            raise AttemptError(invalid_response_error(chain.peer.address))
        if reason == LAST_TRY:
            self.request_handler.has_tried = True
        markers = self.state.wire.read_response_markers(status, headers)
        self._record_leaving(chain, headers, markers)
        if answer.outcome in {Outcome.NOT_RUN, Outcome.UNKNOWN}:
            self._record_unserved(attempt, chain, answer, reason, markers)
            return None
        self.answers[attempt] = answer
        return markers

    def runs_of(self, attempt: EndpointAttempt) -> int:
        """Return how often the request may run in an attempt."""
        plan = self.plans[attempt]
        return plan.execution_limit - plan.before.executions

    def record_event(self, _chain: PeerChain) -> None:
        """Do nothing: events are evidence at the peer, which knows the run."""

    def record_complete(self) -> None:
        """Do nothing: a complete answer is evidence at the peer, too."""

    def record_whole_answer(
        self, attempt: EndpointAttempt, *, is_valid: bool
    ) -> None:
        """Record a complete response that ends the peer's attempts."""
        answer = self.answers[attempt] if is_valid else None
        self._settle(attempt, answer)

    def record_silence(self, chain: PeerChain, now: float) -> None:
        """Record that a peer is silent, so that others are preferred."""
        self.request_handler.relay.record_failed(chain.peer)
        self.state.count_event('relay-silent', chain.peer.name)
        self.request_handler.note(
            'relay-silent',
            to=chain.peer.name,
            peer=chain.peer.address,
            remaining=round(self.request_handler.context.deadline - now, 3),
            handovers=self.request_handler.relay.handovers,
        )

    def record_failure(
        self, attempt: EndpointAttempt, chain: PeerChain, failure: AttemptError
    ) -> None:
        """Record an attempt without a valid response."""
        self._record_error(attempt, chain, failure.error)

    def record_timeout(
        self, attempt: EndpointAttempt, chain: PeerChain, error: StepError
    ) -> None:
        """Record an attempt that was given up."""
        self._record_error(attempt, chain, error)

    def _make_head(self, plan: Handover) -> RelayHead:
        request_handler = self.request_handler
        context = request_handler.context
        request = context.request
        return RelayHead(
            node=self.state.settings.name,
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            host=request.host,
            path=request.path,
            headers=request.headers,
            account=context.account,
            kind=str(context.rule.kind),
            service=request_handler.service,
            remaining_seconds=max(0, context.deadline - time.monotonic()),
            execution_limit=plan.execution_limit,
            arrivals=plan.before.arrivals,
            executions=plan.before.executions,
            last_event_id=request_handler.last_event_id,
            tokens=request.tokens,
            shared_parts=request.shared_parts,
            leaving=self.state.fleet.told_leaving(request_handler.service),
        )

    def _record_leaving(
        self, chain: PeerChain, headers: HeaderList, markers: ResponseMarkers
    ) -> None:
        """Record the runs that told the peer in their answers they leave."""
        runs = read_leaving(headers)
        if not markers.is_leaving and not runs:
            return
        self.state.count_event('leaving-relayed')
        self.request_handler.note(
            'leaving-relayed',
            to=chain.peer.name,
            peer=chain.peer.address,
            endpoints=runs,
        )
        for start_id in runs:
            self.state.record_leaving(start_id, f'relay {chain.peer.name}')

    def _record_unserved(
        self,
        attempt: EndpointAttempt,
        chain: PeerChain,
        answer: PeerAnswer,
        reason: str,
        markers: ResponseMarkers,
    ) -> None:
        """Record that a peer could not serve the request either."""
        request_handler = self.request_handler
        self._settle(attempt, answer)
        request_handler.last_error = StepError(
            answer.outcome, Reason.REFUSED, 'relay', chain.peer.address
        )
        if answer.outcome is Outcome.NOT_RUN:
            request_handler.relay.peer_retry_after = markers.retry_after_seconds
        self.state.count_event('relay-unserved', reason)
        request_handler.note(
            'relay-unserved',
            to=chain.peer.name,
            peer=chain.peer.address,
            outcome=answer.outcome,
            reason=reason,
            runs=request_handler.context.possible_executions,
        )

    def _record_error(
        self, attempt: EndpointAttempt, chain: PeerChain, error: StepError
    ) -> None:
        request_handler = self.request_handler
        is_disconnected = (
            request_handler.context.disconnect_monitor.is_disconnected
        )
        request_handler.last_error = error
        self._settle(attempt, None)
        if not is_disconnected:
            request_handler.relay.record_failed(chain.peer)
        self.state.count_event('relay-failed', str(error.reason))
        request_handler.note(
            'relay-failed',
            to=chain.peer.name,
            peer=chain.peer.address,
            outcome=error.outcome,
            reason=error.reason,
            runs=request_handler.context.possible_executions,
            client_left=is_disconnected,
        )

    def _settle(
        self, attempt: EndpointAttempt, answer: PeerAnswer | None
    ) -> None:
        """Count the runs of an attempt that has ended."""
        plan = self.plans[attempt]
        after: RunCounts = settle(
            plan, answer, was_sent=attempt.may_have_executed
        )
        context = self.request_handler.context
        context.arrivals += after.arrivals - plan.before.arrivals
        context.possible_executions += after.executions - plan.before.executions
