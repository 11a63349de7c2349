"""Reads the complete body of a request, up to a maximum size."""

import http
from typing import Any, BinaryIO

from eventlet.wsgi import Input

from wigeonspoke.transport.chunked_decoder import (
    CRLF,
    MAX_LINE_BYTES,
    ChunkedDecoder,
    ChunkError,
)
from wigeonspoke.transport.client_connection import (
    ClientConnection,
    Phase,
)
from wigeonspoke.transport.request_head import RequestError


def read_request_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read the whole body of a request that :class:`HttpListener` serves.

    Raises
    ------
    RequestError
        The body is too large, malformed or truncated.
    OSError
        The connection broke, or a read timed out.
    """
    client: ClientConnection = environ['wigeonspoke.connection']
    try:
        body = _read_body(environ['eventlet.input'], max_bytes)
    except TimeoutError:
        limits = client.limits
        client.end_by_limit(limits.body_seconds, limits.version)
        raise
    client.enter(Phase.WAITING)
    return body


def _read_body(source: Input, max_bytes: int) -> bytes:
    if source.chunked_input:
        if source.should_send_hundred_continue:
            source.send_hundred_continue_response()
            source.is_hundred_continue_response_sent = True
        # Prevents eventlet from reading a remainder of the body itself.
        source.chunk_length = 0
        return _read_chunked(source.rfile, max_bytes)
    length = source.content_length or 0
    if length > max_bytes:
        raise _too_large()
    body = source.read()
    if len(body) < length:
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'body ends early')
    return body


def _read_chunked(source: BinaryIO, max_bytes: int) -> bytes:
    decoder = ChunkedDecoder()
    parts: list[bytes] = []
    remaining = max_bytes
    while not decoder.is_complete:
        remaining -= decoder.remaining
        if remaining < 0:
            raise _too_large()
        try:
            parts.append(
                decoder.feed(_read_line_or_data(source, decoder.remaining))
            )
        except ChunkError as error:
            problem = str(error)
            raise RequestError(http.HTTPStatus.BAD_REQUEST, problem) from error
    return b''.join(parts)


def _read_line_or_data(source: BinaryIO, size: int) -> bytes:
    """Read the data of a chunk, or a line if ``size`` is 0, and no more."""
    if not size:
        line = source.readline(MAX_LINE_BYTES)
        if not line.endswith(CRLF):
            raise ChunkError('line of a chunk')
        return line
    chunk = source.read(size)
    if len(chunk) < size:
        raise ChunkError('end of a chunk')
    return chunk


def _too_large() -> RequestError:
    return RequestError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'size of the body',
    )
