"""Relay of store tables between nodes.

The store may refuse some nodes or be unreachable for them while an operator
revokes keys or endpoints leave.  A node that learns of a newer table than its
own fetches it from the peer that reported it.
"""

import http
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from returns.result import Success

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.store import TableRow
from wigeonspoke.transport import HttpClient

TABLES_PATH = '/peers/v1/tables/'
FETCH_TIMEOUT_SECONDS = 0.5
# The store usually sends a change as soon as a peer could; it is fetched from
# the peer only if the store has not sent it after this time.
STORE_GRACE_SECONDS = 0.6


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row with its content as written."""

    key: str
    version: int
    content: bytes


class RelayedTable(msgspec.Struct, frozen=True):
    """A complete table; ``age`` is the seconds since the node read it."""

    version: int
    age: float
    rows: tuple[RelayedRow, ...]


class TableCopy:
    """This node's copy of a table, which peers may read.

    ``version`` is the store version up to which the table was read, and
    ``newest_change`` the version of the newest change in the table.
    """

    __slots__ = ('newest_change', 'read_at', 'rows', 'version')

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version: int | None = None
        self.newest_change = 0
        self.read_at = 0

    @property
    def known_version(self) -> int:
        """Version of the copy, -1 if the table was never read."""
        return -1 if self.version is None else self.version

    def replace(self, rows: Iterable[TableRow], version: int) -> None:
        """Replace the copy by a complete table."""
        self.rows = {row.key: row for row in rows if not row.is_removed}
        self._update_newest_change(self.rows.values())
        self._mark_read(version)

    def apply_changes(
        self,
        rows: Iterable[TableRow],
        version: int,
    ) -> tuple[TableRow, ...]:
        """Apply changes; return those that were not known yet.

        A table adopted from a peer in the meantime may be newer than these
        changes.
        """
        changes = tuple(row for row in rows if row.version > self.known_version)
        for row in changes:
            if row.is_removed:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._update_newest_change(changes)
        if version > self.known_version:
            self._mark_read(version)
        return changes

    def snapshot_after(self, known: int) -> RelayedTable | None:
        """Return the table if it is newer than the version a peer knows."""
        if self.version is None or self.version <= known:
            return None
        return RelayedTable(
            version=self.version,
            age=time.monotonic() - self.read_at,
            rows=tuple(
                RelayedRow(row.key, row.version, bytes(row.content))
                for row in self.rows.values()
            ),
        )

    def _update_newest_change(self, rows: Iterable[TableRow]) -> None:
        for row in rows:
            self.newest_change = max(self.newest_change, row.version)

    def _mark_read(self, version: int) -> None:
        self.version = version
        self.read_at = time.monotonic()


class PeerApp:
    """WSGI application for peers: serves table copies and gossip.

    ``handle_gossip`` takes the body of a gossip request and returns the body
    of the response, or None for status 404.
    """

    __slots__ = ('copies', 'handle_gossip')

    def __init__(
        self,
        copies: dict[str, TableCopy],
        handle_gossip: Callable[[bytes], bytes | None],
    ) -> None:
        self.copies = copies
        self.handle_gossip = handle_gossip

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        """Serve one request of a peer."""
        if environ['REQUEST_METHOD'] == 'POST':
            body = self.handle_gossip(environ['wsgi.input'].read())
        else:
            body = self._table(environ)
        status = http.HTTPStatus.OK
        if body is None:
            status = http.HTTPStatus.NOT_FOUND
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body or b''))),
        ]
        start_response(f'{status.value} {status.phrase}', headers)
        return [body or b'']

    def _table(self, environ: dict[str, Any]) -> bytes | None:
        name = environ['PATH_INFO'].removeprefix(TABLES_PATH)
        known = environ.get('QUERY_STRING', '').removeprefix('after=')
        copy = self.copies.get(name)
        table = copy.snapshot_after(int(known)) if copy else None
        return None if table is None else msgspec.json.encode(table)


class _PeerVersion(msgspec.Struct):
    """The newest known change of a table, its reporter and the time."""

    version: int
    peer: str
    since: float


class PeerVersions:
    """The newest change of each table that a peer has reported."""

    __slots__ = ('newest',)

    def __init__(self) -> None:
        self.newest: dict[str, _PeerVersion] = {}

    def record(self, name: str, version: int, peer: str, now: float) -> None:
        """Record the newest change of a table that a peer has read."""
        known = self.newest.get(name)
        if known is None or version > known.version:
            self.newest[name] = _PeerVersion(version, peer, now)
        elif version == known.version:
            # The latest reporter is the most likely to be reachable.
            known.peer = peer

    def find_newer_peer(
        self, name: str, known: int, heard_before: float
    ) -> str:
        """Return a peer with a newer version than ``known``, empty if none.

        Only changes first reported at or before ``heard_before`` count.
        """
        heard = self.newest.get(name)
        if (
            heard is None
            or heard.version <= known
            or heard.since > heard_before
        ):
            return ''
        return heard.peer


def fetch_table(
    client: HttpClient,
    log: DecisionLog,
    peer: str,
    name: str,
    known: int,
) -> RelayedTable | None:
    """Fetch a table newer than ``known`` from a peer, or return None."""
    result = client.get(
        peer, f'{TABLES_PATH}{name}?after={known}', FETCH_TIMEOUT_SECONDS
    )
    if not isinstance(result, Success) or not result.unwrap().is_ok:
        return None
    try:
        return msgspec.json.decode(result.unwrap().body, type=RelayedTable)
    except msgspec.MsgspecError:
        log.write('peer-unreadable', peer=peer, step='table', table=name)
        return None
