"""Whole bodies of single attempts, without a node."""

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.requests.body_reading import BodyReader
from wigeonspoke.ingress.requests.endpoint_attempt import EndpointAttempt
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.platform.tests.harness import make_settings
from wigeonspoke.platform.wire_format import PlatformFormat

NO_STORE = '127.0.0.1:1'


def read_body(attempt: EndpointAttempt, deadline: float) -> bytes:
    """Read the complete body of a response, up to the size limit."""
    settings = make_settings(NO_STORE)
    state = IngressState(settings, PlatformFormat(), DecisionLog(settings.name))
    return BodyReader(state).read(attempt, deadline)
