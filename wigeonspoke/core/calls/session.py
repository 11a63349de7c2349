"""The life of one call of a plain service."""

import enum

from wigeonspoke.core.claims import ClaimRow, ClaimState, claim_key
from wigeonspoke.core.deployment import Operation, Service
from wigeonspoke.core.events import CallRequested


@enum.unique
class CallStage(enum.StrEnum):
    """What a call is waiting for."""

    CLAIMING = 'claiming'
    WAITING = 'waiting'
    SENT = 'sent'


class CallSession:
    """One call: its claim, its tries and the endpoint that has it now.

    ``claim_uncertain`` says that an insertion of the claim went unanswered, so
    that the row may stand.  ``next_read_at`` is when to look again at another
    call's claim in progress, ``claim_reads`` how often that was done.
    """

    __slots__ = (
        'claim_reads',
        'claim_tries',
        'claim_uncertain',
        'deadline',
        'endpoint',
        'next_read_at',
        'operation',
        'request',
        'service',
        'stage',
        'tried_endpoints',
        'try_number',
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
        self.claim_tries = 0
        self.claim_uncertain = False
        self.next_read_at = 0
        self.claim_reads = 0
        self.try_number = 0
        self.endpoint = ''
        self.tried_endpoints: set[str] = set()

    @property
    def claim_row(self) -> ClaimRow:
        """Give the row by which this call claims its operation."""
        request = self.request
        return ClaimRow(
            key=claim_key(request.account, request.service, request.identity),
            token=request.claim_token,
            body_digest=request.body_digest,
            state=ClaimState.CLAIMED,
        )

    def start_try(self, endpoint: str) -> None:
        """Note that the next try goes to an endpoint."""
        self.stage = CallStage.SENT
        self.try_number += 1
        self.endpoint = endpoint
        self.tried_endpoints.add(endpoint)

    def is_current_try(self, try_number: int) -> bool:
        """Tell whether a try is the one under way."""
        return self.stage is CallStage.SENT and self.try_number == try_number


def find_operation(
    service: Service,
    method: str,
    path: str,
) -> Operation | None:
    """Give the most specific operation that a call falls under.

    A call that no operation matches is not of the service's; there is no
    default, since a guess could repeat what may not be repeated.
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
