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
ASK_SECONDS = 0.5
# The store tells of a change as soon as a peer can; only what it has not
# told after this long is asked of the peer.
GRACE_SECONDS = 0.6


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
    ``changed`` that of the newest change in the table.
    """

    __slots__ = ('changed', 'read_at', 'rows', 'version')

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version: int | None = None
        self.changed = 0
        self.read_at = 0

    @property
    def known(self) -> int:
        """Give the newest version that was ever known, -1 for none."""
        return -1 if self.version is None else self.version

    def replace(self, rows: Iterable[TableRow], version: int) -> None:
        """Take in a whole table."""
        self.rows = {row.key: row for row in rows if not row.is_removed}
        self._note_changes(self.rows.values())
        self._note(version)

    def change(
        self,
        rows: Iterable[TableRow],
        version: int,
    ) -> tuple[TableRow, ...]:
        """Take in changes; give those that were not known yet.

        What a peer told in the meantime may be newer than the page.
        """
        fresh = tuple(row for row in rows if row.version > self.known)
        for row in fresh:
            if row.is_removed:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._note_changes(fresh)
        if version > self.known:
            self._note(version)
        return fresh

    def relayed(self, known: int) -> RelayedTable | None:
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

    def _note_changes(self, rows: Iterable[TableRow]) -> None:
        for row in rows:
            self.changed = max(self.changed, row.version)

    def _note(self, version: int) -> None:
        self.version = version
        self.read_at = time.monotonic()


class RelayApp:
    """Gives peers the tables that this node has read, and talks to them.

    ``talk`` answers the body of what a peer tells, or gives nothing.
    """

    __slots__ = ('copies', 'talk')

    def __init__(
        self,
        copies: dict[str, TableCopy],
        talk: Callable[[bytes], bytes | None],
    ) -> None:
        self.copies = copies
        self.talk = talk

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        """Answer one peer."""
        if environ['REQUEST_METHOD'] == 'POST':
            body = self.talk(environ['wsgi.input'].read())
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
        table = copy.relayed(int(known)) if copy else None
        return None if table is None else msgspec.json.encode(table)


class _Heard(msgspec.Struct):
    """The newest change that was heard of, from whom, and since when."""

    version: int
    peer: str
    since: float


class TableNews:
    """Which peers have read changes that this node has not."""

    __slots__ = ('heard',)

    def __init__(self) -> None:
        self.heard: dict[str, _Heard] = {}

    def note(self, name: str, version: int, peer: str, now: float) -> None:
        """Take in the newest change of a table that a peer has read."""
        known = self.heard.get(name)
        if known is None or version > known.version:
            self.heard[name] = _Heard(version, peer, now)
        elif version == known.version:
            # Whoever told last is the most likely to be there.
            known.peer = peer

    def ahead(self, name: str, known: int, heard_by: float) -> str:
        """Give the peer that is ahead of a version, empty for none.

        Only what was heard of by a moment counts.
        """
        heard = self.heard.get(name)
        if heard is None or heard.version <= known or heard.since > heard_by:
            return ''
        return heard.peer


def ask_table(
    client: HttpClient,
    log: DecisionLog,
    peer: str,
    name: str,
    known: int,
) -> RelayedTable | None:
    """Ask a peer for a table; give nothing where it has nothing newer."""
    asked = client.get(peer, f'{PATH}{name}?after={known}', ASK_SECONDS)
    if not isinstance(asked, Success) or not asked.unwrap().is_ok:
        return None
    try:
        return msgspec.json.decode(asked.unwrap().body, type=RelayedTable)
    except msgspec.MsgspecError:
        log.write('peer-unreadable', peer=peer, step='table', table=name)
        return None
