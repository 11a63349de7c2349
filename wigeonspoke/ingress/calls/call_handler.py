"""Handling of calls: requests with one complete response."""

import http
import math
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.relay import Way
from wigeonspoke.ingress.requests.answer_watch import ClaimTrial
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.protocols import ResponseMarkers
from wigeonspoke.ingress.relay.peer_attempts import PeerAttempts, PeerChain
from wigeonspoke.ingress.relay.relay_choice import ISOLATED
from wigeonspoke.ingress.relay.relay_head import without_node_headers
from wigeonspoke.ingress.requests.request_handler import (
    REFUSED_RETRY_AFTER_SECONDS,
    RequestContext,
    RequestHandler,
    invalid_response_error,
    refusal_reason,
    refusal_retry_after,
    timeout_error,
)
from wigeonspoke.ingress.requests.response_reading import (
    decode_headers,
    is_corrupted,
)
from wigeonspoke.ingress.requests.responses import (
    EndpointResponse,
    NodeResponse,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.transport import BodyEnd, ReadTimeout

# The first attempt at a repeatable call may take this multiple of the rule's
# target latency; the last one may take all the remaining time.
FIRST_ATTEMPT_FACTOR = 2.0
MAX_ATTEMPTS = 4


class CallTakenOver(Exception):
    """Another replica has answered while one was silent."""

    def __init__(self, response: EndpointResponse) -> None:
        super().__init__()
        self.response = response


class CallHandler(RequestHandler):
    """Sends a call to one replica, or to several if it may be retried.

    A silent replica may only pause.  Its attempt stays open while another
    replica is tried, and goes on if that one does not answer.
    """

    __slots__ = ('excluded', 'fallback', 'peer_attempts', 'silent_at')

    def __init__(
        self,
        state: IngressState,
        context: RequestContext,
        prober: Prober,
        claim_trial: ClaimTrial,
    ) -> None:
        super().__init__(state, context, prober, claim_trial)
        self.excluded: set[str] = set()
        # Error response of the application, returned if no later attempt
        # succeeds.
        self.fallback: EndpointResponse | None = None
        # When another replica is tried if the current one does not answer.
        self.silent_at = context.deadline
        self.peer_attempts = PeerAttempts(self)

    def serve(self) -> EndpointResponse | NodeResponse:
        """Run the call and return the final response."""
        response = self._try_replicas()
        self.end_trial()
        self.response = response or self.fallback or self._node_response()
        if isinstance(self.response, EndpointResponse):
            self.record_complete_response()
        return self.response

    def _try_replicas(self) -> EndpointResponse | None:
        """Try replicas; return the response if one of them is final."""
        response = self._try_reached()
        while (
            response is None
            and self.begin_last_resort()
            and not self.has_earlier_input()
        ):
            chain = self.peer_attempts.reserve(time.monotonic())
            if chain is None:
                break
            response = self._attempt_peer(chain)
        return response

    def _try_reached(self) -> EndpointResponse | None:
        """Try the replicas that this node reaches, or peers if it does not."""
        while self._may_try():
            now = time.monotonic()
            way = self.relay.choose_way(
                now, has_own=self._has_own, may_relay=self.may_relay()
            )
            destination: Endpoint | PeerChain | None = None
            if way is Way.OWN:
                destination = self._reserve_replica(now)
            elif way is Way.PEER:
                destination = self.peer_attempts.reserve(now)
            if destination is None:
                break
            response = self._attempt(destination)
            if response is not None:
                return response
        return None

    def _may_try(self) -> bool:
        """Return whether to try a replica: no open attempt goes on."""
        return self.may_attempt(MAX_ATTEMPTS) and not self.has_earlier_input()

    def _has_own(self) -> bool:
        """Return whether a replica that is reached has a free slot."""
        now = time.monotonic()
        replica = self._select_replica(now)
        if replica is None:
            return False
        in_flight = self.state.replicas.in_flight[replica.endpoint_id]
        return in_flight < replica.slots

    def _reserve_replica(self, now: float) -> Endpoint | None:
        """Return a replica for an attempt that the retry budget allows."""
        replica = self._choose_replica(now)
        if replica is None or not self.reserve_attempt(now):
            return None
        return replica

    def _select_replica(self, now: float) -> Endpoint | None:
        blocked_ids = {
            endpoint.endpoint_id
            for endpoint in self.relay.blocked_endpoints(now)
        }
        return self.state.replicas.select(
            self.service,
            self.excluded | self._ended_replicas() | blocked_ids,
            now,
        )

    def _choose_replica(self, now: float) -> Endpoint | None:
        """Return a replica to try, None if the request must not be sent."""
        replica = self._select_replica(now)
        if self.is_refused(can_be_sent=replica is not None):
            return None
        return replica

    def _ended_replicas(self) -> set[str]:
        """Return replicas that have ended, for a request that is suspected.

        Other requests may try them as well, since another start may have taken
        over the address.  A suspected one reaches as few replicas as possible.
        """
        if not self.answer_watch.is_suspected():
            return set()
        return {
            replica.endpoint_id
            for replica in self.state.fleet.of_service(self.service)
            if self.answer_watch.has_ended(replica)
        }

    def _attempt(
        self, destination: Endpoint | PeerChain
    ) -> EndpointResponse | None:
        """Try a replica or a peer; return its response if that is final."""
        if isinstance(destination, PeerChain):
            return self._attempt_peer(destination)
        return self._attempt_replica(destination)

    def _attempt_peer(self, chain: PeerChain) -> EndpointResponse | None:
        """Hand the call to a peer; return the response if that is final."""
        attempts = self.peer_attempts
        attempt = attempts.begin(chain)
        try:
            return self._exchange_with_peer(attempt, chain)
        except AttemptError as failure:
            attempts.record_failure(attempt, chain, failure)
        except CallTakenOver as taken_over:
            attempt.abort()
            error = timeout_error(attempt, 'relay')
            attempts.record_timeout(attempt, chain, error)
            return taken_over.response
        except ReadTimeout:
            attempt.abort()
            error = timeout_error(attempt, 'relay')
            attempts.record_timeout(attempt, chain, error)
        finally:
            attempts.end(attempt, chain)
        return None

    def _exchange_with_peer(
        self, attempt: EndpointAttempt, chain: PeerChain
    ) -> EndpointResponse | None:
        attempts = self.peer_attempts
        attempts.send(attempt, chain)
        self.silent_at = self._find_peer_silent_at(time.monotonic())
        read = partial(self._read_until_silent, attempt)
        head = read(attempt.read_head)
        headers = decode_headers(head)
        markers = attempts.read_head(attempt, chain, head.status_code, headers)
        if markers is None:
            return None
        read_part = partial(read, attempt.read_body_part)
        body = self.bodies.read(attempt, self.context.deadline, read_part)
        self._note_end(attempt, len(body))
        response = EndpointResponse(
            head.status_code, without_node_headers(headers), body
        )
        is_other = markers.request_id != self.context.request.request_id
        if is_other or is_corrupted(response, markers):
            raise AttemptError(invalid_response_error(attempt.peer))
        attempts.record_whole_answer(attempt, is_valid=True)
        return self._finish_relayed(chain, response)

    def _finish_relayed(
        self, chain: PeerChain, response: EndpointResponse
    ) -> EndpointResponse | None:
        """Return a peer's response if no further attempt may be better."""
        self.note('relay-answered', to=chain.peer.name, status=response.status)
        if response.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
            return response
        self.fallback = response
        may_go_on = len(self.open_attempts) > 1 or self.may_attempt(
            MAX_ATTEMPTS
        )
        return None if may_go_on else response

    def _find_peer_silent_at(self, now: float) -> float:
        """Return when another peer is tried if this one does not answer.

        A peer tries another replica itself after the usual time.  Half of the
        time that is left is kept for the other peer.
        """
        usual = self._find_silent_at(now) - now
        remaining = self.context.deadline - now
        if not self.context.rule.may_repeat:
            return self.context.deadline
        return now + min(
            self.peer_attempts.silence_factor * usual, remaining / 2
        )

    def _attempt_replica(self, replica: Endpoint) -> EndpointResponse | None:
        """Try a replica; return its response if that is final."""
        self.excluded.add(replica.endpoint_id)
        started_at = time.monotonic()
        attempt = self.begin_attempt(replica.address)
        self.answer_watch.begin((replica,))
        self.state.replicas.begin(replica)
        try:
            response, markers = self._exchange(attempt, replica)
        except AttemptError as error:
            self._record_break(replica, attempt, error)
            return None
        except CallTakenOver as taken_over:
            self._record_silence(replica, attempt)
            return taken_over.response
        except ReadTimeout:
            self._record_silence(replica, attempt)
            return None
        finally:
            self.end_attempt(attempt)
            self.state.replicas.end(replica)
        return self._classify_response(replica, response, markers, started_at)

    def _exchange(
        self,
        attempt: EndpointAttempt,
        replica: Endpoint,
    ) -> tuple[EndpointResponse, ResponseMarkers]:
        self.send(attempt, replica, self.context.deadline)
        self.silent_at = self._find_silent_at(time.monotonic())
        read = partial(self._read_until_silent, attempt)
        head = read(attempt.read_head)
        headers = decode_headers(head)
        markers = self.read_markers(attempt, replica, head.status_code, headers)
        read_part = partial(read, attempt.read_body_part)
        body = self.bodies.read(attempt, self.context.deadline, read_part)
        self._note_end(attempt, len(body))
        return EndpointResponse(head.status_code, headers, body), markers

    def _note_end(self, attempt: EndpointAttempt, body_bytes: int) -> None:
        """Write to the log that a body ended with its connection, and how.

        Only such a body can be a part of the answer without being malformed.
        """
        self.state.count_event('answer-end', str(attempt.body_end))
        if attempt.body_end is BodyEnd.CLOSE:
            self.note(
                'answer-end',
                peer=attempt.peer,
                end=attempt.body_end,
                body_bytes=body_bytes,
                lost=attempt.describe_loss(),
            )

    def _read_until_silent(
        self, attempt: EndpointAttempt, read: Callable[[float], Any]
    ) -> Any:
        """Read from a replica; try another one in a silence.

        Raises
        ------
        CallTakenOver
            The other replica has answered.
        ReadTimeout
            The deadline has passed, or a replica tried before goes on.
        """
        doubted_at = attempt.sent_at + self._first_attempt_seconds
        while True:
            check_at = min(self.silent_at, doubted_at)
            try:
                return read(self.next_check_at(check_at))
            except ReadTimeout:
                if self.must_abandon(attempt):
                    raise
            doubted_at = self._doubt_if_silent(attempt, doubted_at)
            if time.monotonic() >= self.silent_at:
                self._try_beside()
                self.silent_at = self.context.deadline

    def _doubt_if_silent(
        self, attempt: EndpointAttempt, doubted_at: float
    ) -> float:
        """Record silence that is long; return when to do so otherwise."""
        if time.monotonic() < doubted_at:
            return doubted_at
        for replica in self.answer_watch.endpoints:
            self.record_no_answer(attempt, replica)
        return math.inf

    def _try_beside(self) -> None:
        """Try further replicas while one is silent.

        Return without an effect if none of them answers.
        """
        silent = self.leave_silent(self._silent_runs())
        response = self._try_replicas()
        self.return_to(silent)
        if response is not None:
            raise CallTakenOver(response)

    def _silent_runs(self) -> int:
        """Return how often the call may run in the newest attempt."""
        newest = self.open_attempts[-1]
        if newest in self.peer_attempts.plans:
            return self.peer_attempts.runs_of(newest)
        return 1

    def _find_silent_at(self, now: float) -> float:
        """Return when another replica is tried if this one does not answer."""
        if not self.context.rule.may_repeat:
            return self.context.deadline
        return now + self._first_attempt_seconds

    @property
    def _first_attempt_seconds(self) -> float:
        """How long a replica may be silent before it is doubted."""
        return FIRST_ATTEMPT_FACTOR * self.context.rule.target_latency_seconds

    def _classify_response(
        self,
        replica: Endpoint,
        response: EndpointResponse,
        markers: ResponseMarkers,
        started_at: float,
    ) -> EndpointResponse | None:
        now = time.monotonic()
        if markers.not_executed:
            if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                self.prober.record_replaced(replica)
            # A refusal that names a time is no fault.
            self._record_error(
                replica,
                StepError(
                    Outcome.NOT_RUN,
                    Reason.REFUSED,
                    'call',
                    replica.address,
                ),
                is_fault=markers.retry_after_seconds is None,
            )
            return None
        if is_corrupted(response, markers):
            self._record_error(replica, invalid_response_error(replica.address))
            return None
        self.context.possible_executions += 1
        if markers.is_signed:
            self.answer_watch.record_whole()
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self.state.replicas.record_error_response(replica)
            self.note(
                'error-answer', peer=replica.address, status=response.status
            )
            self.fallback = response
            # A silent replica may still serve the call.
            may_go_on = self.open_attempts or self.may_attempt(MAX_ATTEMPTS)
            return None if may_go_on else response
        self.state.replicas.record_success(replica, now - started_at, now)
        return response

    def _record_silence(
        self, replica: Endpoint, attempt: EndpointAttempt
    ) -> None:
        attempt.abort()
        self._record_error(replica, timeout_error(attempt, 'call'))

    def _record_error(
        self, replica: Endpoint, error: StepError, *, is_fault: bool = True
    ) -> None:
        is_disconnected = self.context.disconnect_monitor.is_disconnected
        if is_fault and not is_disconnected:
            if error.reason is Reason.TIMEOUT:
                self.state.replicas.record_timeout(replica)
            else:
                self.prober.eject_when_determined(replica, error.reason)
        self.record_failure(
            replica,
            error,
            born=replica.born,
            key=self.answer_watch.request_key,
            **self.answer_watch.describe_progress(),
        )

    def _record_break(
        self,
        replica: Endpoint,
        attempt: EndpointAttempt,
        error: AttemptError,
    ) -> None:
        """Record an attempt that failed, and whether its replica has ended.

        A connection also breaks for other reasons, so that the check of the
        replica is awaited before the request is sent to another one, and
        before its client can send it again.
        """
        if error.is_refused:
            self.prober.record_refused_connection(replica)
        if attempt.is_ended_by_peer:
            self.record_no_answer(attempt, replica)
            self.answer_watch.record_broken()
        self._record_error(replica, error.error)
        if attempt.is_ended_by_peer:
            is_urgent = self.answer_watch.stands_in_earlier_crash()
            self.prober.check_after_break(replica, is_urgent=is_urgent)
            self.prober.wait_for_probe(replica)
            self.has_ended_endpoint = self.answer_watch.has_ended(replica)

    def _node_response(self) -> NodeResponse:
        self.note(
            'call-ended',
            reason=str(self.last_error.reason) if self.last_error else '',
            runs=self.context.possible_executions,
            arrivals=self.context.arrivals,
            client_left=self.context.disconnect_monitor.is_disconnected,
            **self.relay.describe(time.monotonic()),
        )
        if self.refusal is not None:
            self.note_refusal(self.refusal)
        if self.context.possible_executions:
            if time.monotonic() >= self.context.deadline:
                return NodeResponse(http.HTTPStatus.GATEWAY_TIMEOUT, 'timeout')
            return NodeResponse(http.HTTPStatus.BAD_GATEWAY, 'outcome-unknown')
        if self.refusal is not None:
            return NodeResponse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                refusal_reason(self.refusal),
                refusal_retry_after(self.refusal),
            )
        if self.relay.is_refused:
            remaining = self.context.deadline - time.monotonic()
            return NodeResponse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                ISOLATED,
                self.relay.retry_after(remaining),
            )
        reason = self.last_error.reason if self.last_error else 'no-endpoint'
        return NodeResponse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            str(reason),
            self.retry_after(
                self.state.fleet.of_service(self.service),
                REFUSED_RETRY_AFTER_SECONDS,
            ),
        )
