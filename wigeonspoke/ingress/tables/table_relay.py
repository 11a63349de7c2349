"""Relay of store tables between nodes.

The store may refuse some nodes or be unreachable for them while an operator
revokes keys or endpoints leave.  A node that learns of a newer table than its
own fetches it from the peer that reported it.
"""

import http
import math
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qsl

import msgspec
from returns.result import Success

from wigeonspoke.core.store_version import UNREAD, StoreVersion
from wigeonspoke.decisions import DecisionLog
from wigeonspoke.ingress.peers.connection_witness import CONNECT_PATH
from wigeonspoke.ingress.peers.peer_gossip import GOSSIP_PATH
from wigeonspoke.ingress.relay.relay_head import RELAY_PATH
from wigeonspoke.ingress.tables.table_copy import RelayedTable, TableCopy
from wigeonspoke.ingress.wake_up import WakeUp
from wigeonspoke.serialization import decode_json
from wigeonspoke.transport import HttpClient, RequestError, read_request_body

TABLES_PATH = '/peers/v1/tables/'
FETCH_TIMEOUT_SECONDS = 0.5
# Many times the largest message, which tells of each node and lease.
MAX_MESSAGE_BYTES = 4194304
CHANGES_PATH = '/peers/v1/changes/'
MAX_WAIT_SECONDS = 10
# The store usually sends a change as soon as a peer could; it is fetched from
# the peer only if the store has not sent it after this time.
STORE_GRACE_SECONDS = 0.6


Reply = TypeVar('Reply')


class FollowedTable(Protocol):
    """A table that this node follows."""

    copy: TableCopy
    news: WakeUp
    asked_at: float
    reads_store: bool
    seconds_since_outage: float

    def complete_version(self, version: StoreVersion) -> StoreVersion:
        """Return a version that a peer told, with an era if it named none."""

    def snapshot_after(self, known: StoreVersion) -> RelayedTable | None:
        """Return what a peer that knows a version lacks, None if nothing."""


class WatcherAnswer(msgspec.Struct, frozen=True):
    """A watcher's answer to a node that follows a table through it.

    ``reads_store`` is whether it still reads the table from the store itself.
    ``seconds_since_outage`` tells how far back the store was away, None if it
    never was.  ``table`` is None if there was no change.
    """

    reads_store: bool
    seconds_since_outage: float | None
    table: RelayedTable | None


class PeerApp:
    """WSGI application for peers: tables, gossip and relayed requests.

    ``handle_gossip`` takes the body of a gossip request and returns the body
    of the response, or None for status 404, and so does ``handle_question``
    with that of a question about an endpoint.  ``serve_relayed`` is the
    application for the requests of clients that a peer sends on.
    """

    __slots__ = ('handlers', 'serve_relayed', 'tables')

    def __init__(
        self,
        tables: Mapping[str, FollowedTable],
        handle_gossip: Callable[[bytes], bytes | None],
        serve_relayed: Callable[..., Iterable[bytes]],
        handle_question: Callable[[bytes], bytes | None],
    ) -> None:
        self.tables = tables
        self.serve_relayed = serve_relayed
        self.handlers = {
            GOSSIP_PATH: handle_gossip,
            CONNECT_PATH: handle_question,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Serve one request of a peer."""
        if environ['PATH_INFO'] == RELAY_PATH:
            return self.serve_relayed(environ, start_response)
        status = http.HTTPStatus.OK
        try:
            body = self._respond(environ)
        except RequestError as error:
            status, body = error.status, b''
        if body is None:
            status = http.HTTPStatus.NOT_FOUND
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body or b''))),
        ]
        start_response(f'{status.value} {status.phrase}', headers)
        return [body or b'']

    def _respond(self, environ: dict[str, Any]) -> bytes | None:
        path = environ['PATH_INFO']
        if environ['REQUEST_METHOD'] == 'POST':
            handle = self.handlers.get(path)
            if handle is None:
                return None
            return handle(read_request_body(environ, MAX_MESSAGE_BYTES))
        query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
        table = self.tables.get(path.rpartition('/')[-1])
        if table is None:
            return None
        known = table.complete_version(
            StoreVersion(
                _parse_number(query.get('era', ''), UNREAD.era),
                _parse_number(query.get('after', ''), UNREAD.number),
            )
        )
        if path.startswith(CHANGES_PATH):
            wait_seconds = _parse_number(query.get('wait', ''), 0)
            return self._wait_for_changes(table, known, wait_seconds)
        snapshot = table.snapshot_after(known)
        return None if snapshot is None else msgspec.json.encode(snapshot)

    def _wait_for_changes(
        self, table: FollowedTable, known: StoreVersion, wait_seconds: int
    ) -> bytes:
        """Answer once there is a change, or after the time."""
        table.asked_at = time.monotonic()
        if table.copy.known_version <= known and table.reads_store:
            table.news.wait(min(MAX_WAIT_SECONDS, wait_seconds))
        outage_age = table.seconds_since_outage
        answer = WatcherAnswer(
            table.reads_store,
            None if outage_age == math.inf else round(outage_age, 3),
            table.snapshot_after(known),
        )
        return msgspec.json.encode(answer)


def fetch_table(
    client: HttpClient,
    log: DecisionLog,
    peer: str,
    name: str,
    known: StoreVersion,
) -> RelayedTable | None:
    """Fetch a table newer than ``known`` from a peer, or return None."""
    path = f'{TABLES_PATH}{name}?after={known.number}&era={known.era}'
    body = _fetch(client, peer, path, FETCH_TIMEOUT_SECONDS)
    return _decode(body, RelayedTable, log, peer, name)


def fetch_changes(
    client: HttpClient,
    log: DecisionLog,
    watcher: str,
    name: str,
    known: StoreVersion,
    wait_seconds: int,
) -> WatcherAnswer | None:
    """Wait for changes of a table at a watcher; None if it did not answer."""
    query = f'after={known.number}&era={known.era}&wait={wait_seconds}'
    path = f'{CHANGES_PATH}{name}?{query}'
    timeout = wait_seconds + FETCH_TIMEOUT_SECONDS
    body = _fetch(client, watcher, path, timeout)
    return _decode(body, WatcherAnswer, log, watcher, name)


def _fetch(
    client: HttpClient, peer: str, path: str, timeout: float
) -> bytes | None:
    result = client.get(peer, path, timeout)
    if not isinstance(result, Success) or not result.unwrap().is_ok:
        return None
    return result.unwrap().body


def _decode(
    body: bytes | None,
    kind: type[Reply],
    log: DecisionLog,
    peer: str,
    table: str,
) -> Reply | None:
    if body is None:
        return None
    decoded = decode_json(body, kind)
    if not isinstance(decoded, Success):
        log.write(
            'peer-unreadable',
            peer=peer,
            step='table',
            table=table,
            problem=decoded.failure(),
        )
    return decoded.value_or(None)


def _parse_number(text: str, otherwise: int) -> int:
    try:
        return int(text)
    except ValueError:
        return otherwise
