"""Plain services over HTTP."""

import msgspec
from returns.result import Result

from wigeonspoke.transport import HttpClient, HttpError, HttpReply

PROBE_SECONDS = 1.0


class ServiceRequest(msgspec.Struct, frozen=True):
    """A call as the caller made it, without the hop-by-hop parts.

    ``identity`` names the operation, and goes along for the service's own
    use.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    identity: str
    account: str


class HttpService:
    """Satisfies :class:`ServiceClient` by HTTP."""

    __slots__ = ('client',)

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
        fresh_connection: bool,
    ) -> Result[HttpReply, HttpError]:
        """Send a call and wait for the whole reply."""
        headers = {'X-Wigeonspoke-Account': request.account}
        if request.content_type:
            headers['Content-Type'] = request.content_type
        if request.identity:
            headers['Idempotency-Key'] = request.identity
        return self.client.send(
            address,
            request.method,
            request.path,
            request.body or None,
            timeout=timeout,
            headers=headers,
            fresh_connection=fresh_connection,
        )

    def probe(self, address: str) -> Result[None, HttpError]:
        """Tell whether the replica answers at all."""
        answer = self.client.get(address, '/', PROBE_SECONDS)
        return answer.map(lambda _: None)
