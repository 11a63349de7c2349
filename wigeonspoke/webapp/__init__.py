"""WSGI applications with JSON messages for operators, callers and peers."""

from wigeonspoke.webapp.json_app import (
    ApiError,
    HttpApp,
    JsonReply,
    authenticate,
    bearer_key,
    key_digest,
    read_body,
    read_json,
)

__all__ = (
    'ApiError',
    'HttpApp',
    'JsonReply',
    'authenticate',
    'bearer_key',
    'key_digest',
    'read_body',
    'read_json',
)
