"""The run of a stream: events passed on as they come, over one or more chains.

A stream that falls silent or breaks goes on at another chain after the last
event that the client got, within the same answer.
"""

import http
import time
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
import msgspec

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import EngineProfile
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.answers import (
    AnswerCutOff,
    EndpointAnswer,
    OwnAnswer,
    passed_headers,
    start_answer,
    status_line,
)
from wigeonspoke.ingress.call_run import decode_headers, read_body
from wigeonspoke.ingress.chain_watch import ChainWatch
from wigeonspoke.ingress.endpoint_try import (
    EndpointTry,
    TryError,
    TryTimeout,
)
from wigeonspoke.ingress.event_cursor import EventCursor
from wigeonspoke.ingress.event_splitter import EventSplitter, StreamEvent
from wigeonspoke.ingress.request_run import (
    RequestContext,
    RequestRun,
    timed_out,
    wrong_answer,
)
from wigeonspoke.ingress.state import IngressState

LOOK_AGAIN_SECONDS = 0.03
# How long a request waits for a chain to become whole: up to an eighth of
# the time that users accept, nobody is worse off for it.
CHAIN_WAIT_SHARE = 0.12
# Streams end all the time: a chain that is full soon has room.
ROOM_WAIT_SHARE = 0.6
CHAIN_WAIT_STEP = 0.02
# A chain is whole again some seconds after it broke; clients that all came
# back at once would find it full.
NO_CHAIN_RETRY_SECONDS = 1.2
RETRY_SPREAD_SECONDS = 1.2
MAX_TRIES = 5
CUT_OFF_SECONDS = 0.05


