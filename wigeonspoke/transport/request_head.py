"""Strict reading of a request's head.

Whatever two programs could read differently is refused: a head that one
takes for the end of a body and another for the start of a request lets one
request hide in another.
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
    """A head that is not answered further; ``status`` says why."""

    def __init__(self, status: http.HTTPStatus, problem: str) -> None:
        super().__init__(problem)
        self.status = status
        self.problem = problem


class RequestHead(msgspec.Struct, frozen=True):
    """The request line and the headers of a request."""

    method: str
    target: str
    version: str
    headers: HTTPMessage

    @property
    def wants_close(self) -> bool:
        """Tell whether the client ends the connection after the answer."""
        connection = self.headers.get('Connection', '').lower()
        if self.version == 'HTTP/1.0':
            return 'keep-alive' not in connection
        return 'close' in connection


def read_request_head(
    request_line: bytes,
    source: BinaryIO,
    max_bytes: int,
) -> RequestHead:
    """Read the headers that follow a request line, within a size.

    Raises
    ------
    RequestError
        The head is malformed, too large, or tells of its body twice.
    """
    match = _REQUEST_LINE.fullmatch(request_line)
    if match is None:
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'request line')
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
                'size of headers',
            )
        if line == b'\r\n':
            return headers
        _add_header(headers, line)
    raise RequestError(
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'number of headers',
    )


def _add_header(headers: HTTPMessage, line: bytes) -> None:
    match = _HEADER_LINE.fullmatch(line)
    if match is None:
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'header line')
    name, field_value = match.groups()
    headers.add_header(name.decode('ascii'), field_value.decode('latin-1'))


def _check_framing(headers: HTTPMessage) -> None:
    lengths = headers.get_all('Content-Length', [])
    codings = headers.get_all('Transfer-Encoding', [])
    if len(lengths) + len(codings) > 1:
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'two lengths of a body')
    if lengths and not _CONTENT_LENGTH.fullmatch(lengths[0]):
        raise RequestError(http.HTTPStatus.BAD_REQUEST, 'length of the body')
    if codings and codings[0].lower() != 'chunked':
        raise RequestError(http.HTTPStatus.NOT_IMPLEMENTED, 'transfer coding')
