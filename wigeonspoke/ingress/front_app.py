"""WSGI application that serves client requests."""

import http
import time
from collections.abc import Callable, Iterator
from typing import Any

from wigeonspoke.core.routing import ClientAccount, RequestKind, Rule
from wigeonspoke.ingress.requests.answer_watch import ClaimTrial
from wigeonspoke.ingress.calls.call_handler import CallHandler
from wigeonspoke.ingress.requests.body_reading import split_body
from wigeonspoke.ingress.requests.disconnect_monitor import DisconnectMonitor
from wigeonspoke.ingress.fleet.prober import Prober
from wigeonspoke.ingress.protocols import ClientRequest
from wigeonspoke.ingress.requests.request_handler import (
    RequestContext,
    RequestHandler,
)
from wigeonspoke.ingress.requests.responses import (
    EndpointResponse,
    NodeResponse,
    begin_response,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.streams.stream_handler import StreamHandler
from wigeonspoke.serialization import MAX_COUNT, parse_count
from wigeonspoke.transport import MemoryShortError, RequestBody, RequestError

StartResponse = Callable[..., Any]

NO_CONFIGURATION = NodeResponse(
    http.HTTPStatus.SERVICE_UNAVAILABLE, 'no-configuration', retry_after=1.0
)
# The memory for bodies is mostly free again when some requests have ended.
MEMORY_RETRY_AFTER_SECONDS = 1.0
# The answer to a request that comes too late in a stop.  Its client returns on
# a new connection, which reaches another node.
STOPPING = NodeResponse(
    http.HTTPStatus.SERVICE_UNAVAILABLE, 'stopping', retry_after=0.1
)


class FrontApp:
    """Admits a request, runs it and returns the response.

    ``open_handlers`` are those of the requests that have no final answer yet.
    """

    __slots__ = ('claim_trial', 'open_handlers', 'prober', 'state')

    def __init__(
        self,
        state: IngressState,
        prober: Prober,
        claim_trial: ClaimTrial,
        open_handlers: set[RequestHandler],
    ) -> None:
        self.open_handlers = open_handlers
        self.state = state
        self.prober = prober
        self.claim_trial = claim_trial

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        """Serve one request."""
        arrived_at = time.monotonic()
        request = self._decode(environ)
        environ['wigeonspoke.connection'].request_id = request.request_id
        response = self._find_refusal(request)
        if response is None:
            response = self._read_body(request, arrived_at, environ)
        elif not environ['wigeonspoke.body'].drop():
            environ['wigeonspoke.end_connection']()
        if response is None:
            # The configuration may have changed while the body was read.
            response = self._find_refusal(request)
        if response is not None:
            return self._respond(request, response, start_response)
        context = self._context(request, arrived_at)
        return self._serve(context, environ, start_response)

    def _read_body(
        self,
        request: ClientRequest,
        arrived_at: float,
        environ: dict[str, Any],
    ) -> NodeResponse | None:
        """Read the body of a request; return a refusal if that fails."""
        limits = self.state.routing_table.limits
        body: RequestBody = environ['wigeonspoke.body']
        rule = self._find_rule(request)
        # Nobody can be served after the deadline.
        body.deadline = self._deadline(request, rule, arrived_at)
        try:
            request.body = body.read_whole(limits.max_body_bytes)
        except MemoryShortError as error:
            refusal = NodeResponse(
                error.status, error.problem, MEMORY_RETRY_AFTER_SECONDS
            )
        except RequestError as error:
            refusal = NodeResponse(error.status, error.problem)
        except OSError as error:
            self.state.log.write(
                'body-lost',
                request=request.request_id,
                error=str(error),
            )
            refusal = NodeResponse(http.HTTPStatus.REQUEST_TIMEOUT, 'body')
        else:
            return None
        environ['wigeonspoke.end_connection']()
        return refusal

    def _decode(self, environ: dict[str, Any]) -> ClientRequest:
        target = environ['RAW_PATH_INFO']
        query = environ.get('QUERY_STRING')
        if query is not None:
            target = f'{target}?{query}'
        return self.state.wire.decode_request(
            environ['REQUEST_METHOD'],
            target,
            environ['headers_raw'],
        )

    def _find_refusal(self, request: ClientRequest) -> NodeResponse | None:
        """Return why a request is refused, as its head tells; None if not."""
        table = self.state.routing_table
        if table.configuration is None:
            return NO_CONFIGURATION
        rule = self._find_rule(request)
        if rule is None:
            return NodeResponse(http.HTTPStatus.NOT_FOUND, 'no-rule')
        needs_account = table.requires_keys and not rule.allows_anonymous
        if needs_account and self._find_account(request) is None:
            return NodeResponse(http.HTTPStatus.UNAUTHORIZED, 'no-account')
        is_stream = rule.kind is RequestKind.STREAM
        if is_stream and not _has_valid_position(request):
            return NodeResponse(http.HTTPStatus.BAD_REQUEST, 'last-event-id')
        return None if self._may_take(rule) else STOPPING

    def _find_rule(self, request: ClientRequest) -> Rule | None:
        return self.state.routing_table.find_rule(request.host, request.path)

    def _find_account(self, request: ClientRequest) -> ClientAccount | None:
        return self.state.routing_table.find_account(request.key)

    def _may_take(self, rule: Rule) -> bool:
        """Return whether a request can be answered before the node ends."""
        if not self.state.is_stopping:
            return True
        expected_seconds = self.state.response_times.expected(
            rule.name, rule.target_latency_seconds
        )
        return self.state.shutdown.may_take(time.monotonic(), expected_seconds)

    def _context(
        self, request: ClientRequest, arrived_at: float
    ) -> RequestContext:
        rule = self._find_rule(request)
        account = self._find_account(request)
        return RequestContext(
            request=request,
            rule=rule,
            account='' if account is None else account.name,
            arrived_at=arrived_at,
            deadline=self._deadline(request, rule, arrived_at),
        )

    def _deadline(
        self, request: ClientRequest, rule: Rule, arrived_at: float
    ) -> float:
        """Return when a request is given up, on the monotonic clock."""
        remaining_seconds = rule.timeout_seconds
        if request.remaining_seconds is not None:
            remaining_seconds = min(
                remaining_seconds, request.remaining_seconds
            )
        answer_at = self.state.shutdown.answer_at
        return min(arrived_at + remaining_seconds, answer_at)

    def _serve(
        self,
        context: RequestContext,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        context.disconnect_monitor = DisconnectMonitor(environ)
        is_stream = context.rule.kind is RequestKind.STREAM
        handler_type = StreamHandler if is_stream else CallHandler
        request_handler = handler_type(
            self.state, context, self.prober, self.claim_trial
        )
        self.open_handlers.add(request_handler)
        try:
            if isinstance(request_handler, StreamHandler):
                yield from request_handler.serve(start_response)
            else:
                response = request_handler.serve()
                yield from self._respond(
                    context.request, response, start_response
                )
        finally:
            self.open_handlers.discard(request_handler)
            request_handler.close()

    def _respond(
        self,
        request: ClientRequest,
        response: EndpointResponse | NodeResponse,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        if isinstance(response, NodeResponse):
            self._log_node_response(request, response)
        node_response_headers = self.state.wire.node_response_headers(request)
        return split_body(
            begin_response(response, node_response_headers, start_response)
        )

    def _log_node_response(
        self, request: ClientRequest, response: NodeResponse
    ) -> None:
        self.state.count_event('own-answer', response.reason)
        self.state.log.write(
            'own-answer',
            request=request.request_id,
            status=response.status.value,
            reason=response.reason,
            version=self.state.routing_table.version,
            path=request.path,
        )


def _has_valid_position(request: ClientRequest) -> bool:
    """Return whether a stream can be resumed where a client wants it to be.

    A number that is too long is the id of no event.
    """
    return parse_count(request.last_event_id) != MAX_COUNT
