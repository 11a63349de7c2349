"""HTTP client for the platform's services."""

import http
from functools import partial
from urllib.parse import quote

from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.serialization import decode_json
from wigeonspoke.store.protocols import (
    HostEntry,
    StoreError,
    StoreProblem,
    TableRow,
)
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

REQUEST_TIMEOUT_SECONDS = 2.0

_PROBLEMS = {
    http.HTTPStatus.CONFLICT: StoreProblem.CONFLICT,
    http.HTTPStatus.NOT_FOUND: StoreProblem.MISSING,
    http.HTTPStatus.SERVICE_UNAVAILABLE: StoreProblem.UNAVAILABLE,
    http.HTTPStatus.TOO_MANY_REQUESTS: StoreProblem.UNAVAILABLE,
}


class HttpPlatform:
    """Client for the table, object store and host list at one address.

    Implements the protocols :class:`Table`, :class:`ObjectStore` and
    :class:`HostList`.
    """

    __slots__ = ('address', 'client', 'timeout')

    def __init__(
        self,
        address: str,
        client: HttpClient,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        self.address = address
        self.client = client
        self.timeout = timeout

    def read(self, table: str, key: str) -> Result[TableRow, StoreError]:
        """Read one row."""
        reply = self._request('GET', f'/table/{table}/{_quote(key)}', 'read')
        return reply.bind(partial(_decode, TableRow, 'read'))

    def read_all(
        self,
        table: str,
    ) -> Result[tuple[TableRow, ...], StoreError]:
        """Read all rows of a small table."""
        reply = self._request('GET', f'/table/{table}', 'read-all')
        return reply.bind(partial(_decode, tuple[TableRow, ...], 'read-all'))

    def write(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int,
    ) -> Result[TableRow, StoreError]:
        """Write a row if its version is ``expected``; 0 means no row."""
        path = f'/table/{table}/{_quote(key)}?expected={expected}'
        reply = self._request('PUT', path, 'write', content)
        return reply.bind(partial(_decode, TableRow, 'write'))

    def delete(
        self,
        table: str,
        key: str,
        expected: int,
    ) -> Result[None, StoreError]:
        """Delete a row if its version is ``expected``."""
        path = f'/table/{table}/{_quote(key)}?expected={expected}'
        return self._request('DELETE', path, 'delete').map(lambda _: None)

    def get_object(self, name: str) -> Result[bytes, StoreError]:
        """Read an object."""
        reply = self._request('GET', f'/objects/{_quote(name)}', 'get-object')
        return reply.map(lambda found: found.body)

    def put_object(self, name: str, body: bytes) -> Result[None, StoreError]:
        """Write an object; repeating the same write is harmless."""
        path = f'/objects/{_quote(name)}'
        return self._request('PUT', path, 'put-object', body).map(
            lambda _: None
        )

    def list_hosts(self) -> Result[tuple[HostEntry, ...], StoreError]:
        """Read the host list."""
        reply = self._request('GET', '/hosts', 'hosts')
        return reply.bind(partial(_decode, tuple[HostEntry, ...], 'hosts'))

    def _request(
        self,
        method: str,
        path: str,
        step: str,
        body: bytes | None = None,
    ) -> Result[HttpReply, StoreError]:
        result = self.client.send(
            self.address,
            method,
            path,
            body,
            timeout=self.timeout,
        )
        return result.alt(partial(_transport_error, step)).bind(
            partial(_check_status, step)
        )


def _quote(name: str) -> str:
    return quote(name, safe='')


def _transport_error(step: str, error: HttpError) -> StoreError:
    unreachable = error.outcome is Outcome.NOT_RUN
    problem = (
        StoreProblem.UNAVAILABLE if unreachable else StoreProblem.UNCERTAIN
    )
    return StoreError(problem, step)


def _check_status(step: str, reply: HttpReply) -> Result[HttpReply, StoreError]:
    if reply.is_ok:
        return Success(reply)
    problem = _PROBLEMS.get(reply.status, StoreProblem.UNCERTAIN)
    row = None
    if problem is StoreProblem.CONFLICT:
        row = decode_json(reply.body, TableRow | None).value_or(None)
    return Failure(StoreError(problem, step, row))


def _decode(row_type: type, step: str, reply: HttpReply) -> Result:
    return decode_json(reply.body, row_type).alt(
        lambda _problem: StoreError(StoreProblem.UNCERTAIN, step)
    )
