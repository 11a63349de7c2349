"""The platform's wire format, as the ingress node asks for it."""

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
    """Satisfies :class:`WireFormat`."""

    __slots__ = ()

    def decode_request(
        self,
        method: str,
        target: str,
        header_list: HeaderList,
    ) -> ClientRequest:
        """Decode a client's request without its body."""
        return headers.decode_request(method, target, header_list)

    def encode_headers(
        self, request: ClientRequest, forward_context: ForwardContext
    ) -> HeaderList:
        """Give the headers that an endpoint gets with a request."""
        return headers.encode_headers(request, forward_context)

    def node_response_headers(self, request: ClientRequest) -> HeaderList:
        """Give the headers that tell a client whose answer of ours it is."""
        return headers.node_response_headers(request)

    def read_response_markers(
        self, status: int, header_list: HeaderList
    ) -> ResponseMarkers:
        """Read the marks of an endpoint's answer."""
        return headers.read_response_markers(status, header_list)

    def decode_configuration(
        self,
        body: bytes,
    ) -> Result[RoutingConfiguration, str]:
        """Decode a version of the configuration."""
        return records.decode_configuration(body)

    def decode_endpoint(
        self,
        endpoint_id: str,
        body: bytes,
    ) -> Result[Endpoint, str]:
        """Decode an entry of the registry."""
        return records.decode_endpoint(endpoint_id, body)
