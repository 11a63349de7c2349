"""Client of a node's administration interface, used by the commands."""

import sys
from collections.abc import Callable
from functools import wraps
from typing import Any

import click
import msgspec
from returns.result import Success

from wigeonspoke.transport import HttpClient

TIMEOUT_SECONDS = 15.0
EXIT_NO_REPLY = 3
EXIT_REFUSED = 4


class AdminClient:
    """Sends requests to one node's administration interface."""

    __slots__ = ('client', 'node')

    def __init__(self, node: str, key: str) -> None:
        self.node = node
        self.client = HttpClient({'Authorization': f'Bearer {key}'})

    def request(
        self,
        method: str,
        path: str,
        body: object = None,
        reply_type: type = object,
    ) -> Any:
        """Send a message and return the reply; exit on failure."""
        payload = None if body is None else msgspec.json.encode(body)
        return self.request_raw(method, path, payload, reply_type)

    def try_get(self, path: str, reply_type: type) -> Any:
        """Return the reply, or print a warning and return None."""
        reply = self.client.get(self.node, f'/admin/v1{path}', TIMEOUT_SECONDS)
        if isinstance(reply, Success) and reply.unwrap().is_ok:
            return msgspec.json.decode(reply.unwrap().body, type=reply_type)
        click.echo(f'{self.node}: no reply, skipped', err=True)
        return None

    def request_raw(
        self,
        method: str,
        path: str,
        body: bytes | None,
        reply_type: type,
    ) -> Any:
        """Send an encoded body and return the reply; exit on failure."""
        reply = self.client.send(
            self.node,
            method,
            f'/admin/v1{path}',
            body,
            TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success):
            error = reply.failure()
            _exit(EXIT_NO_REPLY, f'{self.node}: {error.reason.value}')
        response = reply.unwrap()
        if not response.is_ok:
            _exit(EXIT_REFUSED, f'{self.node}: {_error_message(response.body)}')
        return msgspec.json.decode(response.body, type=reply_type)


def admin_options(command: Callable) -> Callable:
    """Add the options for the administration interface to a command."""

    @click.option(
        '--admin',
        required=True,
        envvar='WIGEONSPOKE_ADMIN',
        help="HOST:PORT of a node's administration interface.",
    )
    @click.option(
        '--admin-key',
        required=True,
        envvar='WIGEONSPOKE_ADMIN_KEY',
        help='Key for the administration interface.',
    )
    @wraps(command)
    def run_with_client(admin: str, admin_key: str, **options: Any) -> None:
        command(client=AdminClient(admin, admin_key), **options)

    return run_with_client


def _error_message(body: bytes) -> str:
    try:
        decoded = msgspec.json.decode(body, type=dict[str, dict[str, Any]])
    except msgspec.MsgspecError:
        return body.decode(errors='replace')
    return str(decoded.get('error', {}).get('message', decoded))


def _exit(code: int, text: str) -> None:
    click.echo(text, err=True)
    sys.exit(code)
