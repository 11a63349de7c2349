"""Rows of quarantined parts in the platform's store.

Evidence travels by gossip.  Once a part is quarantined, a row keeps the
evidence for nodes that start later, and reaches all others by the feed of its
table.  Rows also decide which node tries a part again: the one whose write
succeeds.
"""

import math
import time
from collections.abc import Callable, Collection

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.quarantine import (
    CrashReport,
    PartReport,
    PartSuspicion,
    service_of,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_copy import TableCopy
from wigeonspoke.ingress.tables.table_source import TableSource
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import FeedStore, RowWrite, TableRow

PART_TABLE = 'quarantine'
ROUND_SECONDS = 0.25
# A node writes a row that is missing after a random time up to this, so that
# most often one node writes it for all.
MAX_WRITE_DELAY_SECONDS = 0.5
RETRY_SECONDS = 1.0
# A node asks for a trial of the same part no more often than this.
CLAIM_INTERVAL_SECONDS = 2.0
# The row of a service that each claim of a trial writes.  Parts and requests
# have other names: theirs are hexadecimal, or have a colon.
TRIAL_SLOT = 'trial'
MAX_ROWS = 256
MAX_KEY_BYTES = 200


# Returns seconds of the store's clock, None if it is not known yet.
StoreClock = Callable[[], float | None]


class PartRow(msgspec.Struct, frozen=True):
    """A row as stored; times are in seconds of the store's clock."""

    crashes: dict[str, float]
    companions: dict[str, tuple[str, ...]] = {}
    trial_at: float | None = None
    failed_trials: int = 0


class PartConsumer:
    """Merges the rows of the table into the node's evidence."""

    __slots__ = ('state', 'store_clock', 'table')

    def __init__(self, state: IngressState, store_clock: StoreClock) -> None:
        self.state = state
        self.store_clock = store_clock
        self.table = PART_TABLE

    def kept_seconds(self) -> dict[str, float]:
        """Return nothing: a quarantine does not lapse in an outage."""
        return {}

    def retain(self, keys: Collection[str], source: TableSource) -> None:
        """Do nothing: missing rows clear no evidence."""

    def apply_change(self, row: TableRow, source: TableSource) -> None:
        """Merge a row; its removal means that the part was served well."""
        if row.key.endswith(f'/{TRIAL_SLOT}'):
            return
        if row.is_removed:
            report = PartReport(row.key, sound_age=0)
        elif self._may_be_older(row.key):
            return
        else:
            report = self._decode(row)
        if report is not None:
            self.state.part_watch.merge(report, 'store')

    def _may_be_older(self, part: str) -> bool:
        """Return whether a row may be older than what is known of its part.

        Without the store's clock its crashes would count as new, also those
        before the last sound answer.
        """
        is_known = part in self.state.part_watch.registry.suspicions
        return is_known and self.store_clock() is None

    def _decode(self, row: TableRow) -> PartReport | None:
        decoded = decode_json(bytes(row.content), PartRow)
        if not isinstance(decoded, Success):
            self.state.log.write(
                'part-unreadable', part=row.key, problem=decoded.failure()
            )
            return None
        stored = decoded.unwrap()
        return PartReport(
            row.key,
            tuple(
                CrashReport(
                    engine, self._age(at), stored.companions.get(engine, ())
                )
                for engine, at in stored.crashes.items()
            ),
            trial_age=None
            if stored.trial_at is None
            else self._age(stored.trial_at),
            failed_trials=stored.failed_trials,
            is_confirmed=True,
        )

    def _age(self, at: float) -> float:
        """Return how long ago a time of a row is, 0 if that is unknown."""
        now = self.store_clock()
        return 0 if now is None else max(0, now - at)


class PartPublisher:
    """Keeps the rows of the table in step with the node's evidence."""

    __slots__ = (
        'asked_at',
        'copy',
        'due_at',
        'state',
        'store',
        'store_clock',
    )

    def __init__(
        self,
        state: IngressState,
        store: FeedStore,
        copy: TableCopy,
        store_clock: StoreClock,
    ) -> None:
        self.state = state
        self.store = store
        self.copy = copy
        self.store_clock = store_clock
        # When to write the row of a part, if it is still needed then.
        self.due_at: dict[str, float] = {}
        # When a trial of a part was last asked for.
        self.asked_at: dict[str, float] = {}

    def run(self) -> None:
        """Write and remove rows, and count short answers; never returns."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            now = time.monotonic()
            part_watch = self.state.part_watch
            part_watch.beginnings.expire(now)
            self._update_rows(now)

    def claim_trial(self, part: str) -> bool:
        """Claim the next trial of a part for one request of this node.

        Without the store nothing is tried: it alone can tell that no other
        node does the same.
        """
        registry = self.state.part_watch.registry
        suspicion = registry.suspicions.get(part)
        now = time.monotonic()
        if suspicion is None or not registry.may_try(part, now):
            return False
        if now - self.asked_at.get(part, -math.inf) < CLAIM_INTERVAL_SECONDS:
            return False
        self.asked_at[part] = now
        is_claimed = self._write_claim(suspicion, now)
        if is_claimed:
            suspicion.trial_at = now
        self.state.log.write(
            'part-trial',
            part=part,
            claimed=is_claimed,
            engines=sorted(suspicion.crashes),
        )
        return is_claimed

    def _write_claim(self, suspicion: PartSuspicion, now: float) -> bool:
        """Write the row of a part with a trial; return whether it succeeded.

        The slot of its service is written with it, so that one of several
        nodes that claim trials of different parts at once succeeds: an engine
        that ends would count against all of them.
        """
        store_seconds = self.store_clock()
        if store_seconds is None:
            return False
        clock_offset = store_seconds - now
        slot = f'{service_of(suspicion.part)}/{TRIAL_SLOT}'
        return self._write(
            {
                suspicion.part: _encode_row(suspicion, clock_offset, now),
                slot: msgspec.json.encode(suspicion.part),
            }
        )

    def _update_rows(self, now: float) -> None:
        writes = self._find_writes(now)
        for done in self.due_at.keys() - writes.keys():
            self.due_at.pop(done)
        for key, content in writes.items():
            if self._is_due(key, now):
                self._write({key: content})

    def _find_writes(self, now: float) -> dict[str, bytes | None]:
        """Return the rows to write, None for those to remove."""
        registry = self.state.part_watch.registry
        for part in self.asked_at.keys() - registry.suspicions.keys():
            self.asked_at.pop(part)
        store_seconds = self.store_clock()
        if store_seconds is None:
            return {}
        writes: dict[str, bytes | None] = {
            suspicion.part: _encode_row(suspicion, store_seconds - now)
            for suspicion in registry.quarantined(now)
            if self._needs_row(suspicion)
        }
        for part, row in self.copy.rows.items():
            if self._is_over(part) and _decode_crashes(row):
                writes[part] = None
        return writes

    def _needs_row(self, suspicion: PartSuspicion) -> bool:
        row = self.copy.rows.get(suspicion.part)
        if row is None:
            key_bytes = len(suspicion.part.encode())
            return len(self.copy.rows) < MAX_ROWS and (
                key_bytes <= MAX_KEY_BYTES
            )
        return not suspicion.crashes.keys() <= _decode_crashes(row)

    def _is_over(self, part: str) -> bool:
        """Return whether the part of a row is no longer quarantined.

        Its evidence is gone if the part was served well, or if it is old.
        """
        registry = self.state.part_watch.registry
        suspicion = registry.suspicions.get(part)
        return suspicion is None or not suspicion.crashes

    def _is_due(self, key: str, now: float) -> bool:
        delay = MAX_WRITE_DELAY_SECONDS * self.state.rng.random()
        due_at = self.due_at.setdefault(key, now + delay)
        if now < due_at:
            return False
        self.due_at[key] = now + RETRY_SECONDS
        return True

    def _write(self, changes: dict[str, bytes | None]) -> bool:
        """Write all rows or none, None for those to remove."""
        writes = tuple(
            RowWrite(key, content, self._known_version(key))
            for key, content in changes.items()
        )
        written = self.store.write_rows(PART_TABLE, writes)
        is_written = isinstance(written, Success)
        for write in writes:
            self.state.log.write(
                'part-row',
                part=write.key,
                removed=write.content is None,
                expected=write.expected,
                problem='' if is_written else written.failure().problem,
            )
        return is_written

    def _known_version(self, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        row = self.copy.rows.get(key)
        return 0 if row is None else row.version


def _encode_row(
    suspicion: PartSuspicion,
    clock_offset: float,
    trial_at: float = -math.inf,
) -> bytes:
    """Encode a row; ``clock_offset`` is the store's clock minus ours.

    ``trial_at`` is that of a trial that the row claims.
    """
    trial_at = max(trial_at, suspicion.trial_at)
    has_trial = trial_at > -math.inf
    row = PartRow(
        {
            engine: round(crash.at + clock_offset, 3)
            for engine, crash in suspicion.crashes.items()
        },
        {
            engine: tuple(sorted(crash.companions))
            for engine, crash in suspicion.crashes.items()
        },
        trial_at + clock_offset if has_trial else None,
        suspicion.failed_trials,
    )
    return msgspec.json.encode(row)


def _decode_crashes(row: TableRow) -> set[str]:
    decoded = decode_json(bytes(row.content), PartRow)
    return set(decoded.map(lambda stored: stored.crashes).value_or({}))
