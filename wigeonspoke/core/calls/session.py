"""State of one call of a plain service."""

import enum

from wigeonspoke.core.claims import ClaimRow, ClaimState, claim_key
from wigeonspoke.core.deployment import Operation, Service
from wigeonspoke.core.events import CallRequested


@enum.unique
class CallStage(enum.StrEnum):
    """What a call is waiting for.

    ``CLAIMING``: the result of an operation on its claim row.  ``WAITING``:
    the next read of another call's claim.  ``SENT``: a replica's reply.
    """

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    SENT = 'sent'


class CallSession:
    """The claim, the attempts and the current endpoint of one call.

    ``claim_uncertain`` is set after an insertion of the claim with unknown
    result, so that the row may exist.  ``next_read_at`` is the time of the
    next read of another call's claim, and ``claim_reads`` is the number of
    such reads so far.  ``endpoint`` is empty while no attempt is in
    progress.
    """

    __slots__ = (
        'attempt',
        'claim_attempts',
        'claim_reads',
        'claim_uncertain',
        'deadline',
        'endpoint',
        'next_read_at',
        'operation',
        'request',
        'service',
        'stage',
        'tried_endpoints',
    )

    def __init__(
        self,
        request: CallRequested,
        service: Service,
        operation: Operation,
        now: float,
    ) -> None:
        self.request = request
        self.service = service
        self.operation = operation
        self.deadline = now + service.call_seconds
        self.stage = CallStage.CLAIMING
        self.claim_attempts = 0
        self.claim_uncertain = False
        self.next_read_at = 0
        self.claim_reads = 0
        self.attempt = 0
        self.endpoint = ''
        self.tried_endpoints: set[str] = set()

    @property
    def claim_row(self) -> ClaimRow:
        """The row that claims the operation for this call."""
        request = self.request
        return ClaimRow(
            key=claim_key(request.account, request.service, request.identity),
            token=request.claim_token,
            body_digest=request.body_digest,
            state=ClaimState.CLAIMED,
        )

    def start_attempt(self, endpoint: str) -> None:
        """Record that the next attempt is sent to an endpoint."""
        self.stage = CallStage.SENT
        self.attempt += 1
        self.endpoint = endpoint
        self.tried_endpoints.add(endpoint)

    def is_current_attempt(self, attempt: int) -> bool:
        """Return whether an attempt is the one in progress."""
        return self.stage is CallStage.SENT and self.attempt == attempt


def find_operation(
    service: Service,
    method: str,
    path: str,
) -> Operation | None:
    """Return the matching operation with the longest path, if any.

    A call that matches no operation does not belong to the service.  There is
    no default operation, because a wrong default could repeat a call that
    must not be repeated.
    """
    matching = [
        operation
        for operation in service.operations
        if operation.method == method and _matches_path(operation.path, path)
    ]
    return max(matching, key=_path_length, default=None)


def _matches_path(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(f'{prefix}/')


def _path_length(operation: Operation) -> int:
    return len(operation.path)
