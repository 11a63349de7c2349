"""Whole bodies of single attempts, without a node."""

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.requests.body_reading import BodyReader
from wigeonspoke.ingress.requests.endpoint_attempt import EndpointAttempt
from wigeonspoke.ingress.settings import IngressSettings
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.platform.wire_format import PlatformFormat


def read_body(attempt: EndpointAttempt, deadline: float) -> bytes:
    """Read the complete body of a response, up to the size limit."""
    settings = IngressSettings(
        name='node-1',
        failure_domain='one',
        failure_domains=('one',),
        host='127.0.0.1',
        front='127.0.0.1:0',
        ready='127.0.0.1:0',
        peers='127.0.0.1:0',
        seeds=(),
        metrics_port=0,
        store='127.0.0.1:1',
        max_sockets=1024,
        stop_seconds=8.0,
        retry_ratio=0.2,
        retry_extra=400.0,
        retry_window_seconds=10.0,
    )
    state = IngressState(settings, PlatformFormat(), DecisionLog('node-1'))
    return BodyReader(state).read(attempt, deadline)
