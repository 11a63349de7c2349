"""Answers to clients: those of endpoints, and the node's own."""

import http
from collections.abc import Callable
from typing import Any

import msgspec

from wigeonspoke.ingress.protocols import HeaderList

HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    ),
)


class EndpointResponse(msgspec.Struct, frozen=True):
    """A whole answer of an endpoint."""

    status: int
    headers: HeaderList
    body: bytes


class NodeResponse(msgspec.Struct, frozen=True):
    """An answer of the node itself.

    ``retry_after`` is in seconds and only given where the request has not
    run and will not.
    """

    status: http.HTTPStatus
    reason: str
    retry_after: float | None = None

    @property
    def headers(self) -> HeaderList:
        """Give the headers of the answer."""
        headers = [('Content-Type', 'application/json')]
        if self.retry_after is not None:
            headers.append(('Retry-After', f'{self.retry_after:.2f}'))
        return tuple(headers)

    @property
    def body(self) -> bytes:
        """Give the body of the answer."""
        return msgspec.json.encode({'error': {'code': self.reason}})


class ResponseAborted(Exception):
    """An answer that has begun cannot be ended; the connection is broken."""


def status_line(status: int) -> str:
    """Give a status with its phrase, for the server."""
    try:
        return f'{status} {http.HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unknown'


def end_to_end_headers(headers: HeaderList) -> list[tuple[str, str]]:
    """Give the headers of an endpoint's answer that clients get."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


def begin_response(
    response: EndpointResponse | NodeResponse,
    node_response_headers: HeaderList,
    start_response: Callable[..., Any],
) -> bytes:
    """Hand the head of a whole answer to the server; give its body.

    ``node_response_headers`` go with an answer of the node itself.
    """
    headers = end_to_end_headers(response.headers)
    headers.append(('Content-Length', str(len(response.body))))
    if isinstance(response, NodeResponse):
        headers.extend(node_response_headers)
    start_response(status_line(response.status), headers)
    return response.body
