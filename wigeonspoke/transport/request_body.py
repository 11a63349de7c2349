"""Reading of a request's body, whole and within a size."""

import http
from typing import Any, BinaryIO

from wigeonspoke.transport.chunked_body import (
    LINE_END,
    MAX_LINE,
    ChunkedBody,
    ChunkError,
)
from wigeonspoke.transport.request_head import HeadError


def read_request_body(environ: dict[str, Any], max_bytes: int) -> bytes:
    """Read the whole body of a request that :class:`HttpListener` serves.

    Raises
    ------
    HeadError
        The body is too large, malformed or ends early.
    OSError
        The connection broke or was silent for too long.
    """
    source = environ['eventlet.input']
    if source.chunked_input:
        # The server must not look for a rest of the body by itself.
        source.chunk_length = 0
        return _read_chunks(source.rfile, max_bytes)
    length = source.content_length or 0
    if length > max_bytes:
        raise _too_large()
    body = source.read()
    if len(body) < length:
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'body ends early')
    return body


def _read_chunks(source: BinaryIO, max_bytes: int) -> bytes:
    body = ChunkedBody()
    parts: list[bytes] = []
    left = max_bytes
    while not body.is_whole:
        left -= body.left
        if left < 0:
            raise _too_large()
        try:
            parts.append(body.feed(_read_piece(source, body.left)))
        except ChunkError as error:
            problem = str(error)
            raise HeadError(http.HTTPStatus.BAD_REQUEST, problem) from error
    return b''.join(parts)


def _read_piece(source: BinaryIO, size: int) -> bytes:
    """Read the data of a chunk, or a line, and no byte that follows it."""
    if not size:
        line = source.readline(MAX_LINE)
        if not line.endswith(LINE_END):
            raise ChunkError('line of a chunk')
        return line
    chunk = source.read(size)
    if len(chunk) < size:
        raise ChunkError('end of a chunk')
    return chunk


def _too_large() -> HeadError:
    return HeadError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'size of the body',
    )
