"""Reports and orders of engines on the platform."""

import http

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.placement import Placement
from wigeonspoke.ingress.protocols import EngineState, OrderReply
from wigeonspoke.platform.records import decode_report
from wigeonspoke.transport import HttpClient, HttpError

ACCEPTED = frozenset((http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED))


class PlatformEngines:
    """Satisfies :class:`EngineControl` over HTTP."""

    __slots__ = ('client',)

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def fetch_state(
        self,
        address: str,
        timeout: float,
    ) -> Result[EngineState, str]:
        """Ask an engine for its state."""
        asked = self.client.get(address, '/v1/report', timeout)
        if not isinstance(asked, Success):
            return Failure(_describe(asked.failure()))
        reply = asked.unwrap()
        if not reply.is_ok:
            return Failure(f'status {reply.status}')
        return decode_report(reply.body)

    def check_health(self, address: str, path: str, timeout: float) -> bool:
        """Ask an engine whether it takes new work."""
        asked = self.client.get(address, path, timeout)
        return isinstance(asked, Success) and asked.unwrap().is_ok

    def send_order(
        self,
        placing: Placement,
        orders: int,
        fence: int,
        timeout: float,
    ) -> Result[OrderReply, str]:
        """Order an engine to hold layers."""
        body = msgspec.json.encode(
            {
                'op': 'place',
                'from': placing.layers.first,
                'to': placing.layers.end,
                'drain-mode': 'wait',
                'fence': fence,
                'precondition': orders,
            },
        )
        sent = self.client.post(
            placing.endpoint.address,
            '/v1/order',
            body,
            timeout,
        )
        if not isinstance(sent, Success):
            return Failure(_describe(sent.failure()))
        status = sent.unwrap().status
        return Success(
            OrderReply(
                is_accepted=status in ACCEPTED,
                is_fenced_off=status == http.HTTPStatus.PRECONDITION_FAILED,
            ),
        )


def _describe(error: HttpError) -> str:
    return f'{error.reason.value} at {error.peer}'
