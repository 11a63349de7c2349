"""Reading of a request's body, whole and within a size."""

import http
import re
from typing import Any, BinaryIO

from wigeonspoke.transport.request_head import HeadError

MAX_CHUNK_LINE = 1024
MAX_TRAILERS = 16
HEXADECIMAL = 16

_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\r\n\x00]*)?\r\n')


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
    parts: list[bytes] = []
    left = max_bytes
    while True:
        matched = _CHUNK_LINE.fullmatch(source.readline(MAX_CHUNK_LINE))
        if matched is None:
            raise HeadError(http.HTTPStatus.BAD_REQUEST, 'size of a chunk')
        size = int(matched[1], HEXADECIMAL)
        if not size:
            _skip_trailers(source)
            return b''.join(parts)
        left -= size
        if left < 0:
            raise _too_large()
        parts.append(_read_chunk(source, size))


def _read_chunk(source: BinaryIO, size: int) -> bytes:
    chunk = source.read(size)
    if len(chunk) < size or source.read(2) != b'\r\n':
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'end of a chunk')
    return chunk


def _skip_trailers(source: BinaryIO) -> None:
    for _ in range(MAX_TRAILERS):
        if source.readline(MAX_CHUNK_LINE) == b'\r\n':
            return
    raise HeadError(http.HTTPStatus.BAD_REQUEST, 'trailers')


def _too_large() -> HeadError:
    return HeadError(
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'size of the body',
    )
