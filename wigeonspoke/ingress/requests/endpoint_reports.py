"""What endpoints say of themselves in their responses to requests."""

import http
import time
from collections.abc import Callable

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.ingress.protocols import HeaderList, ResponseMarkers
from wigeonspoke.ingress.requests.endpoint_attempt import EndpointAttempt
from wigeonspoke.ingress.state import IngressState

# Characters of an endpoint's text that are written to the log.
MAX_LOGGED_TEXT = 64


class EndpointReports:
    """Records limits, leavings and backoffs that a response names.

    ``note`` writes a line about the request to the log.
    """

    __slots__ = ('note', 'request_id', 'state')

    def __init__(
        self,
        state: IngressState,
        request_id: str,
        note: Callable[..., None],
    ) -> None:
        self.state = state
        self.request_id = request_id
        self.note = note

    def read_markers(
        self,
        attempt: EndpointAttempt,
        endpoint: Endpoint,
        status: int,
        headers: HeaderList,
    ) -> ResponseMarkers:
        """Read the markers of an endpoint's response, and act on them."""
        # A connection counts as established only with a response: on the path
        # to an unreachable endpoint, it may be accepted and then reset.
        reachability = self.state.reachability
        if attempt.connected_at is not None:
            reachability.record_connected(endpoint, attempt.connected_at)
        reachability.record_answered(endpoint, time.monotonic())
        markers = self.state.wire.read_response_markers(status, headers)
        if not self.is_own_answer(attempt, markers):
            # What an earlier response says may no longer be true.
            self.state.count_event('other-answer', str(status))
            self.note(
                'other-answer',
                peer=endpoint.address,
                status=status,
                answer_to=markers.request_id[:MAX_LOGGED_TEXT],
                not_executed=markers.not_executed,
                is_new_connection=attempt.connected_at is not None,
            )
            return markers
        self._record_limit(endpoint, markers)
        # A response of another run says nothing about the expected one.
        is_other_run = (
            status == http.HTTPStatus.MISDIRECTED_REQUEST
            and not markers.fault_address
        )
        if not is_other_run:
            self._record_leaving(endpoint, status, markers)
            self._record_backoff(attempt, endpoint, markers)
        return markers

    def is_own_answer(
        self, attempt: EndpointAttempt, markers: ResponseMarkers
    ) -> bool:
        """Return whether a response answers this request.

        It names the request.  A refusal without a name counts only as the
        first response on a new connection, where no other one was due: on a
        connection in use again, an endpoint may repeat an earlier one.
        """
        if markers.not_executed and not markers.request_id:
            return attempt.connected_at is not None
        return markers.request_id == self.request_id

    def _record_limit(
        self, endpoint: Endpoint, markers: ResponseMarkers
    ) -> None:
        """Record the limit that a response names.

        A response without a limit ends the one named before, unless it may
        come from elsewhere.
        """
        limit = markers.requests_per_second
        if limit is not None:
            self.state.count_event('limit-named')
        elif not markers.request_id:
            return
        now = time.monotonic()
        if self.state.limits.record_answer(endpoint.start_id, limit, now):
            self.note('limit-changed', endpoint=endpoint.start_id, limit=limit)
            self.state.tell_news()

    def _record_leaving(
        self, endpoint: Endpoint, status: int, markers: ResponseMarkers
    ) -> None:
        if not markers.is_leaving:
            return
        self.state.count_event('leaving-named')
        if self.state.record_leaving(endpoint.start_id, f'answer {status}'):
            self.note('turned-from', endpoint=endpoint.start_id)

    def _record_backoff(
        self,
        attempt: EndpointAttempt,
        endpoint: Endpoint,
        markers: ResponseMarkers,
    ) -> None:
        """Record the beginning or the end of an endpoint's backoff."""
        backoffs = self.state.availability.backoffs
        start_id = endpoint.start_id
        seconds = markers.retry_after_seconds
        if markers.unreadable_retry_after:
            self.note(
                'retry-after-unreadable',
                endpoint=start_id,
                text=markers.unreadable_retry_after[:MAX_LOGGED_TEXT],
            )
        if seconds is None:
            if backoffs.record_answer(start_id, attempt.sent_at):
                self.note('backoff-ended', endpoint=start_id)
            return
        now = time.monotonic()
        self.state.count_event('backoff-named')
        if backoffs.record_refusal(start_id, seconds, attempt.sent_at, now):
            until = backoffs.find_until(start_id, now) or now
            self.note(
                'backoff',
                endpoint=start_id,
                named=seconds,
                waits=round(until - now, 3),
                sent_ago=round(now - attempt.sent_at, 3),
            )
