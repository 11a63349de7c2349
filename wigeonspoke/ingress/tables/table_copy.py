"""This node's copy of a store table, from which peers may learn changes."""

import time
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.store_version import (
    UNKNOWN_ERA,
    UNREAD,
    StoreVersion,
)
from wigeonspoke.ingress.tables.table_source import Retention
from wigeonspoke.store import TableRow

# Changed rows remembered to tell peers; one that knows less gets the whole
# table.
MAX_CHANGES = 512
NO_CONTENT = msgspec.Raw()


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A row with its content as written, empty if it was removed."""

    key: str
    version: int
    content: bytes
    is_removed: bool = False


class RelayedTable(msgspec.Struct, frozen=True):
    """A table, or its changes since a version that a peer knows.

    ``age`` is the seconds since the node read it.  ``retention`` is what it
    knows of missing entries, and ``era`` that of all versions in it; nodes of
    earlier builds tell neither.
    """

    version: int
    age: float
    rows: tuple[RelayedRow, ...]
    is_complete: bool = True
    retention: Retention | None = None
    era: int = UNKNOWN_ERA

    @property
    def store_version(self) -> StoreVersion:
        """The version of the store that the table has."""
        return StoreVersion(self.era, self.version)


class TableCopy:
    """This node's copy of a table, which peers may read.

    ``version`` is the store version up to which the table was read, and
    ``newest_change`` the version of the newest change in the table.
    ``changes`` holds the version of the last change of each row that changed
    after version ``changes_since``, oldest first.  All versions of rows are of
    the era of ``version``; a copy of another era is replaced as a whole.
    """

    __slots__ = (
        'changes',
        'changes_since',
        'newest_change',
        'read_at',
        'rows',
        'version',
    )

    def __init__(self) -> None:
        self.rows: dict[str, TableRow] = {}
        self.version: StoreVersion | None = None
        self.newest_change = UNREAD
        self.read_at = 0
        self.changes: dict[str, int] = {}
        self.changes_since = 0

    @property
    def known_version(self) -> StoreVersion:
        """Version of the copy, ``UNREAD`` if the table was never read."""
        return UNREAD if self.version is None else self.version

    def replace(self, rows: Iterable[TableRow], version: StoreVersion) -> None:
        """Replace the copy by a complete table."""
        self.rows = {row.key: row for row in rows if not row.is_removed}
        # Rows may have been removed that the complete table cannot name.
        self.changes.clear()
        self.changes_since = version.number
        self._update_newest_change(self.rows.values(), version.era)
        self._mark_read(version)

    def apply_changes(
        self,
        rows: Iterable[TableRow],
        version: StoreVersion,
    ) -> tuple[TableRow, ...]:
        """Apply changes of the copy's era; return those not known yet.

        A table adopted from a peer in the meantime may be newer than these
        changes.
        """
        known = self.known_version
        if version.era != known.era:
            return ()
        changes = tuple(
            row
            for row in rows
            if row.version > known.number and self._is_newer(row)
        )
        for row in changes:
            if row.is_removed:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row
        self._remember(changes)
        self._update_newest_change(changes, version.era)
        if version > known:
            self._mark_read(version)
        return changes

    def snapshot_after(self, known: StoreVersion) -> RelayedTable | None:
        """Return what a peer that knows a version lacks, None if nothing."""
        if self.version is None or self.version <= known:
            return None
        is_complete = (
            known.era != self.version.era or known.number < self.changes_since
        )
        rows = self.rows.values()
        if not is_complete:
            rows = self._changed_after(known.number)
        return RelayedTable(
            version=self.version.number,
            era=self.version.era,
            age=time.monotonic() - self.read_at,
            rows=tuple(map(_encode_row, rows)),
            is_complete=is_complete,
        )

    def _is_newer(self, row: TableRow) -> bool:
        """Return whether a row was written after the one that is known.

        A table of several pages may have rows that are newer than its version.
        """
        known = self.rows.get(row.key)
        return known is None or row.version > known.version

    def _changed_after(self, known: int) -> list[TableRow]:
        """Return each row that changed after a version, as it is now."""
        return [
            self.rows.get(key) or TableRow(key, version, NO_CONTENT, True)
            for key, version in self.changes.items()
            if version > known
        ]

    def _remember(self, changes: tuple[TableRow, ...]) -> None:
        for row in changes:
            self.changes.pop(row.key, None)
            self.changes[row.key] = row.version
        while len(self.changes) > MAX_CHANGES:
            oldest = next(iter(self.changes))
            self.changes_since = self.changes.pop(oldest)

    def _update_newest_change(self, rows: Iterable[TableRow], era: int) -> None:
        newest = max((row.version for row in rows), default=0)
        if newest or era > self.newest_change.era:
            changed = StoreVersion(era, newest)
            self.newest_change = max(self.newest_change, changed)

    def _mark_read(self, version: StoreVersion) -> None:
        self.version = version
        self.read_at = time.monotonic()


def _encode_row(row: TableRow) -> RelayedRow:
    return RelayedRow(row.key, row.version, bytes(row.content), row.is_removed)


def decode_rows(table: RelayedTable) -> tuple[TableRow, ...]:
    """Return the rows of a table that a peer has sent."""
    return tuple(
        TableRow(row.key, row.version, msgspec.Raw(row.content), row.is_removed)
        for row in table.rows
    )
