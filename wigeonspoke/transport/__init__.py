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
from wigeonspoke.transport.request_body import read_request_body
from wigeonspoke.transport.request_head import HeadError

__all__ = (
    'ApiError',
    'HeadError',
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
    'read_request_body',
)
