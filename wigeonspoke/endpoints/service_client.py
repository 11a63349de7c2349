"""HTTP client for plain services."""

import msgspec
from returns.result import Result

from wigeonspoke.transport import HttpClient, HttpError, HttpReply

PROBE_TIMEOUT_SECONDS = 1.0


class ServiceRequest(msgspec.Struct, frozen=True):
    """A caller's request without its hop-by-hop headers.

    ``identity`` identifies a non-repeatable operation.  It is forwarded as
    ``Idempotency-Key``, so that the service can recognize repeats itself.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    identity: str
    account: str


class HttpService:
    """Implements :class:`ServiceClient` over HTTP."""

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
        """Send a call and wait for the complete reply."""
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
        """Check that the replica replies; any status counts."""
        reply = self.client.get(address, '/', PROBE_TIMEOUT_SECONDS)
        return reply.map(lambda _: None)
