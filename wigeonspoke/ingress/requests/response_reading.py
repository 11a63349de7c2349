"""Heads of responses, and what makes a whole response invalid."""

import http

import h11

from wigeonspoke.ingress.protocols import ResponseMarkers
from wigeonspoke.ingress.requests.responses import EndpointResponse


def decode_headers(head: h11.Response) -> tuple[tuple[str, str], ...]:
    """Return the headers of a response as text, in their original case."""
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in head.headers.raw_items()
    )


def is_corrupted(response: EndpointResponse, markers: ResponseMarkers) -> bool:
    """Return whether a response cannot come unmodified from the endpoint.

    Endpoints do not use content encoding, and sign successful responses.
    """
    is_success = response.status < http.HTTPStatus.MULTIPLE_CHOICES
    return markers.has_content_encoding or (
        is_success and not markers.is_signed
    )
