"""What the router asks of the platform.

Every operation returns a result; an error says whether a write may have
taken effect.
"""

import enum
from typing import Protocol

import msgspec
from returns.result import Result


@enum.unique
class StoreProblem(enum.StrEnum):
    """Why an operation has no result.

    ``UNAVAILABLE``: it had no effect.  ``UNCERTAIN``: it may have had one.
    ``CONFLICT``: the row was not at the version expected.  ``EXPIRED``: the
    history asked for is no longer kept.
    """

    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'
    CONFLICT = 'conflict'
    MISSING = 'missing'
    EXPIRED = 'expired'


class TableRow(msgspec.Struct, frozen=True):
    """A row; its version rises with each write.

    ``is_removed`` marks the row of a feed that is no longer there.
    """

    key: str
    version: int
    content: msgspec.Raw
    is_removed: bool = False


class StoreError(msgspec.Struct, frozen=True):
    """An operation that failed, with the row that stood in its way."""

    problem: StoreProblem
    step: str
    row: TableRow | None = None


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list, which lags behind reality.

    ``address`` is where an entry host listens for its peers, and the IP
    number of any other host, with or without a port.
    """

    name: str
    address: str
    failure_domain: str
    is_entry: bool = False
    leaving: bool = False


class RowPage(msgspec.Struct, frozen=True):
    """Rows as of one version of the store, or changed since another.

    ``store_seconds`` is the store's steady clock.
    """

    rows: tuple[TableRow, ...]
    version: int
    store_seconds: float


class RowWrite(msgspec.Struct, frozen=True):
    """A row to write if its version is still ``expected``, 0 for no row."""

    key: str
    content: bytes
    expected: int


class FeedStore(Protocol):
    """A store whose tables can be read whole and then followed."""

    def read_table(self, table: str) -> Result[RowPage, StoreError]:
        """Read all rows of a table as of one moment."""

    def follow(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> Result[RowPage, StoreError]:
        """Wait for rows that changed after a version."""

    def write_rows(
        self,
        table: str,
        writes: tuple[RowWrite, ...],
    ) -> Result[int, StoreError]:
        """Write all rows or none; give the version of the write."""


class Table(Protocol):
    """The transactional table service."""

    def read(self, table: str, key: str) -> Result[TableRow, StoreError]:
        """Read one row."""

    def read_all(
        self,
        table: str,
    ) -> Result[tuple[TableRow, ...], StoreError]:
        """Read all rows of a small table."""

    def write(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> Result[TableRow, StoreError]:
        """Write a row if its version is ``expected``, 0 for no row."""

    def delete(
        self,
        table: str,
        key: str,
        expected: int,
    ) -> Result[None, StoreError]:
        """Delete a row if its version is ``expected``."""


class ObjectStore(Protocol):
    """The object store."""

    def get_object(self, name: str) -> Result[bytes, StoreError]:
        """Read an object."""

    def put_object(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object; writing the same bytes again is harmless."""


class HostList(Protocol):
    """The list of live and leaving hosts."""

    def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Read the list."""