class StreamRun(RequestRun):
    """Runs a stream, and goes on elsewhere where it breaks."""

    __slots__ = (
        'avoided',
        'check_chain',
        'cursor',
        'final',
        'start_response',
        'started',
        'watch',
    )

    def __init__(
        self,
        state: IngressState,
        context: RequestContext,
        check_chain: Callable[[Chain, str], None],
    ) -> None:
        super().__init__(state, context)
        self.check_chain = check_chain
        self.avoided: set[str] = set()
        self.cursor = EventCursor(context.request.last_event)
        self.started = False
        self.watch = ChainWatch(state, context.rule)
        self.final: EndpointAnswer | None = None
        self.start_response: Callable[..., Any] | None = None

    def serve(self, start_response: Callable[..., Any]) -> Iterator[bytes]:
        """Run the stream; give the parts of its answer."""
        self.start_response = start_response
        while self.may_go_on(MAX_TRIES):
            chain = self._choose()
            if chain is None or not self.may_try(time.monotonic()):
                break
            is_whole = yield from self._try_at(chain)
            if is_whole:
                return
        yield from self._end_without()

    @property
    def profile(self) -> EngineProfile | None:
        """Give the profile of the engines of the service."""
        service = self.state.table.services.get(self.service)
        return None if service is None else service.engine

    def may_repeat(self) -> bool:
        """Tell also whether the stream could go on where it was."""
        can_resume = not self.started or self.cursor.is_numbered
        return can_resume and super().may_repeat()

    def _choose(self) -> Chain | None:
        """Choose a chain, waiting a little for one that has room."""
        profile = self.profile
        if profile is None:
            return None
        wait_since = time.monotonic()
        while True:
            now = time.monotonic()
            chain = self.state.chains.select(
                self.service,
                profile,
                self.avoided,
                now,
            )
            if chain is not None or self.context.watch.has_left:
                return chain
            if now >= min(self.context.until, wait_since + self._wait()):
                return None
            eventlet.sleep(CHAIN_WAIT_STEP)

    def _wait(self) -> float:
        """Give how long it is of use to wait for a chain."""
        chains = self.state.chains.chains(self.service, self.profile)
        share = ROOM_WAIT_SHARE if chains else CHAIN_WAIT_SHARE
        return share * self.context.rule.target_latency_seconds

    def _try_at(self, chain: Chain) -> Iterator[bytes]:
        """Try a chain; the generator's value tells whether it was whole."""
        self.avoided.add(chain.head.endpoint_id)
        attempt = self.begin_try(chain.head.address)
        self.state.chains.begin(chain)
        try:
            return (yield from self._exchange(attempt, chain))
        except TryError as error:
            self._note_error(chain, error.error)
            return False
        except TryTimeout:
            attempt.abort()
            self._note_error(chain, timed_out(attempt, 'stream'))
            return False
        finally:
            self.end_try(attempt)
            self.state.chains.end(chain)

    def _exchange(
        self,
        attempt: EndpointTry,
        chain: Chain,
    ) -> Iterator[bytes]:
        until = self.context.until
        self.send(attempt, chain.head, until, chain, self.cursor.resumes_at)
        self.watch.begin(chain)
        head = self._read_patiently(attempt.read_head, chain)
        headers = decode_headers(head)
        marks = self.state.wire.read_marks(head.status_code, headers)
        if marks.not_run:
            self._note_refusal(chain, head.status_code, marks.fault_address)
            return False
        if marks.request_id != self.context.request.request_id:
            raise TryError(wrong_answer(chain.head.address))
        is_stream = marks.is_event_stream and marks.is_signed
        if head.status_code != http.HTTPStatus.OK or not is_stream:
            body = read_body(attempt, self.context.until)
            return (
                yield from self._take_plain(
                    chain,
                    EndpointAnswer(head.status_code, headers, body),
                    marks.is_signed and not marks.is_encoded,
                )
            )
        if marks.is_encoded:
            raise TryError(wrong_answer(chain.head.address))
        yield from self._relay(attempt, chain, headers)
        return True

    def _relay(
        self,
        attempt: EndpointTry,
        chain: Chain,
        headers: tuple[tuple[str, str], ...],
    ) -> Iterator[bytes]:
        splitter = EventSplitter()
        while True:
            part = self._read_patiently(attempt.read_part, chain)
            if part is None:
                break
            events = self._new_events(splitter.feed(part), chain)
            if events:
                self.watch.note_event()
                self._start(headers)
                yield b''.join(events)
        self._start(headers)
        if splitter.rest:
            yield splitter.rest

    def _new_events(
        self,
        events: list[StreamEvent],
        chain: Chain,
    ) -> list[bytes]:
        """Leave out what the client has, and refuse what leaves a gap."""
        fresh = self.cursor.take(events)
        if fresh is None:
            raise TryError(wrong_answer(chain.head.address))
        return fresh

    def _read_patiently(
        self,
        read: Callable[[float], Any],
        chain: Chain,
    ) -> Any:
        """Read on until another chain can take over, or the time is up."""
        until = self.watch.silent_at
        while True:
            try:
                return read(min(until, self.context.until))
            except TryTimeout:
                now = time.monotonic()
                until = now + LOOK_AGAIN_SECONDS
                if self._must_leave(chain, now):
                    raise

    def _must_leave(self, chain: Chain, now: float) -> bool:
        if now >= self.context.until:
            return True
        if self.watch.is_alive(now, started=self.started):
            return False
        self._note_silence(chain, now)
        return self._can_move(now)

    def _can_move(self, now: float) -> bool:
        context = self.context
        rule = context.rule
        if not rule.may_repeat or context.runs + 1 >= rule.max_attempts:
            return False
        if self.started and not self.cursor.is_numbered:
            return False
        if not self.is_allowed() or not self.budget.has_remaining(now):
            return False
        other = self.state.chains.select(
            self.service,
            self.profile,
            self.avoided,
            now,
        )
        return other is not None and not self.state.suspects.is_deprioritized(
            other.head.endpoint_id,
            now,
        )

    def _note_silence(self, chain: Chain, now: float) -> None:
        head = chain.head
        if not self.state.suspects.deprioritize(head.endpoint_id, now):
            return
        self.note(
            'silent',
            peer=head.address,
            last=self.cursor.last_number,
            waited=round(now - self.watch.waits_since, 3),
        )
        self.check_chain(chain, 'silent')

    def _start(self, headers: tuple[tuple[str, str], ...]) -> None:
        if not self.started:
            self.started = True
            self.start_response(
                status_line(http.HTTPStatus.OK), passed_headers(headers)
            )

    def _take_plain(
        self,
        chain: Chain,
        answer: EndpointAnswer,
        is_own: bool,
    ) -> Iterator[bytes]:
        """Take an answer that is no stream: an error of the engine."""
        self.context.runs += 1
        self.note('error-answer', peer=chain.head.address, status=answer.status)
        if not is_own or self.may_repeat():
            self.final = answer if is_own else self.final
            return False
        if self.started:
            return False
        own_headers = self.state.wire.own_headers(self.context.request)
        yield start_answer(answer, own_headers, self.start_response)
        return True

    def _end_without(self) -> Iterator[bytes]:
        """End a request that no chain has served whole."""
        self.note(
            'stream-ended',
            reason=str(self.last_error.reason) if self.last_error else '',
            started=self.started,
            runs=self.context.runs,
            client_left=self.context.watch.has_left,
            last=self.cursor.last_number,
        )
        if self.started:
            self.state.count('stream-cut', self._reason)
            raise AnswerCutOff(self._reason)
        answer = self.final or self._own_answer()
        self.state.count('own-answer', self._reason)
        own_headers = self.state.wire.own_headers(self.context.request)
        yield start_answer(answer, own_headers, self.start_response)

    @property
    def _reason(self) -> str:
        return str(self.last_error.reason) if self.last_error else 'no-chain'

    def _own_answer(self) -> OwnAnswer:
        if not self.context.runs:
            return OwnAnswer(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                self._reason,
                self._retry_after(),
            )
        if time.monotonic() >= self.context.until - CUT_OFF_SECONDS:
            return OwnAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, 'timeout')
        return OwnAnswer(http.HTTPStatus.BAD_GATEWAY, self._reason)

    def _retry_after(self) -> float:
        spread = RETRY_SPREAD_SECONDS * self.state.random.random()
        return NO_CHAIN_RETRY_SECONDS + spread

    def _note_refusal(self, chain: Chain, status: int, fault: str) -> None:
        self.last_error = StepError(
            Outcome.NOT_RUN,
            Reason.REFUSED,
            'stream',
            chain.head.address,
        )
        self.state.count('chain-refused', str(status))
        self.note(
            'chain-refused',
            peer=chain.head.address,
            status=status,
            fault=fault,
        )
        self.state.suspects.deprioritize(
            chain.head.endpoint_id, time.monotonic()
        )
        self.check_chain(chain, 'refused', fault)
        if fault and status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            self.state.chains.note_refusal(chain, time.monotonic())
            # It has not run there, and may once others have ended.
            self.avoided.discard(chain.head.endpoint_id)

    def _note_error(self, chain: Chain, error: StepError) -> None:
        has_left = self.context.watch.has_left
        if has_left:
            # The try was ended by us; what its connection said then is
            # nothing against the engine.
            error = msgspec.structs.replace(error, reason=Reason.CALLER_GONE)
        self.note_failed(chain.head, error, last=self.cursor.last_number)
        if not has_left and error.reason is not Reason.TIMEOUT:
            now = time.monotonic()
            self.state.suspects.deprioritize(chain.head.endpoint_id, now)
            self.check_chain(chain, str(error.reason))
