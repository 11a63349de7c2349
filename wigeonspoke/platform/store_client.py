"""The platform's store: tables that are read whole, followed and written."""

import base64
import http
from functools import partial
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.store import (
    RowPage,
    RowWrite,
    StoreError,
    StoreProblem,
    TableRow,
)
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

CALL_SECONDS = 1.5
MILLISECONDS = 1000
ROWS_A_PAGE = 500

Shape = TypeVar('Shape')


class _WireRow(msgspec.Struct):
    key: str
    ver: int
    table: str = ''
    part: str = ''
    content: str = msgspec.field(default='', name='value')
    tombstone: bool = False


class _WirePage(msgspec.Struct, rename='kebab'):
    ver: int
    now_ms: float = 0
    # Not the rows of a whole page where ``truncated`` is set.
    rows: tuple[_WireRow, ...] = ()
    truncated: bool = False


class PlatformStore:
    """Speaks to the store; satisfies :class:`FeedStore`."""

    __slots__ = ('address', 'client')

    def __init__(self, address: str, client: HttpClient) -> None:
        self.address = address
        self.client = client

    def read_table(self, table: str) -> Result[RowPage, StoreError]:
        """Read all rows of a table, page by page as of one moment each."""
        rows: list[TableRow] = []
        start = ''
        while True:
            asked = {'table': table, 'part': '', 'limit': ROWS_A_PAGE}
            if start:
                asked['from'] = start
            page = self._ask('rows-get', asked, CALL_SECONDS)
            if not isinstance(page, Success):
                return page
            wire = page.unwrap()
            rows.extend(_rows(wire))
            if not wire.truncated or not wire.rows:
                return Success(_page(wire, tuple(rows)))
            # Keys sort by bytes: the next one after a key ends in a zero.
            start = f'{wire.rows[-1].key}\0'

    def follow(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> Result[RowPage, StoreError]:
        """Wait for rows that changed after a version."""
        asked = {
            'table': table,
            'after': after,
            'wait-ms': int(wait_seconds * MILLISECONDS),
        }
        page = self._ask('rows-feed', asked, CALL_SECONDS + wait_seconds)
        return page.map(lambda wire: _page(wire, tuple(_rows(wire))))

    def write_rows(
        self,
        table: str,
        writes: tuple[RowWrite, ...],
    ) -> Result[int, StoreError]:
        """Write all rows or none; give the version of the write."""
        body = msgspec.json.encode(
            {
                'precondition': [
                    {**_place(table, write), 'ver': write.expected}
                    for write in writes
                ],
                'puts': [
                    {**_place(table, write), 'value': _encoded(write)}
                    for write in writes
                ],
                'remove': [],
            },
        )
        reply = self.client.post(
            self.address,
            '/v1/rows-tx',
            body,
            CALL_SECONDS,
        )
        page = _judge('write', reply)
        return page.map(lambda wire: wire.ver)

    def _ask(
        self,
        call: str,
        asked: dict[str, object],
        timeout: float,
    ) -> Result[_WirePage, StoreError]:
        reply = self.client.get(
            self.address,
            f'/v1/{call}?{urlencode(asked)}',
            timeout,
        )
        return _judge(call, reply)


_PROBLEMS = {
    http.HTTPStatus.GONE: StoreProblem.EXPIRED,
    http.HTTPStatus.PRECONDITION_FAILED: StoreProblem.CONFLICT,
    http.HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.UNAVAILABLE,
}


def _judge(
    step: str,
    reply: Result[HttpReply, HttpError],
) -> Result[_WirePage, StoreError]:
    return reply.alt(partial(_lost, step)).bind(partial(_read_reply, step))


def _lost(step: str, error: HttpError) -> StoreError:
    if error.outcome is Outcome.NOT_RUN:
        return StoreError(StoreProblem.UNAVAILABLE, step)
    return StoreError(StoreProblem.UNCERTAIN, step)


def _read_reply(
    step: str,
    reply: HttpReply,
) -> Result[_WirePage, StoreError]:
    if not reply.is_ok:
        problem = _PROBLEMS.get(reply.status, StoreProblem.UNCERTAIN)
        return Failure(StoreError(problem, step))
    try:
        return Success(msgspec.json.decode(reply.body, type=_WirePage))
    except msgspec.MsgspecError:
        return Failure(StoreError(StoreProblem.UNCERTAIN, step))


def _rows(wire: _WirePage) -> list[TableRow]:
    return [
        TableRow(
            key=row.key,
            version=row.ver,
            content=msgspec.Raw(_decoded(row.content)),
            is_removed=row.tombstone,
        )
        for row in wire.rows
        if not row.part
    ]


def _decoded(text: str) -> bytes:
    """Decode a row's bytes; those of another writer may be anything."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b''


def _page(wire: _WirePage, rows: tuple[TableRow, ...]) -> RowPage:
    return RowPage(rows, wire.ver, wire.now_ms / MILLISECONDS)


def _place(table: str, write: RowWrite) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': write.key}


def _encoded(write: RowWrite) -> str:
    return base64.b64encode(write.content).decode()
