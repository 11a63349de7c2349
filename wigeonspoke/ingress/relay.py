"""Tables of the store, passed on from node to node.

The fault it answers: the store turns some nodes away, or is cut off from
them, while the operator takes keys away and endpoints leave.  A node that
cannot reach the store asks a peer for what that one has read last.
"""

import http
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from returns.result import Success

from wigeonspoke.ingress.state import IngressState
from wigeonspoke.store import TableRow
from wigeonspoke.transport import HttpClient

PATH = '/peers/v1/tables/'
ASK_SECONDS = 0.5


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
    """The rows of a table as this node has them, for peers to read."""

    __slots__ = ('read_at', 'rows', 'version')

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version: int | None = None
        self.read_at = 0

    def replace(self, rows: Iterable[TableRow], version: int) -> None:
        """Take in a whole table."""
        self.rows = {row.key: row for row in rows if not row.is_removed}
        self._note(version)

    def change(self, rows: Iterable[TableRow], version: int) -> None:
        """Take in what changed since the version before."""
        for row in rows:
            if row.is_removed:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._note(version)

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

    def _note(self, version: int) -> None:
        self.version = version
        self.read_at = time.monotonic()


class RelayApp:
    """Gives peers the tables that this node has read."""

    __slots__ = ('copies',)

    def __init__(self, copies: dict[str, TableCopy]) -> None:
        self.copies = copies

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> list[bytes]:
        """Answer one peer."""
        name = environ['PATH_INFO'].removeprefix(PATH)
        known = environ.get('QUERY_STRING', '').removeprefix('after=')
        copy = self.copies.get(name)
        table = copy.relayed(int(known)) if copy else None
        status = http.HTTPStatus.OK
        if table is None:
            status = http.HTTPStatus.NOT_FOUND
        headers = [('Content-Type', 'application/json')]
        start_response(f'{status.value} {status.phrase}', headers)
        return [msgspec.json.encode(table)]


class PeerTables:
    """Asks peers, one a time and in turn, for a table."""

    __slots__ = ('client', 'state', 'turn')

    def __init__(self, state: IngressState, client: HttpClient) -> None:
        self.state = state
        self.client = client
        self.turn = 0

    def ask(self, name: str, known: int) -> RelayedTable | None:
        """Ask the next peer; give nothing where it has nothing newer."""
        peers = sorted(self.state.peers - {self.state.settings.peers})
        if not peers:
            return None
        self.turn += 1
        peer = peers[self.turn % len(peers)]
        path = f'{PATH}{name}?after={known}'
        asked = self.client.get(peer, path, ASK_SECONDS)
        if not isinstance(asked, Success) or not asked.unwrap().is_ok:
            return None
        try:
            return msgspec.json.decode(asked.unwrap().body, type=RelayedTable)
        except msgspec.MsgspecError:
            self.state.log.write('peer-unreadable', peer=peer, table=name)
            return None
