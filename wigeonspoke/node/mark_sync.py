"""Keeps endpoint marks the same in the store and at this node.

A mark is put in force at this node first and reaches the others by gossip,
so it works while the store is down; the store gets it when it is back.
"""

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.events import MarksReceived
from wigeonspoke.core.membership import EndpointMark, MarkState
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.store import Table, TableRow

MARKS_TABLE = 'marks'
POLL_SECONDS = 0.5


class MarkSync:
    """Reads marks from the store and writes newer ones back."""

    __slots__ = ('runtime', 'table')

    def __init__(self, runtime: Runtime, table: Table) -> None:
        self.runtime = runtime
        self.table = table

    @property
    def marks(self) -> dict[str, EndpointMark]:
        """Give the newest mark known of each endpoint."""
        return self.runtime.view.marks.marks

    def set_mark(
        self,
        endpoint: str,
        state: MarkState,
        seen: int,
    ) -> EndpointMark | None:
        """Put a mark in force here, if version ``seen`` is still the last.

        Gives ``None`` when another operator's mark came in between.
        """
        current = self.marks.get(endpoint)
        version = current.version if current else 0
        if version != seen:
            return None
        new_mark = EndpointMark(endpoint, state, version + 1)
        self.runtime.dispatch(MarksReceived((new_mark,)))
        eventlet.spawn(self.sync_once)
        return new_mark

    def sync_forever(self) -> None:
        """Compare with the store again and again."""
        while True:
            self.sync_once()
            eventlet.sleep(POLL_SECONDS)

    def sync_once(self) -> None:
        """Take in the store's marks and write back what is newer here."""
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
    try:
        return msgspec.json.decode(row.content, type=EndpointMark)
    except msgspec.MsgspecError:
        return None
