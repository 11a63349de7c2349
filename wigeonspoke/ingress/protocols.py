"""What an ingress node asks of the platform's wire format."""

from typing import Protocol

import msgspec
from returns.result import Result

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.placement import Placing
from wigeonspoke.core.routing import RoutingConfiguration

HeaderList = tuple[tuple[str, str], ...]


class ClientRequest(msgspec.Struct):
    """A request as a client sent it.

    ``target`` is the raw path with its query.  ``headers`` are those that
    may be passed on.  ``remaining_seconds`` is how long the client waits,
    counted from the arrival, and ``key`` identifies its account.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: HeaderList
    key: str
    remaining_seconds: float | None
    last_event_id: str
    tokens: int
    body: bytes = b''


class ForwardContext(msgspec.Struct, frozen=True):
    """What is added to a request for the endpoint that gets it."""

    endpoint: Endpoint
    remaining_seconds: float
    account: str
    chain: Chain | None = None
    last_event_id: str = ''


class ResponseMarkers(msgspec.Struct, frozen=True):
    """What an endpoint's answer says beside its status and body.

    ``not_executed`` says that the request did not run and will not.
    ``fault_address`` names the engine of a chain that was at fault.
    """

    request_id: str
    is_signed: bool
    has_content_encoding: bool
    is_event_stream: bool
    not_executed: bool
    fault_address: str


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself when it is asked.

    ``orders`` counts the orders that it accepted since its start; an order
    may be bound to that number.  ``free_memory_fraction`` is the part of its
    memory for requests that is free.
    """

    born: int
    orders: int
    layers: LayerRange | None
    is_busy: bool
    pace: float
    free_memory_fraction: float


class OrderReply(msgspec.Struct, frozen=True):
    """How an engine took an order."""

    is_accepted: bool
    is_fenced_off: bool = False


class WireFormat(Protocol):
    """Translates between the wire and the product's types."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: HeaderList,
    ) -> ClientRequest:
        """Decode a client's request without its body."""

    def encode_headers(
        self, request: ClientRequest, forward_context: ForwardContext
    ) -> HeaderList:
        """Give the headers that an endpoint gets with a request."""

    def node_response_headers(self, request: ClientRequest) -> HeaderList:
        """Give the headers that tell a client whose answer of ours it is."""

    def read_response_markers(
        self, status: int, headers: HeaderList
    ) -> ResponseMarkers:
        """Read the marks of an endpoint's answer."""

    def decode_configuration(
        self,
        body: bytes,
    ) -> Result[RoutingConfiguration, str]:
        """Decode a version of the configuration."""

    def decode_endpoint(
        self,
        endpoint_id: str,
        body: bytes,
    ) -> Result[Endpoint, str]:
        """Decode an entry of the registry."""


class EngineControl(Protocol):
    """Asks engines for their state and gives them orders."""

    def fetch_state(
        self,
        address: str,
        timeout: float,
    ) -> Result[EngineState, str]:
        """Ask an engine for its state; a failure says why there is none."""

    def check_health(self, address: str, path: str, timeout: float) -> bool:
        """Ask an engine whether it takes new work."""

    def send_order(
        self,
        placing: Placing,
        orders: int,
        fence: int,
        timeout: float,
    ) -> Result[OrderReply, str]:
        """Order an engine to hold layers; a failure leaves that unknown."""
