"""Reading of whole responses, and what makes one invalid."""

import http
from collections.abc import Callable
from functools import partial

import h11

from wigeonspoke.ingress.protocols import ResponseMarkers
from wigeonspoke.ingress.requests.endpoint_attempt import (
    AttemptError,
    EndpointAttempt,
)
from wigeonspoke.ingress.requests.request_handler import invalid_response_error
from wigeonspoke.ingress.requests.responses import EndpointResponse
from wigeonspoke.transport import BodyEnd

MAX_BODY_BYTES = 16777216


def decode_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers of a response as text, in their original case."""
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in head.headers.raw_items()
    )


def read_body(attempt: EndpointAttempt, deadline: float) -> bytes:
    """Read the complete body of a response, up to the size limit."""
    return collect_body(partial(attempt.read_body_part, deadline), attempt.peer)


def collect_body(read_part: Callable[[], bytes | BodyEnd], peer: str) -> bytes:
    """Join the parts of a body, up to the size limit."""
    parts: list[bytes] = []
    size = 0
    while True:
        part = read_part()
        if isinstance(part, BodyEnd):
            return b''.join(parts)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise AttemptError(invalid_response_error(peer))
        parts.append(part)


def is_corrupted(response: EndpointResponse, markers: ResponseMarkers) -> bool:
    """Return whether a response cannot come unmodified from the endpoint.

    Endpoints do not use content encoding, and sign successful responses.
    """
    is_success = response.status < http.HTTPStatus.MULTIPLE_CHOICES
    return markers.has_content_encoding or (
        is_success and not markers.is_signed
    )
