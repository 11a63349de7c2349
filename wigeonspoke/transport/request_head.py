"""Strict parser of a request's head, as a defence against request smuggling.

It rejects whatever two HTTP implementations could interpret differently.  If
one of them takes some bytes for the end of a body and another one takes them
for the start of a request, a request can be hidden in the body of another.
"""

import http
import re
from http.client import HTTPMessage
from typing import BinaryIO

import msgspec

MAX_HEADERS = 128

_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([^\x00-\x20\x7f]+) (HTTP/1\.[01])\r\n",
)
_HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):"
    rb'[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n',
)
_CONTENT_LENGTH = re.compile('[0-9]{1,15}')


class RequestError(Exception):
    """A request that cannot be read; ``status`` is that of the response.

    ``problem`` becomes the reason in metrics and in the decision log if the
    body is at fault, so the values that concern bodies must not change.
    """

    def __init__(self, status: http.HTTPStatus, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.problem = problem


class HeadEndsEarlyError(RequestError):
    """The client closed the connection within the head of a request."""

    def __init__(self) -> None:
        super().__init__(http.HTTPStatus.BAD_REQUEST, 'head ends early')


class RequestHead(msgspec.Struct, frozen=True):
    """The request line and the headers of a request."""

    method: str
    target: str
    version: str
    headers: HTTPMessage

    @property
    def wants_close(self) -> bool:
        """Return whether the connection closes after the response."""
        connection = self.headers.get('Connection', '').lower()
        if self.version == 'HTTP/1.0':
            return 'keep-alive' not in connection
        return 'close' in connection


def read_request_head(
    request_line: bytes,
    source: BinaryIO,
    max_bytes: int,
) -> RequestHead:
    """Read the headers that follow a request line.

    ``max_bytes`` limits the size of the request line and headers together.

    Raises
    ------
    RequestError
        The head is malformed or too large, or specifies more than one
        length of the body.
    HeadEndsEarlyError
        The client closed the connection within the head.
    """
    if not request_line.endswith(b'\n'):
        raise HeadEndsEarlyError
    match = _REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise RequestError(
            http.HTTPStatus.BAD_REQUEST, 'malformed request line'
        )
    method, target, version = (
        part.decode('latin-1') for part in match.groups()
    )
    remaining_bytes = max_bytes - len(request_line)
    headers = _read_headers(source, remaining_bytes)
    _check_framing(headers)
    return RequestHead(method, target, version, headers)


def _read_headers(source: BinaryIO, remaining_bytes: int) -> HTTPMessage:
    headers = HTTPMessage()
    for _ in range(MAX_HEADERS):
        line = source.readline(remaining_bytes + 1)
        remaining_bytes -= len(line)
        if remaining_bytes < 0:
            raise RequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'the headers are too large',
            )
        if not line.endswith(b'\n'):
            raise HeadEndsEarlyError
        if line == b'\r\n':
            return headers
        _add_header(headers, line)
    raise RequestError(
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'too many headers',
    )


def _add_header(headers: HTTPMessage, line: bytes) -> None:
    match = _HEADER_LINE.fullmatch(line)
    if match is None:
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'malformed header line')
    name, field_value = match.groups()
    headers.add_header(name.decode('ascii'), field_value.decode('latin-1'))


def _check_framing(headers: HTTPMessage) -> None:
    lengths = headers.get_all('Content-Length', [])
    codings = headers.get_all('Transfer-Encoding', [])
    if len(lengths) + len(codings) > 1:
        raise RequestError(
            http.HTTPStatus.BAD_REQUEST, 'more than one body length'
        )
    if lengths and not _CONTENT_LENGTH.fullmatch(lengths[0]):
        raise RequestError(
            http.HTTPStatus.BAD_REQUEST, 'invalid Content-Length'
        )
    if codings and codings[0].lower() != 'chunked':
        raise RequestError(
            http.HTTPStatus.NOT_IMPLEMENTED, 'unsupported transfer coding'
        )
