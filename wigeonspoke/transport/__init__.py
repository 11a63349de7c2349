"""HTTP on eventlet: listeners with limits, and a client with outcomes."""

from wigeonspoke.transport.http_app import (
    ApiError,
    HttpApp,
    JsonReply,
    authorise,
    read_json,
)
from wigeonspoke.transport.http_client import (
    HttpClient,
    HttpError,
    HttpReply,
    read_lines,
)
from wigeonspoke.transport.http_server import HttpListener, ListenerLimits

__all__ = (
    'ApiError',
    'HttpApp',
    'HttpClient',
    'HttpError',
    'HttpListener',
    'HttpReply',
    'JsonReply',
    'ListenerLimits',
    'authorise',
    'read_json',
    'read_lines',
)
