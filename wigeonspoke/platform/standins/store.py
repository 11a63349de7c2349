"""Test double of the platform's store with fault injection."""

import base64
import enum
import http
import time
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import eventlet
import msgspec

from wigeonspoke.platform.standins.raw_server import (
    RawConnection,
    RawRequest,
    RawServer,
)

MILLISECONDS_PER_SECOND = 1000
POLL_SECONDS = 0.01
HANG_SECONDS = 60.0
DELAY_SECONDS = 0.3
MAX_PAGE_ROWS = 500


@enum.unique
class StoreFault(enum.StrEnum):
    """A fault that the store injects.

    ``SLOW`` delays responses.  ``LOST_RESPONSE`` applies a write and then
    resets the connection.  The other faults keep requests from having an
    effect.
    """

    NONE = 'none'
    SLOW = 'slow'
    LOST_RESPONSE = 'lost response'
    UNAVAILABLE = 'unavailable'
    TOO_MANY = 'too many requests'
    RESET = 'reset'
    HANG = 'hang'
    GARBLED = 'garbled'


class StoredRow(msgspec.Struct):
    """A row with its version; a removed row is kept as a feed tombstone."""

    table: str
    key: str
    content: bytes
    version: int
    is_removed: bool = False


class StoreBackup(msgspec.Struct, frozen=True):
    """The rows of the store and its version at one moment."""

    rows: tuple[StoredRow, ...]
    version: int


