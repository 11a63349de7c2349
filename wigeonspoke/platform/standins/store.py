"""A stand-in for the platform's store: rows, feeds, transactions, faults."""

import base64
import enum
import http
import time
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import eventlet
import msgspec

from wigeonspoke.platform.standins.raw_server import (
    RawRequest,
    RawServer,
    Wire,
)

MILLISECONDS = 1000
STEP_SECONDS = 0.01
SILENCE_SECONDS = 60.0
SLOW_SECONDS = 0.3


@enum.unique
class StoreFault(enum.StrEnum):
    """What the store does instead of answering."""

    NONE = 'none'
    SLOW = 'slow'
    LOST_ANSWER = 'lost answer'
    UNAVAILABLE = 'unavailable'
    TOO_MANY = 'too many'
    RESET = 'reset'
    SILENT = 'silent'
    GARBLED = 'garbled'


class StoredRow(msgspec.Struct):
    """A row with its version; a removed one stays for the feed."""

    table: str
    key: str
    content: bytes
    version: int
    is_removed: bool = False


class StoreStandin:
    """Keeps rows of part '' and speaks the store's calls over loopback."""

    __slots__ = (
        'calls',
        'dropped_before',
        'fault',
        'rows',
        'server',
        'version',
    )

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.dropped_before = 0
        self.fault = StoreFault.NONE
        self.calls: list[str] = []
        self.server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """Give where the store listens."""
        return self.server.address

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a replica would."""
        self._store(table, key, msgspec.json.encode(content))

    def put_bytes(self, table: str, key: str, content: bytes) -> None:
        """Write a row that may hold anything."""
        self._store(table, key, content)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        row = self.rows[table, key]
        self.version += 1
        row.version = self.version
        row.is_removed = True

    def drop_history(self) -> None:
        """Forget what changed, as far as it is not in the rows."""
        self.dropped_before = self.version

    def _store(self, table: str, key: str, content: bytes) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(table, key, content, self.version)

    def _handle(self, request: RawRequest, wire: Wire) -> None:
        parts = urlsplit(request.target)
        asked = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        self.calls.append(parts.path)
        if self._misbehave(wire):
            return
        if parts.path == '/v1/rows-get':
            self._answer(wire, self._table(asked['table']))
        elif parts.path == '/v1/rows-feed':
            self._feed(asked, wire)
        else:
            self._write(request, wire)

    def _misbehave(self, wire: Wire) -> bool:
        """Do what the fault asks for; tell whether that was all."""
        act = _MISBEHAVIOUR.get(self.fault)
        return act is not None and act(wire)

    def _feed(self, asked: dict[str, str], wire: Wire) -> None:
        after = int(asked['after'])
        if after < self.dropped_before:
            wire.answer(http.HTTPStatus.GONE, {})
            return
        until = time.monotonic() + int(asked['wait-ms']) / MILLISECONDS
        changed = self._changed(asked['table'], after)
        while not changed and time.monotonic() < until:
            if wire.has_left():
                return
            eventlet.sleep(STEP_SECONDS)
            changed = self._changed(asked['table'], after)
        self._answer(wire, changed)

    def _changed(self, table: str, after: int) -> list[StoredRow]:
        changed = [
            row
            for row in self.rows.values()
            if row.table == table and row.version > after
        ]
        return sorted(changed, key=_version)

    def _table(self, table: str) -> list[StoredRow]:
        listed = [
            row
            for row in self.rows.values()
            if row.table == table and not row.is_removed
        ]
        return sorted(listed, key=_key)

    def _write(self, request: RawRequest, wire: Wire) -> None:
        asked = msgspec.json.decode(request.body)
        for condition in asked['precondition']:
            place = (condition['table'], condition['key'])
            row = self.rows.get(place)
            version = row.version if row and not row.is_removed else 0
            if version != condition['ver']:
                wire.answer(
                    http.HTTPStatus.PRECONDITION_FAILED,
                    {},
                    b'{"rows": []}',
                )
                return
        for put in asked['puts']:
            content = base64.b64decode(put['value'])
            self._store(put['table'], put['key'], content)
        if self.fault is StoreFault.LOST_ANSWER:
            wire.reset()
            return
        self._answer(wire, [])

    def _answer(self, wire: Wire, rows: list[StoredRow]) -> None:
        body = {
            'rows': [_encode(row) for row in rows],
            'truncated': False,
            'ver': self.version,
            'now-ms': time.monotonic() * MILLISECONDS,
        }
        wire.answer(http.HTTPStatus.OK, {}, msgspec.json.encode(body))


def _be_slow(_wire: Wire) -> bool:
    eventlet.sleep(SLOW_SECONDS)
    return False


def _be_silent(_wire: Wire) -> bool:
    eventlet.sleep(SILENCE_SECONDS)
    return True


def _reset(wire: Wire) -> bool:
    wire.reset()
    return True


def _garble(wire: Wire) -> bool:
    wire.answer(http.HTTPStatus.OK, {}, b'{"ver": "no')
    return True


def _refuse(status: http.HTTPStatus, wire: Wire) -> bool:
    wire.answer(status, {})
    return True


_MISBEHAVIOUR = {
    StoreFault.SLOW: _be_slow,
    StoreFault.UNAVAILABLE: partial(
        _refuse,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
    StoreFault.TOO_MANY: partial(_refuse, http.HTTPStatus.TOO_MANY_REQUESTS),
    StoreFault.RESET: _reset,
    StoreFault.SILENT: _be_silent,
    StoreFault.GARBLED: _garble,
}


def _encode(row: StoredRow) -> dict[str, Any]:
    return {
        'table': row.table,
        'part': '',
        'key': row.key,
        'value': base64.b64encode(row.content).decode(),
        'ver': row.version,
        'tombstone': row.is_removed,
    }


def _version(row: StoredRow) -> int:
    return row.version


def _key(row: StoredRow) -> str:
    return row.key
