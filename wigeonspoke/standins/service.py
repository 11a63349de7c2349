"""A stand-in service replica that logs each operation it runs."""

import itertools
import time

import eventlet
import msgspec
from werkzeug.wrappers import Request, Response

from wigeonspoke.standins.execution_log import ExecutedCall, ExecutionLog
from wigeonspoke.transport import HttpListener
from wigeonspoke.webapp import HttpApp, JsonReply, read_body

DEFAULT_WORK_SECONDS = 0.02


class Receipt(msgspec.Struct, frozen=True):
    """The reply to a call.

    ``number`` counts the operations that the replica has run; it is 0 in the
    reply to a read.
    """

    service: str
    identity: str
    number: int
    run_by: str


class StandInService:
    """Runs every call it receives.

    It relies on its callers to send an operation only once and does not
    deduplicate calls, so that the execution log shows each repetition.
    """

    __slots__ = (
        'execution_log',
        'listener',
        'name',
        'receipt_numbers',
        'service',
        'work_seconds',
    )

    def __init__(
        self,
        name: str,
        service: str,
        execution_log: ExecutionLog,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.execution_log = execution_log
        self.work_seconds = DEFAULT_WORK_SECONDS
        self.receipt_numbers = itertools.count(1)
        app = HttpApp(
            [
                ('POST', '/<path:path>', self.post),
                ('GET', '/<path:path>', self.get),
            ]
        )
        self.listener = HttpListener(app, host, port)

    @property
    def address(self) -> str:
        """The address that the replica listens on."""
        return self.listener.address

    def kill(self) -> None:
        """Stop at once and drop all open connections."""
        self.listener.abort()

    def post(self, request: Request, path: str) -> Response:
        """Run an operation, log it and return its receipt."""
        read_body(request)
        identity = request.headers.get('Idempotency-Key', '')
        eventlet.sleep(self.work_seconds)
        self.execution_log.calls.append(
            ExecutedCall(self.name, self.service, identity, time.monotonic()),
        )
        number = next(self.receipt_numbers)
        return JsonReply(Receipt(self.service, identity, number, self.name))

    def get(self, request: Request, path: str) -> Response:
        """Return a reply to a read, which may be repeated and is not logged."""
        eventlet.sleep(self.work_seconds)
        return JsonReply(Receipt(self.service, path, 0, self.name))
