"""Handling of streams: events are forwarded as they arrive from a chain.

A stream that falls silent or breaks is resumed at another chain, after the
last event that the client received and within the same response.
"""

import http
import time
from collections.abc import Callable, Iterator
from typing import Any

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.relay import Way
from wigeonspoke.ingress.requests.answer_watch import ClaimTrial
from wigeonspoke.ingress.streams.chain_attempts import ChainAttempts
from wigeonspoke.ingress.streams.chain_choice import ChainChoice
from wigeonspoke.ingress.streams.chain_monitor import ChainMonitor
from wigeonspoke.ingress.requests.body_reading import split_body
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.streams.event_cursor import EventCursor
from wigeonspoke.ingress.streams.event_splitter import (
    EventSplitter,
    EventTooLarge,
    StreamEvent,
)
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.relay.peer_attempts import PeerAttempts, PeerChain
from wigeonspoke.ingress.relay.relay_choice import ISOLATED
from wigeonspoke.ingress.relay.relay_head import without_node_headers
from wigeonspoke.ingress.requests.request_handler import (
    SILENCE_RECHECK_SECONDS,
    RequestContext,
    RequestHandler,
    invalid_response_error,
    refusal_reason,
    refusal_retry_after,
    timeout_error,
)
from wigeonspoke.ingress.requests.response_reading import decode_headers
from wigeonspoke.ingress.requests.responses import (
    EndpointResponse,
    NodeResponse,
    begin_response,
    end_to_end_headers,
    status_line,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.transport import BodyEnd, ReadTimeout, ResponseAborted

# How long to wait for a silent chain before another one is tried again.
FAILOVER_RETRY_SECONDS = 0.3
# A broken chain takes some seconds to become complete again.  The random
# part keeps clients from all returning at once and filling it.
NO_CHAIN_RETRY_AFTER_SECONDS = 1.2
RETRY_AFTER_JITTER_SECONDS = 1.2
MAX_ATTEMPTS = 5
DEADLINE_MARGIN_SECONDS = 0.05


class StreamTakenOver(Exception):
    """Another chain has taken over from a silent one.

    ``is_complete`` is whether it has served the whole stream.
    """

    def __init__(self, *, is_complete: bool) -> None:
        super().__init__(is_complete)
        self.is_complete = is_complete


class StreamHandler(RequestHandler):
    """Serves a stream and resumes it at another chain if one fails.

    A silent chain may only pause.  Its attempt stays open until another chain
    has sent an event, and goes on if none does.  ``chains_in_use`` are the
    chains of open attempts.
    """

    __slots__ = (
        'blocked_ids',
        'chain_attempts',
        'chain_choice',
        'chain_monitor',
        'chains_in_use',
        'cursor',
        'fallback',
        'peer_attempts',
        'response_started',
        'start_response',
    )

    def __init__(
        self,
        state: IngressState,
        context: RequestContext,
        prober: Prober,
        claim_trial: ClaimTrial,
    ) -> None:
        super().__init__(state, context, prober, claim_trial)
        self.chain_choice = ChainChoice(state, context, self.service)
        self.cursor = EventCursor(
            context.request.last_event_id,
            needs_numbers=context.rule.may_repeat,
        )
        self.response_started = False
        self.chain_monitor = ChainMonitor(state, context.rule)
        self.chains_in_use: dict[EndpointAttempt, Chain] = {}
        # Error response of an engine, returned if no chain serves the stream.
        self.fallback: EndpointResponse | None = None
        self.start_response: Callable[..., Any] | None = None
        self.chain_attempts = ChainAttempts(self)
        self.peer_attempts = PeerAttempts(self)
        # Heads of chains that the request is kept from, by isolation.
        self.blocked_ids: frozenset[str] = frozenset()

    @property
    def last_event_id(self) -> str:
        """Id of the event after which the stream is to go on."""
        return self.cursor.last_event_id or super().last_event_id

    def serve(self, start_response: Callable[..., Any]) -> Iterator[bytes]:
        """Run the stream; yield the parts of the response body."""
        self.start_response = start_response
        is_complete = False
        try:
            is_complete = yield from self._try_chains()
        finally:
            if not is_complete:
                self.end_trial()
        if is_complete:
            self.record_complete_response()
        else:
            yield from self._finish_unserved()

    def may_repeat(self) -> bool:
        """Also require that a started stream can be resumed."""
        can_resume = not self.response_started or self.cursor.is_numbered
        return can_resume and super().may_repeat()

    def _try_chains(self) -> Iterator[bytes]:
        """Try chains; the generator returns whether one served the stream."""
        chain = self._next_chain()
        while chain is not None:
            if (yield from self._attempt(chain)):
                return True
            chain = self._next_chain()
        return False

    def _next_chain(self) -> Chain | None:
        """Return the chain of the next attempt, or a peer in its place."""
        if self.may_attempt(MAX_ATTEMPTS) and not self.relay.is_last_resort:
            chain = self._reserve_chain()
            if chain is not None:
                return chain
        if self.begin_last_resort():
            return self.peer_attempts.reserve(time.monotonic())
        return None

    def _reserve_chain(self) -> Chain | None:
        """Return a chain, or a peer in its place, for the next attempt.

        Isolation may be found out while a chain is awaited.
        """
        way = self._choose_way()
        if way is Way.OWN:
            chain = self._choose_chain()
            if chain is not None:
                is_reserved = self.reserve_attempt(time.monotonic())
                return chain if is_reserved else None
            way = Way.REFUSE if self.refusal else self._choose_way()
        if way is Way.PEER:
            return self.peer_attempts.reserve(time.monotonic())
        return None

    def _choose_way(self) -> Way:
        """Choose between chains and peers."""
        now = time.monotonic()
        self._update_blocked(now)
        way = self.relay.choose_way(
            now,
            has_own=self.chain_choice.is_possible,
            may_relay=self.may_relay(),
        )
        self._update_blocked(now)
        return way

    def _update_blocked(self, now: float) -> None:
        """Leave out the chains whose heads are not reached."""
        excluded = self.chain_choice.excluded
        excluded.difference_update(self.blocked_ids)
        self.blocked_ids = frozenset(
            endpoint.endpoint_id
            for endpoint in self.relay.blocked_endpoints(now)
            if endpoint.layers is not None and not endpoint.layers.first
        )
        excluded.update(self.blocked_ids)

    def _attempts_at(self, chain: Chain) -> ChainAttempts | PeerAttempts:
        """Return what sends to a chain, or to a peer in its place."""
        is_peer = isinstance(chain, PeerChain)
        return self.peer_attempts if is_peer else self.chain_attempts

    def _choose_chain(self) -> Chain | None:
        """Return a chain to send the request to, None if it must not be sent.

        A part of it may have been quarantined while it waited for a chain.
        """
        if self.is_refused(can_be_sent=False) and not self._claims_trial():
            return None
        chain = self.chain_choice.wait()
        return None if self.is_refused() else chain

    def _claims_trial(self) -> bool:
        """Return whether a quarantined stream becomes the trial that is due."""
        return self.chain_choice.is_possible() and not self.is_refused()

    def _attempt(self, chain: Chain) -> Iterator[bytes]:
        """Try a chain; the generator returns whether it served the stream."""
        attempts = self._attempts_at(chain)
        attempt = attempts.begin(chain)
        self.chains_in_use[attempt] = chain
        try:
            return (yield from self._exchange(attempt, chain))
        except StreamTakenOver as taken_over:
            return taken_over.is_complete
        except AttemptError as failure:
            attempts.record_failure(attempt, chain, failure)
            return False
        except ReadTimeout:
            attempt.abort()
            error = timeout_error(attempt, 'stream')
            attempts.record_timeout(attempt, chain, error)
            return False
        finally:
            self._end_chain(attempt)

    def _end_chain(self, attempt: EndpointAttempt) -> None:
        """End an attempt and its use of a chain, if that was not done yet."""
        chain = self.chains_in_use.pop(attempt, None)
        if chain is not None:
            self._attempts_at(chain).end(attempt, chain)
            self.state.queues.wake()

    def _fail_over(self, silent: EndpointAttempt) -> Iterator[bytes]:
        """Send the stream to another chain, too, while one is silent.

        Return without an effect if no other chain has taken over.
        """
        monitor = self.chain_monitor
        attempts = self._attempts_at(self.chains_in_use[silent])
        silent_attempt = self.leave_silent(attempts.runs_of(silent))
        self.chain_monitor = ChainMonitor(self.state, self.context.rule)
        is_complete = False
        chain = self._reserve_chain()
        if chain is not None:
            is_complete = yield from self._attempt(chain)
        if silent not in self.chains_in_use:
            raise StreamTakenOver(is_complete=is_complete)
        self.return_to(silent_attempt)
        self.chain_monitor = monitor

    def _end_silent_attempts(self, current: EndpointAttempt) -> None:
        """End the attempts from which the current one takes over."""
        for attempt, chain in tuple(self.chains_in_use.items()):
            if attempt is current:
                continue
            self.state.count_event('try-failed', str(Reason.TIMEOUT))
            self.note(
                'taken-over',
                peer=chain.head.address,
                by=current.peer,
                last=self.cursor.last_number,
            )
            attempt.abort()
            self._end_chain(attempt)

    def _exchange(
        self,
        attempt: EndpointAttempt,
        chain: Chain,
    ) -> Iterator[bytes]:
        attempts = self._attempts_at(chain)
        attempts.send(attempt, chain)
        self.chain_monitor.begin(
            chain, attempts.use_of(attempt), attempts.silence_factor
        )
        head = yield from self._read_until_silent(
            attempt, attempt.read_head, chain
        )
        headers = decode_headers(head)
        markers = attempts.read_head(attempt, chain, head.status_code, headers)
        if markers is None:
            return False
        if markers.request_id != self.context.request.request_id:
            raise AttemptError(invalid_response_error(chain.head.address))
        is_stream = markers.is_event_stream and markers.is_signed
        if head.status_code != http.HTTPStatus.OK or not is_stream:
            body = self.bodies.read(attempt, self.context.deadline)
            return (
                yield from self._handle_error_response(
                    attempt,
                    chain,
                    EndpointResponse(
                        head.status_code, without_node_headers(headers), body
                    ),
                    markers.is_signed and not markers.has_content_encoding,
                )
            )
        if markers.has_content_encoding:
            raise AttemptError(invalid_response_error(chain.head.address))
        yield from self._forward_events(attempt, chain, headers)
        return True

    def _forward_events(
        self,
        attempt: EndpointAttempt,
        chain: Chain,
        headers: tuple[tuple[str, str], ...],
    ) -> Iterator[bytes]:
        splitter = EventSplitter()
        attempts = self._attempts_at(chain)
        while True:
            part = yield from self._read_until_silent(
                attempt, attempt.read_body_part, chain
            )
            if isinstance(part, BodyEnd):
                break
            known_count = self.cursor.new_count
            received = self._split_events(splitter, part, chain)
            attempt.add_elements(len(received))
            events = self._take_new_events(received, chain)
            if self.cursor.new_count > known_count:
                self._record_events(attempt, chain, headers)
            else:
                yield from self._check_without_event(attempt, chain)
            # Comments are no reason to begin the response.
            if events and self.response_started:
                yield b''.join(events)
        self._check_complete(attempt, part, splitter)
        self._end_silent_attempts(attempt)
        attempts.record_complete()
        self._send_head(headers)

    def _record_events(
        self,
        attempt: EndpointAttempt,
        chain: Chain,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        """Record that events are new to the client, and begin its response."""
        self._end_silent_attempts(attempt)
        self.chain_monitor.record_event()
        self._attempts_at(chain).record_event(chain)
        self._send_head(headers)

    def _split_events(
        self, splitter: EventSplitter, part: bytes, chain: Chain
    ) -> list[StreamEvent]:
        try:
            return splitter.feed(part)
        except EventTooLarge as error:
            raise AttemptError(
                StepError(
                    Outcome.UNKNOWN,
                    Reason.TOO_LARGE,
                    'answer',
                    chain.head.address,
                )
            ) from error

    def _check_complete(
        self,
        attempt: EndpointAttempt,
        body_end: BodyEnd,
        splitter: EventSplitter,
    ) -> None:
        """Raise if the body ended before the stream was complete."""
        if splitter.is_inside_event:
            self.cursor.has_begun_event = True
        may_end = self.cursor.may_end(body_end)
        self.state.count_event('stream-end', str(body_end))
        if body_end is BodyEnd.CLOSE or not may_end:
            self.note(
                'stream-end',
                peer=attempt.peer,
                end=body_end,
                complete=may_end,
                last=self.cursor.last_number,
                incomplete_bytes=len(splitter.incomplete),
                lost=attempt.describe_loss(),
            )
        if not may_end:
            raise AttemptError(
                StepError(
                    Outcome.UNKNOWN, Reason.BROKEN_OFF, 'answer', attempt.peer
                )
            )

    def _take_new_events(
        self,
        events: list[StreamEvent],
        chain: Chain,
    ) -> list[bytes]:
        """Drop events that the client already has; raise if one is missing."""
        new_events = self.cursor.take_new(events)
        if new_events is None:
            raise AttemptError(invalid_response_error(chain.head.address))
        return new_events

    def _read_until_silent(
        self,
        attempt: EndpointAttempt,
        read: Callable[[float], Any],
        chain: Chain,
    ) -> Iterator[bytes]:
        """Read until the deadline; the generator returns what was read.

        Meanwhile another chain may take over, and yield parts of the body.
        """
        silent_at = self.chain_monitor.silent_at
        while True:
            try:
                return read(self.next_check_at(silent_at))
            except ReadTimeout:
                if self.must_abandon(attempt):
                    raise
            if time.monotonic() >= silent_at:
                silent_at = yield from self._check_silence(attempt, chain)

    def _check_without_event(
        self, attempt: EndpointAttempt, chain: Chain
    ) -> Iterator[bytes]:
        """Try another chain if this one has sent bytes and no event for long.

        Comments, and bytes of an event that does not end, are silence.
        """
        if time.monotonic() < self.next_check_at(self.chain_monitor.silent_at):
            return
        if self.must_abandon(attempt):
            raise ReadTimeout
        if time.monotonic() >= self.chain_monitor.silent_at:
            check_at = yield from self._check_silence(attempt, chain)
            self.chain_monitor.silent_at = check_at

    def _check_silence(
        self, attempt: EndpointAttempt, chain: Chain
    ) -> Iterator[bytes]:
        """Try another chain if this one is silent.

        The generator returns when to check again.
        """
        now = time.monotonic()
        if not self._may_leave(attempt, chain, now):
            return now + SILENCE_RECHECK_SECONDS
        yield from self._fail_over(attempt)
        return time.monotonic() + FAILOVER_RETRY_SECONDS

    def _may_leave(
        self, attempt: EndpointAttempt, chain: Chain, now: float
    ) -> bool:
        """Return whether a chain is silent and another one may be tried."""
        if self.chain_monitor.is_alive(
            now, response_started=self.response_started
        ):
            return False
        attempts = self._attempts_at(chain)
        attempts.record_silence(chain, now)
        return self._can_fail_over(attempts.runs_of(attempt), now)

    def _can_fail_over(self, runs: int, now: float) -> bool:
        """Return whether the stream may also be sent to another chain.

        ``runs`` is how often it may run in the silent attempt.
        """
        if not self.may_repeat() or not self.is_allowed():
            return False
        context = self.context
        self._update_blocked(now)
        if self.may_relay(runs) and self.relay.is_due(now):
            return True
        # The last attempt is left for the case that the silent chain breaks.
        return (
            context.attempts + 1 < MAX_ATTEMPTS
            and context.possible_executions + runs < context.rule.max_attempts
            and self.budget.has_remaining(now)
            and self.chain_choice.has_alternative(now)
        )

    def _send_head(self, headers: tuple[tuple[str, str], ...]) -> None:
        if not self.response_started:
            self.response_started = True
            self.start_response(
                status_line(http.HTTPStatus.OK),
                end_to_end_headers(without_node_headers(headers)),
            )

    def _handle_error_response(
        self,
        attempt: EndpointAttempt,
        chain: Chain,
        response: EndpointResponse,
        is_valid: bool,
    ) -> Iterator[bytes]:
        """Handle a response that is not an event stream, such as an error.

        The generator returns whether the response to the client is complete.
        """
        attempts = self._attempts_at(chain)
        attempts.record_whole_answer(attempt, is_valid=is_valid)
        self.note(
            'error-answer', peer=chain.head.address, status=response.status
        )
        # A silent chain may still serve the stream.
        is_last_chain = len(self.chains_in_use) == 1
        if not is_valid or not is_last_chain or self.may_repeat():
            self.fallback = response if is_valid else self.fallback
            return False
        if self.response_started:
            return False
        yield from split_body(self._respond(response))
        return True

    def _finish_unserved(self) -> Iterator[bytes]:
        """End a request that no chain has completed."""
        self.note(
            'stream-ended',
            reason=str(self.last_error.reason) if self.last_error else '',
            started=self.response_started,
            runs=self.context.possible_executions,
            arrivals=self.context.arrivals,
            client_left=self.context.disconnect_monitor.is_disconnected,
            last=self.cursor.last_number,
            **self.relay.describe(time.monotonic()),
        )
        if self.refusal is not None:
            self.note_refusal(self.refusal)
        if self.response_started:
            self.state.count_event('stream-cut', self._reason)
            raise ResponseAborted(self._reason)
        response = self.fallback or self._node_response()
        self.state.count_event('own-answer', self._reason)
        yield from split_body(self._respond(response))

    def _respond(self, response: EndpointResponse | NodeResponse) -> bytes:
        """Begin a complete response; return its body."""
        self.response = response
        node_response_headers = self.state.wire.node_response_headers(
            self.context.request
        )
        return begin_response(
            response, node_response_headers, self.start_response
        )

    @property
    def _reason(self) -> str:
        if self.refusal is not None:
            return refusal_reason(self.refusal)
        if self.relay.is_refused:
            return ISOLATED
        return str(self.last_error.reason) if self.last_error else 'no-chain'

    def _node_response(self) -> NodeResponse:
        if not self.context.possible_executions:
            return NodeResponse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                self._reason,
                self._retry_after(),
            )
        if time.monotonic() >= self.context.deadline - DEADLINE_MARGIN_SECONDS:
            return NodeResponse(http.HTTPStatus.GATEWAY_TIMEOUT, 'timeout')
        return NodeResponse(http.HTTPStatus.BAD_GATEWAY, self._reason)

    def _retry_after(self) -> float:
        if self.refusal is not None:
            return refusal_retry_after(self.refusal)
        if self.relay.is_refused:
            remaining = self.context.deadline - time.monotonic()
            return self.relay.retry_after(remaining)
        if self.chain_choice.retry_after is not None:
            return self.chain_choice.retry_after
        return self.retry_after(
            self.chain_choice.heads(),
            NO_CHAIN_RETRY_AFTER_SECONDS,
            RETRY_AFTER_JITTER_SECONDS,
        )
