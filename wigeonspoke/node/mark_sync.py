"""Synchronizes endpoint marks between the store and this node.

A new mark is applied at this node first and spreads to the others by gossip,
so that operators can set marks while the store is unavailable.  The store is
updated as soon as it is available again.
"""

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.events import MarksReceived
from wigeonspoke.core.membership import EndpointMark, MarkState
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import Table, TableRow

MARKS_TABLE = 'marks'
POLL_SECONDS = 0.5


class MarkSync:
    """Merges marks from the store and writes newer ones back."""

    __slots__ = ('runtime', 'table')

    def __init__(self, runtime: Runtime, table: Table) -> None:
        self.runtime = runtime
        self.table = table

    @property
    def marks(self) -> dict[str, EndpointMark]:
        """The newest known mark of each endpoint."""
        return self.runtime.view.marks.marks

    def set_mark(
        self,
        endpoint: str,
        state: MarkState,
        expected_version: int,
    ) -> EndpointMark | None:
        """Set a mark at this node if it has version ``expected_version``.

        Returns ``None`` if the mark has changed since that version.
        """
        current = self.marks.get(endpoint)
        version = current.version if current else 0
        if version != expected_version:
            return None
        new_mark = EndpointMark(endpoint, state, version + 1)
        self.runtime.dispatch(MarksReceived((new_mark,)))
        eventlet.spawn(self.sync_once)
        return new_mark

    def sync_forever(self) -> None:
        """Synchronize with the store at a fixed interval."""
        while True:
            self.sync_once()
            eventlet.sleep(POLL_SECONDS)

    def sync_once(self) -> None:
        """Merge the store's marks and write back those that are newer here."""
        read = self.table.read_all(MARKS_TABLE)
        if not isinstance(read, Success):
            return
        rows = {row.key: row for row in read.unwrap()}
        stored = {key: _decode(row) for key, row in rows.items()}
        stored_marks = tuple(mark for mark in stored.values() if mark)
        self.runtime.dispatch(MarksReceived(stored_marks))
        for endpoint, mark in tuple(self.marks.items()):
            if stored.get(endpoint) != mark:
                row = rows.get(endpoint)
                self._write(mark, row.version if row else 0)

    def _write(self, mark: EndpointMark, expected: int) -> None:
        content = msgspec.json.encode(mark)
        self.table.write(MARKS_TABLE, mark.endpoint, content, expected)


def _decode(row: TableRow) -> EndpointMark | None:
    return decode_json(row.content, EndpointMark).value_or(None)
