"""A stand-in platform: tables, object store and host list, with faults.

An injected fault applies to a number of matching requests, or until it is
removed.
"""

import enum
import http

import eventlet
import msgspec
from werkzeug.wrappers import Request, Response

from wigeonspoke.store.protocols import HostEntry, TableRow
from wigeonspoke.transport import HttpListener
from wigeonspoke.webapp import (
    ApiError,
    HttpApp,
    JsonReply,
    read_body,
    read_json,
)


@enum.unique
class FaultKind(enum.StrEnum):
    """The kind of an injected fault.

    ``LOST_ANSWER``: a table write takes effect, but its reply is a gateway
    timeout.  ``ERROR_BEFORE`` and ``OUTAGE``: an error reply without any
    effect; both behave alike, but an outage usually has count 0.  ``DELAY``:
    a delay of ``seconds`` before the request is handled.
    """

    LOST_ANSWER = 'lost-answer'
    ERROR_BEFORE = 'error-before'
    OUTAGE = 'outage'
    DELAY = 'delay'


class Fault(msgspec.Struct, frozen=True):
    """A fault for the next ``count`` requests to a table.

    With count 0 it lasts until it is removed.  An empty ``table`` matches
    every table, the object store and reads of the host list; the latter two
    are matched on their own by ``objects`` and ``hosts``.
    """

    kind: FaultKind
    table: str = ''
    count: int = 1
    seconds: float = 0


class StandInPlatform:
    """Keeps all rows, objects and hosts in memory.

    ``write_count`` counts the table writes that no fault rejected, and
    ``lost_answers`` the injected losses of the reply to a write.
    """

    __slots__ = (
        'faults',
        'host_entries',
        'listener',
        'lost_answers',
        'objects',
        'tables',
        'write_count',
    )

    def __init__(self, host: str = '127.0.0.1', port: int = 0) -> None:
        self.tables: dict[str, dict[str, TableRow]] = {}
        self.objects: dict[str, bytes] = {}
        self.host_entries: tuple[HostEntry, ...] = ()
        self.faults: list[Fault] = []
        self.write_count = 0
        self.lost_answers = 0
        app = HttpApp(
            [
                ('GET', '/table/<table>', self.get_table),
                ('GET', '/table/<table>/<key>', self.get_row),
                ('PUT', '/table/<table>/<key>', self.put_row),
                ('DELETE', '/table/<table>/<key>', self.delete_row),
                ('GET', '/objects/<name>', self.get_object),
                ('PUT', '/objects/<name>', self.put_object),
                ('GET', '/hosts', self.get_hosts),
                ('PUT', '/hosts', self.put_hosts),
                ('POST', '/faults', self.post_fault),
                ('DELETE', '/faults', self.delete_faults),
            ]
        )
        self.listener = HttpListener(app, host, port)

    @property
    def address(self) -> str:
        """The address that the platform listens on."""
        return self.listener.address

    def get_table(self, request: Request, table: str) -> Response:
        """Return all rows of a table."""
        self._apply_faults(table)
        return JsonReply(tuple(self.tables.get(table, {}).values()))

    def get_row(self, request: Request, table: str, key: str) -> Response:
        """Return one row."""
        self._apply_faults(table)
        row = self.tables.get(table, {}).get(key)
        if row is None:
            raise _missing_error(key)
        return JsonReply(row)

    def put_row(self, request: Request, table: str, key: str) -> Response:
        """Write a row if it has the expected version."""
        content = read_body(request)
        self._apply_faults(table)
        self.write_count += 1
        rows = self.tables.setdefault(table, {})
        known = rows.get(key)
        if not _is_expected(request, known):
            return JsonReply(known, http.HTTPStatus.CONFLICT)
        version = known.version + 1 if known else 1
        rows[key] = TableRow(key, version, msgspec.Raw(content))
        self._apply_lost_answer(table)
        return JsonReply(rows[key])

    def delete_row(self, request: Request, table: str, key: str) -> Response:
        """Delete a row if it has the expected version."""
        self._apply_faults(table)
        self.write_count += 1
        rows = self.tables.setdefault(table, {})
        known = rows.get(key)
        if not _is_expected(request, known):
            return JsonReply(known, http.HTTPStatus.CONFLICT)
        rows.pop(key, None)
        self._apply_lost_answer(table)
        return JsonReply(None)

    def get_object(self, request: Request, name: str) -> Response:
        """Return an object."""
        self._apply_faults('objects')
        body = self.objects.get(name)
        if body is None:
            raise _missing_error(name)
        return Response(body)

    def put_object(self, request: Request, name: str) -> Response:
        """Store an object."""
        body = read_body(request)
        self._apply_faults('objects')
        self.objects[name] = body
        return JsonReply(None)

    def get_hosts(self, request: Request) -> Response:
        """Return the host list."""
        self._apply_faults('hosts')
        return JsonReply(self.host_entries)

    def put_hosts(self, request: Request) -> Response:
        """Replace the host list."""
        self.host_entries = read_json(request, tuple[HostEntry, ...])
        return JsonReply(None)

    def post_fault(self, request: Request) -> Response:
        """Inject a fault."""
        self.faults.append(read_json(request, Fault))
        return JsonReply(None)

    def delete_faults(self, request: Request) -> Response:
        """Remove all faults."""
        self.faults.clear()
        return JsonReply(None)

    def _consume_fault(self, kind: FaultKind, table: str) -> Fault | None:
        for position, fault in enumerate(self.faults):
            if fault.kind is kind and fault.table in ('', table):
                self._decrement(position, fault)
                return fault
        return None

    def _decrement(self, position: int, fault: Fault) -> None:
        if fault.count > 1:
            remaining = msgspec.structs.replace(fault, count=fault.count - 1)
            self.faults[position] = remaining
        elif fault.count == 1:
            self.faults.pop(position)

    def _apply_faults(self, table: str) -> None:
        delay = self._consume_fault(FaultKind.DELAY, table)
        if delay:
            eventlet.sleep(delay.seconds)
        outage = self._consume_fault(FaultKind.OUTAGE, table)
        if outage or self._consume_fault(FaultKind.ERROR_BEFORE, table):
            raise ApiError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'unavailable',
                'unavailable',
                'the store is unavailable',
            )

    def _apply_lost_answer(self, table: str) -> None:
        fault = self._consume_fault(FaultKind.LOST_ANSWER, table)
        if fault:
            self.lost_answers += 1
            raise ApiError(
                http.HTTPStatus.GATEWAY_TIMEOUT,
                'lost',
                'lost',
                'the reply was lost after the write',
            )


def _is_expected(request: Request, known: TableRow | None) -> bool:
    version = known.version if known else 0
    return request.args.get('expected', type=int) == version


def _missing_error(name: str) -> ApiError:
    return ApiError(
        http.HTTPStatus.NOT_FOUND,
        'missing',
        'missing',
        f'{name!r} does not exist',
    )
