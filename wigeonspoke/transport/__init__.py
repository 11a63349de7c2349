"""HTTP on eventlet: listeners with limits, and a client with outcomes."""

from wigeonspoke.transport.chunked_body import ChunkedBody, ChunkError
from wigeonspoke.transport.http_client import (
    HttpClient,
    HttpError,
    HttpReply,
    read_lines,
)
from wigeonspoke.transport.http_server import HttpListener, ListenerLimits
from wigeonspoke.transport.peeking import peek
from wigeonspoke.transport.request_body import read_request_body
from wigeonspoke.transport.request_head import HeadError

__all__ = (
    'ChunkError',
    'ChunkedBody',
    'HeadError',
    'HttpClient',
    'HttpError',
    'HttpListener',
    'HttpReply',
    'ListenerLimits',
    'peek',
    'read_lines',
    'read_request_body',
)
