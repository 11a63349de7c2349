"""Asks a node's administration interface on behalf of commands."""

import sys
from collections.abc import Callable
from functools import wraps
from typing import Any

import click
import msgspec
from returns.result import Success

from wigeonspoke.transport import HttpClient

ADMIN_SECONDS = 15.0
NO_ANSWER = 3
REFUSED = 4


class AdminClient:
    """One node's administration interface."""

    __slots__ = ('client', 'node')

    def __init__(self, node: str, key: str) -> None:
        self.node = node
        self.client = HttpClient({'Authorization': f'Bearer {key}'})

    def ask(
        self,
        method: str,
        path: str,
        body: object = None,
        kind: type = object,
    ) -> Any:
        """Ask for a message; end the program with a clear word if not."""
        sent = None if body is None else msgspec.json.encode(body)
        return self.ask_raw(method, path, sent, kind)

    def try_to_ask(self, path: str, kind: type) -> Any:
        """Ask for a message; say so and give ``None`` if there is no answer."""
        reply = self.client.get(self.node, f'/admin/v1{path}', ADMIN_SECONDS)
        if isinstance(reply, Success) and reply.unwrap().is_ok:
            return msgspec.json.decode(reply.unwrap().body, type=kind)
        click.echo(f'{self.node}: no answer, left out', err=True)
        return None

    def ask_raw(
        self,
        method: str,
        path: str,
        body: bytes | None,
        kind: type,
    ) -> Any:
        """Ask with a body that is sent as it is."""
        reply = self.client.send(
            self.node,
            method,
            f'/admin/v1{path}',
            body,
            ADMIN_SECONDS,
        )
        if not isinstance(reply, Success):
            error = reply.failure()
            _end(NO_ANSWER, f'{self.node}: {error.reason.value}')
        whole = reply.unwrap()
        if not whole.is_ok:
            _end(REFUSED, f'{self.node}: {_message(whole.body)}')
        return msgspec.json.decode(whole.body, type=kind)


def admin_options(command: Callable) -> Callable:
    """Add the options that name a node's administration interface."""

    @click.option(
        '--admin',
        required=True,
        envvar='WIGEONSPOKE_ADMIN',
        help='HOST:PORT of a node for operators.',
    )
    @click.option(
        '--admin-key',
        required=True,
        envvar='WIGEONSPOKE_ADMIN_KEY',
        help='Key of the operators.',
    )
    @wraps(command)
    def with_client(admin: str, admin_key: str, **rest: Any) -> None:
        command(client=AdminClient(admin, admin_key), **rest)

    return with_client


def _message(body: bytes) -> str:
    try:
        found = msgspec.json.decode(body, type=dict[str, dict[str, Any]])
    except msgspec.MsgspecError:
        return body.decode(errors='replace')
    return str(found.get('error', {}).get('message', found))


def _end(code: int, text: str) -> None:
    click.echo(text, err=True)
    sys.exit(code)
