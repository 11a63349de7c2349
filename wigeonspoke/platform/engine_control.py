"""HTTP client for the state reports and placement orders of engines."""

import http
from functools import partial

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.placement import Placement
from wigeonspoke.ingress.protocols import (
    EngineFailure,
    EngineState,
    HealthReply,
    OrderReply,
)
from wigeonspoke.platform.headers import LIMIT_HEADER, says_leaving
from wigeonspoke.platform.records import decode_report
from wigeonspoke.transport import HttpClient, HttpError, parse_decimal

ACCEPTED_STATUSES = frozenset((http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED))


class PlatformEngineControl:
    """Implements :class:`EngineControl` over HTTP."""

    __slots__ = ('client',)

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def fetch_state(
        self,
        address: str,
        timeout: float,
    ) -> Result[EngineState, EngineFailure]:
        """Fetch an engine's state."""
        result = self.client.get(address, '/v1/report', timeout)
        if not isinstance(result, Success):
            error = result.failure()
            return Failure(
                EngineFailure(_describe_error(error), error.is_refused)
            )
        reply = result.unwrap()
        if not reply.is_ok:
            return Failure(EngineFailure(f'status {reply.status}'))
        limit = parse_decimal(reply.headers.get(LIMIT_HEADER.lower(), ''))
        return (
            decode_report(reply.body)
            .map(
                partial(
                    msgspec.structs.replace,
                    requests_per_second=limit,
                    is_leaving=says_leaving(reply.headers),
                )
            )
            .alt(EngineFailure)
        )

    def check_health(
        self, address: str, path: str, timeout: float
    ) -> HealthReply:
        """Fetch the result of an engine's health check."""
        result = self.client.get(address, path, timeout)
        if not isinstance(result, Success):
            return HealthReply(accepts_work=False)
        reply = result.unwrap()
        return HealthReply(reply.is_ok, says_leaving(reply.headers))

    def send_order(
        self,
        placement: Placement,
        orders: int,
        fence: int,
        timeout: float,
    ) -> Result[OrderReply, str]:
        """Order an engine to load a range of layers.

        ``orders`` is sent as the precondition: the engine accepts the order
        only if it has accepted exactly that many orders before.  Answers do
        not name their order, so that each order has a connection of its own.
        """
        body = msgspec.json.encode(
            {
                'op': 'place',
                'from': placement.layers.first,
                'to': placement.layers.end,
                'drain-mode': 'wait',
                'fence': fence,
                'precondition': orders,
            },
        )
        result = self.client.send(
            placement.endpoint.address,
            'POST',
            '/v1/order',
            body,
            timeout,
            fresh_connection=True,
        )
        if not isinstance(result, Success):
            return Failure(_describe_error(result.failure()))
        reply = result.unwrap()
        status = reply.status
        return Success(
            OrderReply(
                is_accepted=status in ACCEPTED_STATUSES,
                is_fenced_off=status == http.HTTPStatus.PRECONDITION_FAILED,
                is_leaving=says_leaving(reply.headers),
            ),
        )


def _describe_error(error: HttpError) -> str:
    return f'{error.reason.value} at {error.peer}'
