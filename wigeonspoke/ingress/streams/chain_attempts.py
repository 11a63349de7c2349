"""Attempts of a stream at chains, and their evidence about the engines."""

import http
import time
from typing import TYPE_CHECKING

import msgspec

from wigeonspoke.core.chains import Chain, ChainUse
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.ingress.protocols import HeaderList, ResponseMarkers
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)

if TYPE_CHECKING:
    from wigeonspoke.ingress.streams.stream_handler import StreamHandler


class ChainAttempts:
    """Sends a stream to chains, and records how their attempts end."""

    __slots__ = ('request_handler', 'state', 'uses')

    # Multiple of the usual limits after which a chain counts as silent.
    silence_factor = 1.0

    def __init__(self, request_handler: 'StreamHandler') -> None:
        self.request_handler = request_handler
        self.state = request_handler.state
        # The use of a chain by each open attempt, with its expected times.
        self.uses: dict[EndpointAttempt, ChainUse] = {}

    def begin(self, chain: Chain) -> EndpointAttempt:
        """Begin an attempt at a chain."""
        self.request_handler.chain_choice.excluded.update(chain.endpoint_ids)
        attempt = self.request_handler.begin_attempt(chain.head.address)
        self.uses[attempt] = self._begin_use(chain)
        return attempt

    def end(self, attempt: EndpointAttempt, chain: Chain) -> None:
        """End an attempt."""
        self.request_handler.end_attempt(attempt)
        use = self.uses.pop(attempt)
        self.state.chains.end(chain, use, time.monotonic())

    def use_of(self, attempt: EndpointAttempt) -> ChainUse | None:
        """Return the use of a chain by an open attempt."""
        return self.uses.get(attempt)

    def send(self, attempt: EndpointAttempt, chain: Chain) -> None:
        """Send the stream to a chain, from the position of the client on."""
        request_handler = self.request_handler
        request_handler.answer_watch.begin(hop.endpoint for hop in chain.hops)
        request_handler.send(
            attempt,
            chain.head,
            request_handler.context.deadline,
            chain,
            request_handler.cursor.last_event_id,
        )

    def read_head(
        self,
        attempt: EndpointAttempt,
        chain: Chain,
        status: int,
        headers: HeaderList,
    ) -> ResponseMarkers | None:
        """Read the head of a response, None if the chain refused."""
        markers = self.request_handler.read_markers(
            attempt, chain.head, status, headers
        )
        if markers.not_executed:
            self._record_refusal(chain, status, markers)
            return None
        return markers

    def runs_of(self, _attempt: EndpointAttempt) -> int:
        """Return how often the stream may run in an attempt."""
        return 1

    def record_event(self, chain: Chain) -> None:
        """Record an event that the client did not have."""
        self.request_handler.answer_watch.record_event()
        self.state.reachability.record_answered(chain.head, time.monotonic())

    def record_complete(self) -> None:
        """Record that the stream is complete."""
        self.request_handler.answer_watch.record_complete()

    def record_whole_answer(
        self, _attempt: EndpointAttempt, *, is_valid: bool
    ) -> None:
        """Record a complete response that is not an event stream."""
        self.request_handler.context.possible_executions += 1
        if is_valid:
            self.request_handler.answer_watch.record_whole()

    def record_silence(self, chain: Chain, now: float) -> None:
        """Record that a chain is silent, and probe it."""
        head = chain.head
        if not self.state.suspects.deprioritize(head.endpoint_id, now):
            return
        monitor = self.request_handler.chain_monitor
        self.request_handler.note(
            'silent',
            peer=head.address,
            last=self.request_handler.cursor.last_number,
            waited=round(now - monitor.waiting_since, 3),
            **self._head_load(chain),
        )
        self.request_handler.prober.check_chain(chain, 'silent')

    def record_failure(
        self, attempt: EndpointAttempt, chain: Chain, failure: AttemptError
    ) -> None:
        """Record an attempt without a valid response."""
        if attempt.is_ended_by_peer:
            self.request_handler.record_no_answer(attempt, chain.head)
        if failure.is_refused:
            self.request_handler.prober.record_refused_connection(chain.head)
        self._record_error(chain, failure.error)

    def record_timeout(
        self, _attempt: EndpointAttempt, chain: Chain, error: StepError
    ) -> None:
        """Record an attempt that was given up.

        An earlier chain has continued the stream, or the deadline has passed;
        the chain has not failed, so that it may be tried again.
        """
        self._record_error(chain, error)
        self.request_handler.chain_choice.excluded.difference_update(
            chain.endpoint_ids
        )

    def _begin_use(self, chain: Chain) -> ChainUse:
        use = self.request_handler.chain_choice.begin(chain)
        if use.expected_seconds:
            self.request_handler.note(
                'chain-chosen', peer=chain.head.address, **use.describe()
            )
        return use

    def _record_refusal(
        self, chain: Chain, status: int, markers: ResponseMarkers
    ) -> None:
        request_handler = self.request_handler
        fault_address = markers.fault_address
        request_handler.last_error = StepError(
            Outcome.NOT_RUN,
            Reason.REFUSED,
            'stream',
            chain.head.address,
        )
        request_handler.has_tried = request_handler.answer_watch.tries_request
        self.state.count_event('chain-refused', str(status))
        request_handler.note(
            'chain-refused',
            peer=chain.head.address,
            status=status,
            fault=fault_address,
            **self._head_load(chain),
        )
        now = time.monotonic()
        self.state.suspects.deprioritize(chain.head.endpoint_id, now)
        is_full = status == http.HTTPStatus.SERVICE_UNAVAILABLE
        names_time = markers.retry_after_seconds is not None
        if fault_address or not is_full:
            request_handler.prober.check_chain(
                chain, 'refused', fault_address or chain.head.address
            )
        if is_full:
            # No slot is free at the head, or no memory at the engine named.
            # The request has not run there, and may be admitted when other
            # requests have ended.
            if not names_time:
                self.state.chains.record_refusal(chain, now)
            request_handler.chain_choice.excluded.difference_update(
                chain.endpoint_ids
            )

    def _head_load(self, chain: Chain) -> dict[str, int]:
        """Return the load of a chain's head, as far as this node knows it."""
        head = chain.head
        chains = self.state.chains
        return {
            'own_streams': chains.in_flight[head.endpoint_id],
            'streams': chains.streams_at(head.endpoint_id),
            'slots': head.slots,
        }

    def _record_error(self, chain: Chain, error: StepError) -> None:
        request_handler = self.request_handler
        is_disconnected = (
            request_handler.context.disconnect_monitor.is_disconnected
        )
        if is_disconnected:
            # The attempt was aborted here, so its connection error is not
            # the engine's fault.
            error = msgspec.structs.replace(error, reason=Reason.CALLER_GONE)
        request_handler.record_failure(
            chain.head,
            error,
            last=request_handler.cursor.last_number,
            born=chain.head.born,
            parts=request_handler.context.request.shared_parts,
            **request_handler.answer_watch.describe_progress(),
        )
        if not is_disconnected and error.reason is not Reason.TIMEOUT:
            now = time.monotonic()
            self.state.suspects.deprioritize(chain.head.endpoint_id, now)
            request_handler.prober.check_chain(chain, str(error.reason))
            self._check_beginning(chain, error)

    def _check_beginning(self, chain: Chain, error: StepError) -> None:
        """Find out whether the request may have ended its engine.

        A connection also breaks for other reasons, so that the probe of the
        engine is awaited before the request is sent to another one.
        """
        if error.outcome is Outcome.NOT_RUN:
            return
        request_handler = self.request_handler
        answer_watch = request_handler.answer_watch
        is_suspect = answer_watch.record_broken()
        is_urgent = answer_watch.stands_in_earlier_crash()
        request_handler.prober.check_after_break(
            chain.head, is_urgent=is_urgent
        )
        if is_suspect:
            request_handler.prober.wait_for_probe(chain.head)
            request_handler.has_ended_endpoint = answer_watch.has_ended(
                chain.head
            )