class StoreStandin:
    """Stores rows in memory and serves the store's HTTP interface.

    Its answers name its ``era``, unless that is 0.

    All rows have the empty ``part``, which the node uses exclusively.  A read
    returns at most ``page_rows`` rows; ``after_page`` is called after each.
    """

    __slots__ = (
        'after_page',
        'era',
        'expired_before',
        'fault',
        'page_rows',
        'requested_paths',
        'requested_tables',
        'rows',
        'server',
        'version',
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.era = 1
        self.expired_before = 0
        self.page_rows = MAX_PAGE_ROWS
        self.after_page: Callable[[], None] | None = None
        self.fault = StoreFault.NONE
        self.requested_paths: list[str] = []
        # The tables that reads and feeds asked for.
        self.requested_tables: list[str] = []
        self.server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """The address on which the store listens."""
        return self.server.address

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row with JSON content, as an operator or a replica does."""
        self._put_row(table, key, msgspec.json.encode(content))

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row with arbitrary content, which need not be valid."""
        self._put_row(table, key, content)

    def remove(self, table: str, key: str) -> None:
        """Remove a row, leaving a tombstone for the feed."""
        row = self.rows[table, key]
        self.version += 1
        row.version = self.version
        row.is_removed = True

    def expire_history(self) -> None:
        """Expire the feed up to the current version.

        A feed from an older version is refused with status 410, so that a
        client must read the whole table again.
        """
        self.expired_before = self.version

    def back_up(self) -> StoreBackup:
        """Return a copy of all rows."""
        rows = tuple(map(msgspec.structs.replace, self.rows.values()))
        return StoreBackup(rows, self.version)

    def come_back_from(self, backup: StoreBackup) -> None:
        """Lose what was written since a backup, and begin another era."""
        self.rows = {
            (row.table, row.key): msgspec.structs.replace(row)
            for row in backup.rows
        }
        self.version = backup.version
        self.era += 1

    def _put_row(self, table: str, key: str, content: bytes) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(table, key, content, self.version)

    def _handle(self, request: RawRequest, connection: RawConnection) -> None:
        parts = urlsplit(request.target)
        query = {
            name: query_values[0]
            for name, query_values in parse_qs(parts.query).items()
        }
        self.requested_paths.append(parts.path)
        self.requested_tables.append(query.get('table', ''))
        if self._inject_fault(connection):
            return
        if parts.path == '/v1/rows-get':
            self._handle_read(query, connection)
        elif parts.path == '/v1/rows-feed':
            self._handle_feed(query, connection)
        else:
            self._handle_write(request, connection)

    def _inject_fault(self, connection: RawConnection) -> bool:
        """Inject the active fault; return whether it ended the request."""
        action = _FAULT_ACTIONS.get(self.fault)
        return action is not None and action(connection)

    def _handle_read(
        self, query: dict[str, str], connection: RawConnection
    ) -> None:
        rows = [
            row
            for row in self._table_rows(query['table'])
            if row.key >= query.get('from', '')
        ]
        page = rows[: self.page_rows]
        self._send_page(connection, page, truncated=len(page) < len(rows))
        if self.after_page is not None:
            self.after_page()

    def _handle_feed(
        self, query: dict[str, str], connection: RawConnection
    ) -> None:
        after = int(query['after'])
        if not self.expired_before <= after <= self.version:
            connection.respond(http.HTTPStatus.GONE, self._headers)
            return
        deadline = (
            time.monotonic() + int(query['wait-ms']) / MILLISECONDS_PER_SECOND
        )
        changed = self._changed_rows(query['table'], after)
        while not changed and time.monotonic() < deadline:
            if connection.is_closed_by_peer() or self._inject_fault(connection):
                return
            eventlet.sleep(POLL_SECONDS)
            changed = self._changed_rows(query['table'], after)
        self._send_page(connection, changed)

    def _changed_rows(self, table: str, after: int) -> list[StoredRow]:
        changed = [
            row
            for row in self.rows.values()
            if row.table == table and row.version > after
        ]
        return sorted(changed, key=_row_version)

    def _table_rows(self, table: str) -> list[StoredRow]:
        listed = [
            row
            for row in self.rows.values()
            if row.table == table and not row.is_removed
        ]
        return sorted(listed, key=_row_key)

    def _handle_write(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        transaction = msgspec.json.decode(request.body)
        for condition in transaction['precondition']:
            table_and_key = (condition['table'], condition['key'])
            row = self.rows.get(table_and_key)
            version = row.version if row and not row.is_removed else 0
            if version != condition['ver']:
                connection.respond(
                    http.HTTPStatus.PRECONDITION_FAILED,
                    self._headers,
                    b'{"rows": []}',
                )
                return
        for put in transaction['puts']:
            content = base64.b64decode(put['value'])
            self._put_row(put['table'], put['key'], content)
        for removed in transaction['remove']:
            self.remove(removed['table'], removed['key'])
        if self.fault is StoreFault.LOST_RESPONSE:
            connection.reset()
            return
        self._send_page(connection, [])

    def _send_page(
        self,
        connection: RawConnection,
        rows: list[StoredRow],
        *,
        truncated: bool = False,
    ) -> None:
        body = {
            'rows': [_encode_row(row) for row in rows],
            'truncated': truncated,
            'ver': self.version,
            'now-ms': time.monotonic() * MILLISECONDS_PER_SECOND,
        }
        content = msgspec.json.encode(body)
        connection.respond(http.HTTPStatus.OK, self._headers, content)

    @property
    def _headers(self) -> dict[str, str]:
        return {'Store-Era': str(self.era)} if self.era else {}


def _delay(_connection: RawConnection) -> bool:
    eventlet.sleep(DELAY_SECONDS)
    return False


def _hang(_connection: RawConnection) -> bool:
    eventlet.sleep(HANG_SECONDS)
    return True


def _reset(connection: RawConnection) -> bool:
    connection.reset()
    return True


def _send_garbage(connection: RawConnection) -> bool:
    connection.respond(http.HTTPStatus.OK, {}, b'{"ver": "no')
    return True


def _reject(status: http.HTTPStatus, connection: RawConnection) -> bool:
    connection.respond(status, {})
    return True


_FAULT_ACTIONS = {
    StoreFault.SLOW: _delay,
    StoreFault.UNAVAILABLE: partial(
        _reject,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
    StoreFault.TOO_MANY: partial(_reject, http.HTTPStatus.TOO_MANY_REQUESTS),
    StoreFault.RESET: _reset,
    StoreFault.HANG: _hang,
    StoreFault.GARBLED: _send_garbage,
}


def _encode_row(row: StoredRow) -> dict[str, Any]:
    return {
        'table': row.table,
        'part': '',
        'key': row.key,
        'value': base64.b64encode(row.content).decode(),
        'ver': row.version,
        'tombstone': row.is_removed,
    }


def _row_version(row: StoredRow) -> int:
    return row.version


def _row_key(row: StoredRow) -> str:
    return row.key
