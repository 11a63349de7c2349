"""Protocols of the platform's storage services.

Every operation returns a result.  Its error tells whether a write may have
taken effect.
"""

import enum
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Result

from wigeonspoke.core.store_version import StoreVersion


@enum.unique
class StoreProblem(enum.StrEnum):
    """The reason why a store operation failed.

    ``UNAVAILABLE``: the operation had no effect.  ``UNCERTAIN``: it may or
    may not have taken effect.  ``CONFLICT``: the row did not have the expected
    version.  ``MISSING``: the row or object does not exist.  ``EXPIRED``: the
    requested history is no longer stored.
    """

    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'
    CONFLICT = 'conflict'
    MISSING = 'missing'
    EXPIRED = 'expired'


class TableRow(msgspec.Struct, frozen=True):
    """A table row, whose version increases with each write.

    ``is_removed`` marks a deleted row in a change feed.
    """

    key: str
    version: int
    content: msgspec.Raw
    is_removed: bool = False


class StoreError(msgspec.Struct, frozen=True):
    """A failed operation.

    ``step`` names the operation, such as ``read``.  ``row`` is the current row
    after a conflict, if there is one.
    """

    problem: StoreProblem
    step: str
    row: TableRow | None = None


class HostEntry(msgspec.Struct, frozen=True):
    """A host in the platform's list, which may be out of date.

    ``address`` is the address at which an entry host accepts gossip.  For any
    other host, it is the IP address, with or without a port.
    """

    name: str
    address: str
    failure_domain: str
    is_entry: bool = False
    leaving: bool = False


class RowPage(msgspec.Struct, frozen=True):
    """The rows of a table at one version, or those changed since another.

    ``version`` is the store's version at the time of the read, whose era is
    also that of the versions of the rows, and ``store_seconds`` the time of
    the store's monotonic clock.
    """

    rows: tuple[TableRow, ...]
    version: StoreVersion
    store_seconds: float


class RowWrite(msgspec.Struct, frozen=True):
    """A row to write if its version is ``expected``; 0 means no row.

    The row is removed if ``content`` is None.
    """

    key: str
    content: bytes | None
    expected: int


class FeedStore(Protocol):
    """A store with a change feed: tables can be read and then followed.

    ``on_era`` is called with the era of each answer that names one, before the
    call returns.
    """

    on_era: Callable[[int], None]

    def read_table(self, table: str) -> Result[RowPage, StoreError]:
        """Read a consistent snapshot of all rows of a table."""

    def follow(
        self,
        table: str,
        after: StoreVersion,
        wait_seconds: float,
    ) -> Result[RowPage, StoreError]:
        """Return the rows changed after a version; wait if there are none.

        The page continues the version only if it has the same era.
        """

    def write_rows(
        self,
        table: str,
        writes: tuple[RowWrite, ...],
    ) -> Result[int, StoreError]:
        """Write all rows atomically and return the version of the write.

        It is the number within the era of the answer.
        """


class Table(Protocol):
    """A table service with compare-and-set writes."""

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
        """Write a row if its version is ``expected``; 0 means no row."""

    def delete(
        self,
        table: str,
        key: str,
        expected: int,
    ) -> Result[None, StoreError]:
        """Delete a row if its version is ``expected``."""


class ObjectStore(Protocol):
    """A store of named byte strings."""

    def get_object(self, name: str) -> Result[bytes, StoreError]:
        """Read an object."""

    def put_object(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object; repeating the same write is harmless."""


class HostList(Protocol):
    """The platform's list of running and leaving hosts."""

    def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Read the host list."""
