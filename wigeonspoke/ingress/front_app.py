"""The application that takes clients' requests."""

import http
import time
from collections.abc import Callable, Iterator
from typing import Any

from wigeonspoke.core.routing import ClientAccount, RequestKind, Rule
from wigeonspoke.ingress.answers import (
    EndpointAnswer,
    OwnAnswer,
    start_answer,
)
from wigeonspoke.ingress.call_run import CallRun
from wigeonspoke.ingress.client_watch import ClientWatch
from wigeonspoke.ingress.protocols import ClientRequest
from wigeonspoke.ingress.request_run import RequestContext
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.stream_run import StreamRun
from wigeonspoke.transport import RequestError, read_request_body

StartResponse = Callable[..., Any]

NO_CONFIGURATION_SECONDS = 1.0


class FrontApp:
    """Admits a request, runs it and gives the answer back."""

    __slots__ = ('check_chain', 'state')

    def __init__(
        self,
        state: IngressState,
        check_chain: Callable[..., None],
    ) -> None:
        self.state = state
        self.check_chain = check_chain

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        """Serve one request."""
        arrived_at = time.monotonic()
        request = self._decode(environ)
        try:
            limits = self.state.table.limits
            request.body = read_request_body(environ, limits.max_body_bytes)
        except RequestError as error:
            environ['wigeonspoke.end_connection']()
            return self._refuse(
                request, error.status, error.problem, start_response
            )
        except OSError as error:
            environ['wigeonspoke.end_connection']()
            self.state.log.write(
                'body-lost',
                request=request.request_id,
                error=str(error),
            )
            return self._refuse(
                request,
                http.HTTPStatus.REQUEST_TIMEOUT,
                'body',
                start_response,
            )
        return self._admit(request, arrived_at, environ, start_response)

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

    def _admit(
        self,
        request: ClientRequest,
        arrived_at: float,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        table = self.state.table
        if table.configuration is None:
            return self._give(
                request,
                OwnAnswer(
                    http.HTTPStatus.SERVICE_UNAVAILABLE,
                    'no-configuration',
                    NO_CONFIGURATION_SECONDS,
                ),
                start_response,
            )
        rule = table.find_rule(request.host, request.path)
        if rule is None:
            return self._refuse(
                request,
                http.HTTPStatus.NOT_FOUND,
                'no-rule',
                start_response,
            )
        account = table.find_account(request.key)
        needs_account = table.requires_keys and not rule.allows_anonymous
        if needs_account and account is None:
            return self._refuse(
                request,
                http.HTTPStatus.UNAUTHORIZED,
                'no-account',
                start_response,
            )
        context = self._context(request, rule, account, arrived_at)
        return self._run(context, environ, start_response)

    def _context(
        self,
        request: ClientRequest,
        rule: Rule,
        account: ClientAccount | None,
        arrived_at: float,
    ) -> RequestContext:
        left = rule.timeout_seconds
        if request.left_seconds is not None:
            left = min(left, request.left_seconds)
        return RequestContext(
            request=request,
            rule=rule,
            account='' if account is None else account.name,
            arrived_at=arrived_at,
            until=arrived_at + left,
        )

    def _run(
        self,
        context: RequestContext,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        context.watch = ClientWatch(environ)
        try:
            if context.rule.kind is RequestKind.STREAM:
                run = StreamRun(self.state, context, self.check_chain)
                yield from run.serve(start_response)
            else:
                answer = CallRun(self.state, context).serve()
                yield from self._give(context.request, answer, start_response)
        finally:
            context.watch.stop()

    def _refuse(
        self,
        request: ClientRequest,
        status: http.HTTPStatus,
        reason: str,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        return self._give(request, OwnAnswer(status, reason), start_response)

    def _give(
        self,
        request: ClientRequest,
        answer: EndpointAnswer | OwnAnswer,
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        if isinstance(answer, OwnAnswer):
            self._note_own(request, answer)
        own_headers = self.state.wire.own_headers(request)
        return iter((start_answer(answer, own_headers, start_response),))

    def _note_own(self, request: ClientRequest, answer: OwnAnswer) -> None:
        self.state.count('own-answer', answer.reason)
        self.state.log.write(
            'own-answer',
            request=request.request_id,
            status=answer.status.value,
            reason=answer.reason,
            version=self.state.table.version,
            path=request.path,
        )
