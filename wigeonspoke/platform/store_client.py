"""HTTP client of the platform's store."""

import base64
import http
from collections.abc import Callable
from functools import partial
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.store_version import UNKNOWN_ERA, StoreVersion
from wigeonspoke.serialization import decode_json, parse_count
from wigeonspoke.store import (
    RowPage,
    RowWrite,
    StoreError,
    StoreProblem,
    TableRow,
)
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

REQUEST_SECONDS = 1.5
MILLISECONDS_PER_SECOND = 1000
ROWS_PER_PAGE = 500
# Rises by one each time the store comes back from an older copy of itself.
ERA_HEADER = 'store-era'

WireType = TypeVar('WireType')


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
    # If ``truncated`` is set, the table has more rows than the page holds.
    rows: tuple[_WireRow, ...] = ()
    truncated: bool = False
    # From the header, as all answers have it.
    era: int = UNKNOWN_ERA


class PlatformStore:
    """Implements :class:`FeedStore` over HTTP.

    An answer without an era has that of the answer before it.
    """

    __slots__ = ('address', 'client', 'era', 'on_era')

    def __init__(self, address: str, client: HttpClient) -> None:
        self.address = address
        self.client = client
        self.era = UNKNOWN_ERA
        self.on_era: Callable[[int], None] = _ignore

    def read_table(self, table: str) -> Result[RowPage, StoreError]:
        """Read all rows of a table.

        A table of several pages is not read at one version.  The version
        returned is that of the first page, so that a feed from there repeats
        whatever changed while the other pages were read.
        """
        rows: list[TableRow] = []
        first_page: _WirePage | None = None
        start_key = ''
        while True:
            query = {'table': table, 'part': '', 'limit': ROWS_PER_PAGE}
            if start_key:
                query['from'] = start_key
            result = self._get_page('rows-get', query, REQUEST_SECONDS)
            if not isinstance(result, Success):
                return result
            page = result.unwrap()
            first_page = first_page or page
            if page.era != first_page.era:
                # The store has come back from another copy between the pages.
                return Failure(StoreError(StoreProblem.UNAVAILABLE, 'rows-get'))
            rows.extend(_convert_rows(page))
            if not page.truncated or not page.rows:
                return Success(_convert_page(first_page, tuple(rows)))
            # Keys are ordered bytewise, so the smallest key after another is
            # that key with a zero byte appended.
            start_key = f'{page.rows[-1].key}\0'

    def follow(
        self,
        table: str,
        after: StoreVersion,
        wait_seconds: float,
    ) -> Result[RowPage, StoreError]:
        """Wait for rows that changed after version ``after``."""
        query = {
            'table': table,
            'after': after.number,
            'wait-ms': int(wait_seconds * MILLISECONDS_PER_SECOND),
        }
        result = self._get_page(
            'rows-feed', query, REQUEST_SECONDS + wait_seconds
        )
        return result.map(
            lambda page: _convert_page(page, tuple(_convert_rows(page)))
        )

    def write_rows(
        self,
        table: str,
        writes: tuple[RowWrite, ...],
    ) -> Result[int, StoreError]:
        """Write all rows or none; return the version of the write."""
        body = msgspec.json.encode(
            {
                'precondition': [
                    {**_row_key(table, write), 'ver': write.expected}
                    for write in writes
                ],
                'puts': [
                    {
                        **_row_key(table, write),
                        'value': base64.b64encode(write.content).decode(),
                    }
                    for write in writes
                    if write.content is not None
                ],
                'remove': [
                    _row_key(table, write)
                    for write in writes
                    if write.content is None
                ],
            },
        )
        reply = self.client.post(
            self.address,
            '/v1/rows-tx',
            body,
            REQUEST_SECONDS,
        )
        result = self._decode('write', reply)
        return result.map(lambda page: page.ver)

    def _get_page(
        self,
        operation: str,
        query: dict[str, object],
        timeout: float,
    ) -> Result[_WirePage, StoreError]:
        reply = self.client.get(
            self.address,
            f'/v1/{operation}?{urlencode(query)}',
            timeout,
        )
        return self._decode(operation, reply)

    def _decode(
        self, step: str, result: Result[HttpReply, HttpError]
    ) -> Result[_WirePage, StoreError]:
        if not isinstance(result, Success):
            return Failure(_convert_http_error(step, result.failure()))
        reply = result.unwrap()
        era = parse_count(reply.headers.get(ERA_HEADER, ''))
        if era is not None:
            self.era = era
            self.on_era(era)
        return _decode_reply(step, reply).map(partial(_set_era, self.era))


_PROBLEMS = {
    http.HTTPStatus.GONE: StoreProblem.EXPIRED,
    http.HTTPStatus.PRECONDITION_FAILED: StoreProblem.CONFLICT,
    http.HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.UNAVAILABLE,
}


def _convert_http_error(step: str, error: HttpError) -> StoreError:
    if error.outcome is Outcome.NOT_RUN:
        return StoreError(StoreProblem.UNAVAILABLE, step)
    return StoreError(StoreProblem.UNCERTAIN, step)


def _decode_reply(
    step: str,
    reply: HttpReply,
) -> Result[_WirePage, StoreError]:
    if not reply.is_ok:
        problem = _PROBLEMS.get(reply.status, StoreProblem.UNCERTAIN)
        return Failure(StoreError(problem, step))
    return decode_json(reply.body, _WirePage).alt(
        lambda _problem: StoreError(StoreProblem.UNCERTAIN, step)
    )


def _set_era(era: int, page: _WirePage) -> _WirePage:
    page.era = era
    return page


def _ignore(_era: int) -> None:
    """Do nothing until a node listens."""


def _convert_rows(page: _WirePage) -> list[TableRow]:
    return [
        TableRow(
            key=row.key,
            version=row.ver,
            content=msgspec.Raw(_decode_content(row.content)),
            is_removed=row.tombstone,
        )
        for row in page.rows
        if not row.part
    ]


def _decode_content(text: str) -> bytes:
    """Decode a row's content.

    Other programs write rows too; content that is not Base64 gives ``b''``.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b''


def _convert_page(page: _WirePage, rows: tuple[TableRow, ...]) -> RowPage:
    return RowPage(
        rows,
        StoreVersion(page.era, page.ver),
        page.now_ms / MILLISECONDS_PER_SECOND,
    )


def _row_key(table: str, write: RowWrite) -> dict[str, str]:
    return {'table': table, 'part': '', 'key': write.key}
