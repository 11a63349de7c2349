"""Serves requests that other nodes relay for their clients."""

import http
import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from wigeonspoke.core.fleet import LeavingReport
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.relay import PeerAnswer, RunCounts
from wigeonspoke.core.routing import RequestKind, Rule
from wigeonspoke.ingress.calls.call_handler import CallHandler
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.protocols import ClientRequest
from wigeonspoke.ingress.relay.relay_head import (
    LAST_TRY,
    RELAY_HEADER,
    RelayHead,
    decode_head,
    outcome_headers,
    without_node_headers,
)
from wigeonspoke.ingress.requests.answer_watch import ClaimTrial
from wigeonspoke.ingress.requests.body_reading import split_body
from wigeonspoke.ingress.requests.disconnect_monitor import DisconnectMonitor
from wigeonspoke.ingress.requests.request_handler import (
    RequestContext,
    RequestHandler,
)
from wigeonspoke.ingress.requests.responses import (
    NodeResponse,
    begin_response,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.streams.stream_handler import StreamHandler
from wigeonspoke.transport import RequestBody, RequestError

StartResponse = Callable[..., Any]


class RelayApp:
    """Runs a request of another node's client as one of this node's own.

    ``peer_addresses`` returns the addresses of the nodes of the system, from
    which alone requests are accepted.  ``open_handlers`` are those of the
    requests that have no final answer yet.
    """

    __slots__ = (
        'claim_trial',
        'is_stopping',
        'open_handlers',
        'peer_addresses',
        'prober',
        'state',
    )

    def __init__(
        self,
        state: IngressState,
        prober: Prober,
        claim_trial: ClaimTrial,
        peer_addresses: Callable[[], set[str]],
        open_handlers: set[RequestHandler],
    ) -> None:
        self.open_handlers = open_handlers
        self.state = state
        self.prober = prober
        self.claim_trial = claim_trial
        self.peer_addresses = peer_addresses
        # Whether this node is about to stop and takes no further requests.
        self.is_stopping = False

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        """Serve one request of a peer."""
        arrived_at = time.monotonic()
        sender = environ['REMOTE_ADDR']
        head = decode_head(_find_header(environ))
        if sender not in self._sender_hosts():
            self.state.log.write('relay-forbidden', sender=sender)
            return self._reject(
                environ,
                start_response,
                http.HTTPStatus.FORBIDDEN,
                'forbidden',
                '' if head is None else head.request_id,
            )
        if head is None:
            self.state.log.write('relay-unreadable', sender=sender)
            return self._reject(
                environ, start_response, http.HTTPStatus.BAD_REQUEST, 'head'
            )
        environ['wigeonspoke.connection'].request_id = head.request_id
        reason = self._find_refusal(head)
        if reason:
            return self._refuse(environ, start_response, head, reason)
        return self._serve(environ, start_response, head, arrived_at)

    def _find_refusal(self, head: RelayHead) -> str:
        """Return why a request is not served, empty if it is."""
        if self.is_stopping:
            return 'stopping'
        rule = self._find_rule(head)
        if rule is None:
            return 'no-rule'
        services = {target.service for target in rule.targets}
        if rule.kind != head.kind or head.service not in services:
            return 'other-rule'
        now = time.monotonic()
        if self.state.reachability.is_service_isolated(head.service, now):
            return 'isolated'
        return ''

    def _find_rule(self, head: RelayHead) -> Rule | None:
        return self.state.routing_table.find_rule(head.host, head.path)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        head: RelayHead,
        arrived_at: float,
    ) -> Iterator[bytes]:
        if not self.state.relay_traffic.begin():
            yield from self._refuse(environ, start_response, head, 'too-many')
            return
        try:
            yield from self._run(environ, start_response, head, arrived_at)
        finally:
            self.state.relay_traffic.end()

    def _run(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        head: RelayHead,
        arrived_at: float,
    ) -> Iterator[bytes]:
        request = head.to_request()
        body: RequestBody = environ['wigeonspoke.body']
        # The sender gives the request up then.
        body.deadline = arrived_at + head.remaining_seconds
        try:
            limits = self.state.routing_table.limits
            request.body = body.read_whole(limits.max_body_bytes)
        except (RequestError, OSError):
            yield from self._refuse(environ, start_response, head, 'body')
            return
        self.state.merge_leaving(
            tuple(LeavingReport(start_id, 0) for start_id in head.leaving),
            head.node,
        )
        context = self._make_context(head, request, arrived_at)
        context.disconnect_monitor = DisconnectMonitor(environ)
        yield from self._run_handler(context, start_response)

    def _make_context(
        self, head: RelayHead, request: ClientRequest, arrived_at: float
    ) -> RequestContext:
        """Return the context, with the limits that the sender has set."""
        rule = self._find_rule(head)
        timeout = min(rule.timeout_seconds, head.remaining_seconds)
        return RequestContext(
            request=request,
            rule=msgspec.structs.replace(
                rule,
                max_attempts=min(rule.max_attempts, head.execution_limit),
            ),
            account=head.account,
            arrived_at=arrived_at,
            deadline=min(arrived_at + timeout, self.state.shutdown.answer_at),
            arrivals=head.arrivals,
            possible_executions=head.executions,
            service=head.service,
            relayed_from=head.node,
        )

    def _run_handler(
        self, context: RequestContext, start_response: StartResponse
    ) -> Iterator[bytes]:
        is_stream = context.rule.kind is RequestKind.STREAM
        handler_type = StreamHandler if is_stream else CallHandler
        request_handler = handler_type(
            self.state, context, self.prober, self.claim_trial
        )
        self.state.count_event('relay-accepted', context.relayed_from)
        request_handler.note('relay-accepted', service=context.service)
        start = _OutcomeWriter(request_handler, start_response)
        self.open_handlers.add(request_handler)
        try:
            if isinstance(request_handler, StreamHandler):
                yield from request_handler.serve(start)
            else:
                response = request_handler.serve()
                yield from split_body(begin_response(response, (), start))
        finally:
            self.open_handlers.discard(request_handler)
            request_handler.close()
        request_handler.note('relay-done', outcome=request_handler.outcome)

    def _refuse(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        head: RelayHead,
        reason: str,
    ) -> Iterator[bytes]:
        """Answer that a request has not run, and will not."""
        environ['wigeonspoke.end_connection']()
        self.state.count_event('relay-refused', reason)
        self.state.log.write(
            'relay-refused',
            request=head.request_id,
            relayed_from=head.node,
            service=head.service,
            reason=reason,
        )
        counts = RunCounts(head.arrivals, head.executions)
        answer = PeerAnswer(Outcome.NOT_RUN, counts)
        response = NodeResponse(http.HTTPStatus.SERVICE_UNAVAILABLE, reason)
        added = outcome_headers(answer, reason, head.request_id)
        return iter((begin_response(response, added, start_response),))

    def _reject(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        status: http.HTTPStatus,
        reason: str,
        request_id: str = '',
    ) -> Iterator[bytes]:
        """Answer a request that does not come from a node, or is malformed."""
        environ['wigeonspoke.end_connection']()
        self.state.count_event('relay-refused', reason)
        answer = PeerAnswer(Outcome.NOT_RUN, RunCounts())
        added = outcome_headers(answer, reason, request_id)
        response = NodeResponse(status, reason)
        return iter((begin_response(response, added, start_response),))

    def _sender_hosts(self) -> set[str]:
        return {address.rpartition(':')[0] for address in self.peer_addresses()}


class _OutcomeWriter:
    """Begins a response with the headers that tell the sender its outcome."""

    __slots__ = ('request_handler', 'start_response')

    def __init__(
        self, request_handler: RequestHandler, start_response: StartResponse
    ) -> None:
        self.request_handler = request_handler
        self.start_response = start_response

    def __call__(self, status: str, headers: list[tuple[str, str]]) -> Any:
        """Begin the response."""
        request_handler = self.request_handler
        answer = PeerAnswer(
            request_handler.outcome, request_handler.context.counts
        )
        reason = (
            LAST_TRY
            if request_handler.is_last_try
            else request_handler.outcome_reason
        )
        added = outcome_headers(
            answer,
            reason,
            request_handler.context.request.request_id,
            request_handler.leaving_runs,
        )
        return self.start_response(
            status, [*without_node_headers(headers), *added]
        )


def _find_header(environ: dict[str, Any]) -> str:
    """Return the value of the header with the head of a relayed request."""
    for name, text in environ['headers_raw']:
        if name.lower() == RELAY_HEADER.lower():
            return text
    return ''
