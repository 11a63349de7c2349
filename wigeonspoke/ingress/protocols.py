"""Interfaces between an ingress node and the platform's wire format."""

from typing import Protocol

import msgspec
from returns.result import Result

from wigeonspoke.core.chains import Chain, PromptPart
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.placement import Placement
from wigeonspoke.core.routing import RoutingConfiguration

HeaderList = tuple[tuple[str, str], ...]


class ClientRequest(msgspec.Struct):
    """A request as sent by a client.

    ``target`` is the raw path with its query string.  ``headers`` holds only
    the headers that may be forwarded.  ``remaining_seconds`` is how long the
    client waits, counted from the arrival of the request.  ``key`` is the
    credential that identifies the client account.  ``shared_parts`` are the
    ids of the parts of its prompt that other requests may have, too, which
    are all but the last one.

    ``prompt_tokens``, ``output_tokens`` (the most that the answer may have)
    and ``length_hint`` (what the client expects of it) are 0 if the client
    does not tell them; ``tokens`` is the sum of the first two.
    ``prompt_parts`` are all parts with their tokens, in order.
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
    shared_parts: tuple[str, ...] = ()
    body: bytes = b''
    prompt_tokens: int = 0
    output_tokens: int = 0
    length_hint: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()


class ForwardContext(msgspec.Struct, frozen=True):
    """Per-endpoint data added to a request when it is forwarded.

    ``urgency`` tells engines which requests to admit first, the least ones;
    it is None where all requests of the service have the same rank.
    """

    endpoint: Endpoint
    remaining_seconds: float
    account: str
    chain: Chain | None = None
    last_event_id: str = ''
    urgency: int | None = None


class ResponseMarkers(msgspec.Struct, frozen=True):
    """Properties of an endpoint's response, read from its headers.

    ``not_executed`` means that the request did not run and will not run.
    ``fault_address`` is the address of the engine that caused a chain's
    failure.  ``requests_per_second`` is the limit that the endpoint names for
    the requests of all nodes together, None if it names none.  ``is_leaving``
    is whether the endpoint says that it leaves.  ``retry_after_seconds`` is how
    long one that refused the request wants nothing from this node, None if it
    does not say so; ``unreadable_retry_after`` is the text if that has no
    meaning.
    """

    request_id: str
    is_signed: bool
    has_content_encoding: bool
    is_event_stream: bool
    not_executed: bool
    fault_address: str
    requests_per_second: float | None = None
    is_leaving: bool = False
    retry_after_seconds: float | None = None
    unreadable_retry_after: str = ''


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports on request.

    ``born`` identifies the start of the engine process.  ``orders`` counts
    the placement orders accepted since then; a new order may require this
    count as a precondition.  ``requests_per_second`` is the limit that the
    report named, if any, and ``is_leaving`` whether it said that the engine
    leaves.  ``slowdown`` is the time a step takes relative to
    the engine's kind, 1 being normal.  ``free_memory_fraction`` is the free
    fraction of the memory reserved for requests.
    """

    born: int
    orders: int
    layers: LayerRange | None
    is_busy: bool
    slowdown: float
    free_memory_fraction: float
    requests_per_second: float | None = None
    is_leaving: bool = False


class EngineFailure(msgspec.Struct, frozen=True):
    """Why an engine did not report its state.

    ``refuses_connections`` means that no process listens at its address.
    """

    problem: str
    refuses_connections: bool = False


class HealthReply(msgspec.Struct, frozen=True):
    """What a health check says: new work is accepted, or the engine leaves."""

    accepts_work: bool
    is_leaving: bool = False


class OrderReply(msgspec.Struct, frozen=True):
    """An engine's reply to a placement order.

    ``is_fenced_off`` means that the engine has already obeyed an order with
    a newer fencing token.  ``is_leaving`` is whether it says that it leaves.
    """

    is_accepted: bool
    is_fenced_off: bool = False
    is_leaving: bool = False


class WireFormat(Protocol):
    """Converts between the wire format and the types of the core."""

    def decode_request(
        self,
        method: str,
        target: str,
        headers: HeaderList,
    ) -> ClientRequest:
        """Decode a client's request line and headers."""

    def encode_headers(
        self, request: ClientRequest, forward_context: ForwardContext
    ) -> HeaderList:
        """Return the headers to send to an endpoint with a request."""

    def node_response_headers(self, request: ClientRequest) -> HeaderList:
        """Return headers that identify the request in a node's own response."""

    def read_response_markers(
        self, status: int, headers: HeaderList
    ) -> ResponseMarkers:
        """Read the response markers from an endpoint's status and headers."""

    def decode_configuration(
        self,
        body: bytes,
    ) -> Result[RoutingConfiguration, str]:
        """Decode a stored configuration; a failure describes the problem."""

    def decode_endpoint(
        self,
        endpoint_id: str,
        body: bytes,
    ) -> Result[Endpoint, str]:
        """Decode a registry entry; a failure describes the problem."""


class EngineControl(Protocol):
    """Queries engines for their state and sends them placement orders."""

    def fetch_state(
        self,
        address: str,
        timeout: float,
    ) -> Result[EngineState, EngineFailure]:
        """Fetch an engine's state."""

    def check_health(
        self, address: str, path: str, timeout: float
    ) -> HealthReply:
        """Fetch the result of an engine's health check."""

    def send_order(
        self,
        placement: Placement,
        orders: int,
        fence: int,
        timeout: float,
    ) -> Result[OrderReply, str]:
        """Order an engine to load a range of layers.

        ``orders`` is the expected count of accepted orders and ``fence`` the
        fencing token of the lease.  After a failure it is unknown whether
        the engine accepted the order.
        """
