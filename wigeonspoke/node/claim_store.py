"""Reads and writes claim rows in the platform's table."""

import eventlet
import msgspec
from loguru import logger
from returns.result import Success

from wigeonspoke.core.claims import (
    ClaimAnswer,
    ClaimRow,
    ClaimState,
    KeptReply,
)
from wigeonspoke.core.events import ClaimAnswered
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import (
    StoreError,
    StoreProblem,
    Table,
    TableRow,
)

CLAIMS_TABLE = 'claims'
MAX_WRITE_ATTEMPTS = 12
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 10.0

_INSERT_ANSWERS = {
    StoreProblem.CONFLICT: ClaimAnswer.EXISTS,
    StoreProblem.UNAVAILABLE: ClaimAnswer.UNAVAILABLE,
}


class ClaimStore:
    """Inserts, reads, completes and deletes claim rows.

    An insertion is tried once and its result reported to the core.  Outcomes
    and deletions are retried up to ``MAX_WRITE_ATTEMPTS`` times, because
    repeats of the call depend on them.  ``pending_writes`` counts those that
    are still being tried.
    """

    __slots__ = ('pending_writes', 'table')

    def __init__(self, table: Table) -> None:
        self.table = table
        self.pending_writes = 0

    def insert(self, request_id: str, row: ClaimRow) -> ClaimAnswered:
        """Insert a row; the answer is ``EXISTS`` if the key has one already."""
        written = self.table.write(CLAIMS_TABLE, row.key, _encode(row), 0)
        if isinstance(written, Success):
            return ClaimAnswered(request_id, ClaimAnswer.INSERTED, row)
        error = written.failure()
        answer = _INSERT_ANSWERS.get(error.problem, ClaimAnswer.UNCERTAIN)
        found = _decode(error.row) if error.row else None
        if answer is ClaimAnswer.EXISTS and found is None:
            answer = ClaimAnswer.UNCERTAIN
        return ClaimAnswered(request_id, answer, found)

    def record_outcome(
        self,
        row: ClaimRow,
        state: ClaimState,
        kept: KeptReply | None,
    ) -> None:
        """Write the outcome of a claimed call to its row."""
        finished_row = msgspec.structs.replace(row, state=state, kept=kept)
        self._retry(lambda: self._try_replace(finished_row))

    def delete(self, row: ClaimRow) -> None:
        """Delete the row if it still has this call's token."""
        self._retry(lambda: self._try_delete(row))

    def read_claim(self, request_id: str, key: str) -> ClaimAnswered:
        """Read a claim; the answer is ``MISSING`` if there is none."""
        read = self.table.read(CLAIMS_TABLE, key)
        if isinstance(read, Success):
            row = _decode(read.unwrap())
            return ClaimAnswered(request_id, ClaimAnswer.EXISTS, row)
        if read.failure().problem is StoreProblem.MISSING:
            return ClaimAnswered(request_id, ClaimAnswer.MISSING)
        return ClaimAnswered(request_id, ClaimAnswer.UNAVAILABLE)

    def _retry(self, attempt) -> None:
        self.pending_writes += 1
        delay = FIRST_RETRY_SECONDS
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                if attempt():
                    return
                eventlet.sleep(delay)
                delay = min(MAX_RETRY_SECONDS, delay * 2)
            logger.warning('could not update or delete a claim row; giving up')
        finally:
            self.pending_writes -= 1

    def _try_replace(self, finished_row: ClaimRow) -> bool:
        found = self._read_own_row(finished_row)
        if isinstance(found, bool):
            return found
        content = _encode(finished_row)
        written = self.table.write(
            CLAIMS_TABLE,
            finished_row.key,
            content,
            found.version,
        )
        return isinstance(written, Success)

    def _try_delete(self, row: ClaimRow) -> bool:
        found = self._read_own_row(row)
        if isinstance(found, bool):
            return found
        deleted = self.table.delete(CLAIMS_TABLE, row.key, found.version)
        return isinstance(deleted, Success)

    def _read_own_row(self, row: ClaimRow) -> TableRow | bool:
        """Read the row and return it if it has this call's token.

        Otherwise, return whether to stop retrying: ``True`` if the row is
        missing, unreadable or has another token, and ``False`` if the read
        failed.
        """
        read = self.table.read(CLAIMS_TABLE, row.key)
        if not isinstance(read, Success):
            return _is_missing(read.failure())
        found = read.unwrap()
        claim = _decode(found)
        if claim is None or claim.token != row.token:
            return True
        return found


def _is_missing(error: StoreError) -> bool:
    return error.problem is StoreProblem.MISSING


def _encode(row: ClaimRow) -> bytes:
    return msgspec.json.encode(row)


def _decode(row: TableRow) -> ClaimRow | None:
    return decode_json(row.content, ClaimRow).value_or(None)
