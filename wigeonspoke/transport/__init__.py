"""HTTP on eventlet: a server with limits, and a client with outcomes."""

from wigeonspoke.transport.body_end import BodyEnd, find_body_end
from wigeonspoke.transport.chunked_decoder import ChunkedDecoder, ChunkError
from wigeonspoke.transport.client_connection import (
    ClientConnection,
    ConnectionEnd,
    EndCause,
    Phase,
)
from wigeonspoke.transport.connection_places import (
    CLIENT_SOCKET_FRACTION,
    PEER_SOCKET_FRACTION,
    READINESS_SOCKET_FRACTION,
    HostLimits,
)
from wigeonspoke.transport.connection_loss import ConnectionLoss, Operation
from wigeonspoke.transport.decimal_text import parse_decimal
from wigeonspoke.transport.http_client import (
    HttpClient,
    HttpError,
    HttpReply,
    read_lines,
)
from wigeonspoke.transport.http_connection import ConnectionPools
from wigeonspoke.transport.http_server import HttpListener, ResponseAborted
from wigeonspoke.transport.listener_limits import LimitHistory, ListenerLimits
from wigeonspoke.transport.request_body import RequestBody, read_request_body
from wigeonspoke.transport.request_head import RequestError
from wigeonspoke.transport.request_memory import (
    MemoryShortError,
    RequestMemory,
)
from wigeonspoke.transport.response_receiver import (
    MAX_INFORMATIONAL_HEADS,
    ReadTimeout,
    ResponseReceiver,
    ResponseTooLarge,
)
from wigeonspoke.transport.retry_after import parse_retry_after
from wigeonspoke.transport.socket_options import (
    RECEIVE_BUFFER_BYTES,
    reset_on_close,
)
from wigeonspoke.transport.socket_peek import peek

__all__ = (
    'CLIENT_SOCKET_FRACTION',
    'MAX_INFORMATIONAL_HEADS',
    'PEER_SOCKET_FRACTION',
    'READINESS_SOCKET_FRACTION',
    'RECEIVE_BUFFER_BYTES',
    'BodyEnd',
    'ChunkError',
    'ChunkedDecoder',
    'ClientConnection',
    'ConnectionEnd',
    'ConnectionLoss',
    'ConnectionPools',
    'EndCause',
    'HttpClient',
    'HttpError',
    'HttpListener',
    'HttpReply',
    'HostLimits',
    'LimitHistory',
    'ListenerLimits',
    'MemoryShortError',
    'Operation',
    'Phase',
    'ReadTimeout',
    'RequestBody',
    'RequestError',
    'RequestMemory',
    'ResponseAborted',
    'ResponseReceiver',
    'ResponseTooLarge',
    'find_body_end',
    'parse_decimal',
    'parse_retry_after',
    'peek',
    'read_lines',
    'read_request_body',
    'reset_on_close',
)
