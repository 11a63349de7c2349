"""Tables of the store, passed on from node to node.

The fault it answers: the store turns some nodes away, or is cut off from
them, while the operator takes keys away and endpoints leave.  A node that
hears of a newer table than its own asks the peer that told for it.
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

PATH = '/peers/v1/tables/'
FETCH_TIMEOUT_SECONDS = 0.5
# The store tells of a change as soon as a peer can; only what it has not
# told after this long is asked of the peer.
STORE_GRACE_SECONDS = 0.6


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row with the bytes that its writer put into it."""

    key: str
    version: int
    content: bytes


class RelayedTable(msgspec.Struct, frozen=True):
    """A whole table as a node has read it; ``age`` is in seconds."""

    version: int
    age: float
    rows: tuple[RelayedRow, ...]


class TableCopy:
    """The rows of a table as this node has them, for peers to read.

    ``version`` is that of the store up to which the table was read,
    ``newest_change`` that of the newest change in the table.
    """

    __slots__ = ('newest_change', 'read_at', 'rows', 'version')

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version: int | None = None
        self.newest_change = 0
        self.read_at = 0

    @property
    def known_version(self) -> int:
        """Give the newest version that was ever known, -1 for none."""
        return -1 if self.version is None else self.version

    def replace(self, rows: Iterable[TableRow], version: int) -> None:
        """Take in a whole table."""
        self.rows = {row.key: row for row in rows if not row.is_removed}
        self._update_newest_change(self.rows.values())
        self._mark_read(version)

    def apply_changes(
        self,
        rows: Iterable[TableRow],
        version: int,
    ) -> tuple[TableRow, ...]:
        """Take in changes; give those that were not known yet.

        What a peer told in the meantime may be newer than the page.
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
        """Give the table for a peer, if it is newer than what it knows."""
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
    """Gives peers the tables that this node has read, and talks to them.

    ``handle_gossip`` answers the body of what a peer tells, or gives nothing.
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
        """Answer one peer."""
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
        name = environ['PATH_INFO'].removeprefix(PATH)
        known = environ.get('QUERY_STRING', '').removeprefix('after=')
        copy = self.copies.get(name)
        table = copy.snapshot_after(int(known)) if copy else None
        return None if table is None else msgspec.json.encode(table)


class _PeerVersion(msgspec.Struct):
    """The newest change that was heard of, from whom, and since when."""

    version: int
    peer: str
    since: float


class PeerVersions:
    """Which peers have read changes that this node has not."""

    __slots__ = ('newest',)

    def __init__(self) -> None:
        self.newest: dict[str, _PeerVersion] = {}

    def record(self, name: str, version: int, peer: str, now: float) -> None:
        """Take in the newest change of a table that a peer has read."""
        known = self.newest.get(name)
        if known is None or version > known.version:
            self.newest[name] = _PeerVersion(version, peer, now)
        elif version == known.version:
            # Whoever told last is the most likely to be there.
            known.peer = peer

    def find_newer_peer(
        self, name: str, known: int, heard_before: float
    ) -> str:
        """Give the peer that is ahead of a version, empty for none.

        Only what was heard of by a moment counts.
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
    """Ask a peer for a table; give nothing where it has nothing newer."""
    result = client.get(
        peer, f'{PATH}{name}?after={known}', FETCH_TIMEOUT_SECONDS
    )
    if not isinstance(result, Success) or not result.unwrap().is_ok:
        return None
    try:
        return msgspec.json.decode(result.unwrap().body, type=RelayedTable)
    except msgspec.MsgspecError:
        log.write('peer-unreadable', peer=peer, step='table', table=name)
        return None
