"""The run of a call: a request whose answer comes whole."""

import http
import time

import h11

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.answers import EndpointAnswer, OwnAnswer
from wigeonspoke.ingress.endpoint_try import (
    EndpointTry,
    TryError,
    TryTimeout,
)
from wigeonspoke.ingress.protocols import AnswerMarks
from wigeonspoke.ingress.request_run import (
    REFUSED_RETRY_SECONDS,
    RequestContext,
    RequestRun,
    timed_out,
    wrong_answer,
)
from wigeonspoke.ingress.state import IngressState

# A first try of a call that may be repeated gets this multiple of the time
# in which users expect the answer, the next one all that is left.
FIRST_TRY_FACTOR = 2.0
MAX_TRIES = 4
MAX_BODY_BYTES = 16777216


class CallRun(RequestRun):
    """Runs a call at one replica, or at several if that is allowed."""

    __slots__ = ('avoided', 'spare')

    def __init__(self, state: IngressState, context: RequestContext) -> None:
        super().__init__(state, context)
        self.avoided: set[str] = set()
        # An error of the application, kept in case no other try does better.
        self.spare: EndpointAnswer | None = None

    def serve(self) -> EndpointAnswer | OwnAnswer:
        """Run the call and give its final answer."""
        while self.may_go_on(MAX_TRIES):
            now = time.monotonic()
            replica = self.state.replicas.select(
                self.service,
                self.avoided,
                now,
            )
            if replica is None or not self.may_try(now):
                break
            answer = self._try_at(replica)
            if answer is not None:
                return answer
        return self.spare or self._own_answer()

    def _try_at(self, replica: Endpoint) -> EndpointAnswer | None:
        """Try a replica; give the answer if it is the final one."""
        self.avoided.add(replica.endpoint_id)
        began_at = time.monotonic()
        attempt = self.begin_try(replica.address)
        self.state.replicas.begin(replica)
        try:
            answer, marks = self._exchange(attempt, replica)
        except TryError as error:
            self._note_error(replica, error.error)
            return None
        except TryTimeout:
            attempt.abort()
            self._note_error(replica, timed_out(attempt, 'call'))
            return None
        finally:
            self.end_try(attempt)
            self.state.replicas.end(replica)
        return self._judge(replica, answer, marks, began_at)

    def _exchange(
        self,
        attempt: EndpointTry,
        replica: Endpoint,
    ) -> tuple[EndpointAnswer, AnswerMarks]:
        until = self._try_until(time.monotonic())
        self.send(attempt, replica, until)
        head = attempt.read_head(until)
        headers = decode_headers(head)
        marks = self.state.wire.read_marks(head.status_code, headers)
        self._check(marks, replica)
        body = read_body(attempt, until)
        return EndpointAnswer(head.status_code, headers, body), marks

    def _try_until(self, now: float) -> float:
        context = self.context
        rule = context.rule
        can_repeat = rule.may_repeat and context.runs + 1 < rule.max_attempts
        if not can_repeat:
            return context.until
        return min(
            context.until,
            now + FIRST_TRY_FACTOR * rule.target_latency_seconds,
        )

    def _check(self, marks: AnswerMarks, replica: Endpoint) -> None:
        """Refuse an answer that belongs to another request.

        A refusal without an id came first on the try's own connection, and
        is believed.
        """
        if marks.not_run and not marks.request_id:
            return
        if marks.request_id != self.context.request.request_id:
            raise TryError(wrong_answer(replica.address))

    def _judge(
        self,
        replica: Endpoint,
        answer: EndpointAnswer,
        marks: AnswerMarks,
        began_at: float,
    ) -> EndpointAnswer | None:
        now = time.monotonic()
        if marks.not_run:
            self._note_error(
                replica,
                StepError(
                    Outcome.NOT_RUN,
                    Reason.REFUSED,
                    'call',
                    replica.address,
                ),
            )
            return None
        if is_garbled(answer, marks):
            self._note_error(replica, wrong_answer(replica.address))
            return None
        self.context.runs += 1
        if answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self.state.replicas.note_error_response(replica)
            self.note(
                'error-answer', peer=replica.address, status=answer.status
            )
            self.spare = answer
            return None if self.may_go_on(MAX_TRIES) else answer
        self.state.replicas.note_success(replica, now - began_at, now)
        return answer

    def _note_error(self, replica: Endpoint, error: StepError) -> None:
        if not self.context.watch.has_left:
            if error.reason is Reason.TIMEOUT:
                self.state.replicas.note_timeout(replica)
            else:
                now = time.monotonic()
                self.state.replicas.note_failure(replica, error.reason, now)
        self.note_failed(replica, error)

    def _own_answer(self) -> OwnAnswer:
        if self.context.runs:
            if time.monotonic() >= self.context.until:
                return OwnAnswer(http.HTTPStatus.GATEWAY_TIMEOUT, 'timeout')
            return OwnAnswer(http.HTTPStatus.BAD_GATEWAY, 'outcome-unknown')
        reason = self.last_error.reason if self.last_error else 'no-endpoint'
        return OwnAnswer(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            str(reason),
            REFUSED_RETRY_SECONDS,
        )


def decode_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Give the headers of an answer as text, in the case they came."""
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in head.headers.raw_items()
    )


def read_body(attempt: EndpointTry, until: float) -> bytes:
    """Read the whole body of an answer."""
    parts: list[bytes] = []
    size = 0
    while True:
        part = attempt.read_part(until)
        if part is None:
            return b''.join(parts)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise TryError(wrong_answer(attempt.peer))
        parts.append(part)


def is_garbled(answer: EndpointAnswer, marks: AnswerMarks) -> bool:
    """Tell whether an answer cannot be the endpoint's own."""
    is_success = answer.status < http.HTTPStatus.MULTIPLE_CHOICES
    return marks.is_encoded or (is_success and not marks.is_signed)
