"""The platform's implementation of the ingress node's wire format."""

from returns.result import Result

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.routing import RoutingConfiguration
from wigeonspoke.ingress.protocols import (
    ClientRequest,
    ForwardContext,
    HeaderList,
    ResponseMarkers,
)
from wigeonspoke.platform import headers, records


class PlatformFormat:
    """Implements :class:`WireFormat` for the platform."""

    __slots__ = ()

    def decode_request(
        self,
        method: str,
        target: str,
        header_list: HeaderList,
    ) -> ClientRequest:
        """Decode a client's request line and headers."""
        return headers.decode_request(method, target, header_list)

    def encode_headers(
        self, request: ClientRequest, forward_context: ForwardContext
    ) -> HeaderList:
        """Return the headers to send to an endpoint with a request."""
        return headers.encode_headers(request, forward_context)

    def node_response_headers(self, request: ClientRequest) -> HeaderList:
        """Return headers that identify the request in a node's own response."""
        return headers.node_response_headers(request)

    def read_response_markers(
        self, status: int, header_list: HeaderList
    ) -> ResponseMarkers:
        """Read the response markers from an endpoint's status and headers."""
        return headers.read_response_markers(status, header_list)

    def decode_configuration(
        self,
        body: bytes,
    ) -> Result[RoutingConfiguration, str]:
        """Decode a stored configuration; a failure describes the problem."""
        return records.decode_configuration(body)

    def decode_endpoint(
        self,
        endpoint_id: str,
        body: bytes,
    ) -> Result[Endpoint, str]:
        """Decode a registry entry; a failure describes the problem."""
        return records.decode_endpoint(endpoint_id, body)
