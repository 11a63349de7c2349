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
_LENGTH = re.compile('[0-9]{1,15}')


class HeadError(Exception):
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
        named = self.headers.get('Connection', '').lower()
        if self.version == 'HTTP/1.0':
            return 'keep-alive' not in named
        return 'close' in named


def read_request_head(
    request_line: bytes,
    source: BinaryIO,
    max_bytes: int,
) -> RequestHead:
    """Read the headers that follow a request line, within a size.

    Raises
    ------
    HeadError
        The head is malformed, too large, or tells of its body twice.
    """
    matched = _REQUEST_LINE.fullmatch(request_line)
    if matched is None:
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'request line')
    method, target, version = (
        part.decode('latin-1') for part in matched.groups()
    )
    left = max_bytes - len(request_line)
    headers = _read_headers(source, left)
    _check_framing(headers)
    return RequestHead(method, target, version, headers)


def _read_headers(source: BinaryIO, left: int) -> HTTPMessage:
    headers = HTTPMessage()
    for _ in range(MAX_HEADERS):
        line = source.readline(left + 1)
        left -= len(line)
        if left < 0:
            raise HeadError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                'size of headers',
            )
        if line == b'\r\n':
            return headers
        _add_header(headers, line)
    raise HeadError(
        http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'number of headers',
    )


def _add_header(headers: HTTPMessage, line: bytes) -> None:
    matched = _HEADER_LINE.fullmatch(line)
    if matched is None:
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'header line')
    name, text = matched.groups()
    headers.add_header(name.decode('ascii'), text.decode('latin-1'))


def _check_framing(headers: HTTPMessage) -> None:
    lengths = headers.get_all('Content-Length', [])
    codings = headers.get_all('Transfer-Encoding', [])
    if len(lengths) + len(codings) > 1:
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'two lengths of a body')
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise HeadError(http.HTTPStatus.BAD_REQUEST, 'length of the body')
    if codings and codings[0].lower() != 'chunked':
        raise HeadError(http.HTTPStatus.NOT_IMPLEMENTED, 'transfer coding')
