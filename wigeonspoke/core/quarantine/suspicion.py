"""The evidence against a part of a prompt under which engines have ended."""

import math
import zlib

import msgspec

from wigeonspoke.core.quarantine.records import CrashReport, PartReport
from wigeonspoke.core.quarantine.request_key import is_request_key

# Engines that must have ended under a part before requests with it are
# refused.  Fewer would also condemn a part that was unlucky once or twice.
CRASHES_TO_QUARANTINE = 3
# The same for a part with which answers went well not long before.
CRASHES_TO_QUARANTINE_SOUND_PART = 5
# The crashes must be spread over at least this time.  Engines that end at the
# same moment most likely have one common cause, such as a rack.
MIN_CRASH_SPREAD_SECONDS = 0.5
# Time until one request with a quarantined part is tried.  The first trial
# comes soon, because a sound part that stood beside the cause in each crash is
# released by it.  It is later by up to the spread for some parts than for
# others, so that one trial does not end the engine of another.
FIRST_TRIAL_SECONDS = 2.0
FIRST_TRIAL_SPREAD_SECONDS = 2.0
# The same for a whole request.  Several innocent ones may stand in the crashes
# of a small service, and are tried one after the other.
FIRST_REQUEST_TRIAL_SECONDS = 1.0
FIRST_REQUEST_TRIAL_SPREAD_SECONDS = 1.0
# The same after an engine has ended under a trial, and what it grows by with
# each further one.
NEXT_TRIAL_SECONDS = 60.0
TRIAL_FACTOR = 15.0
MAX_TRIAL_SECONDS = 86400.0
# An engine that ends within this time after a trial has ended under it.
TRIAL_RESULT_SECONDS = 10.0
# Crashes of a part that is not quarantined are forgotten after this time.
EVIDENCE_SECONDS = 600.0
# A quarantine is forgotten when no engine has ended under its part for so long.
QUARANTINE_SECONDS = 172800.0
# Crashes kept of one part, and companions kept of one crash.
MAX_CRASHES = 6
MAX_COMPANIONS = 32
CHECKSUM_VALUES = 4294967296


class PartCrash(msgspec.Struct):
    """The end of an engine under an answer that was in its beginning.

    ``companions`` are the other parts that may be the cause: those of all
    requests with the part that were in their beginning at the engine.
    """

    at: float
    companions: frozenset[str]


class PartSuspicion:
    """The evidence against one part; times are on the monotonic clock.

    Evidence of several nodes is merged in any order and any number of times
    with the same result.  ``crashes`` is keyed by the start of the engine, so
    that a crash seen by several nodes counts once.  A crash counts only if no
    answer with the part went well after it.  ``is_confirmed`` is whether this
    node or another one has found the evidence sufficient.  ``cleared_crashes``
    is how many crashes the last sound answer has cleared.
    """

    __slots__ = (
        'cleared_crashes',
        'crashes',
        'failed_trials',
        'had_vain_trial',
        'is_confirmed',
        'is_request',
        'part',
        'sound_at',
        'trial_at',
    )

    def __init__(self, part: str) -> None:
        self.part = part
        self.is_request = is_request_key(part)
        self.cleared_crashes = 0
        self.crashes: dict[str, PartCrash] = {}
        self.sound_at = -math.inf
        self.trial_at = -math.inf
        self.failed_trials = 0
        # Whether a trial at this node has shown nothing.
        self.had_vain_trial = False
        self.is_confirmed = False

    def add_crash(
        self, engine: str, at: float, companions: frozenset[str]
    ) -> bool:
        """Add the end of an engine; return whether it is new evidence."""
        known = self.crashes.get(engine)
        if known is not None:
            if len(known.companions) < MAX_COMPANIONS:
                known.companions |= companions
            return False
        if at <= self.sound_at or not self._make_room(at):
            return False
        self.crashes[engine] = PartCrash(at, companions)
        self.cleared_crashes = 0
        if 0 <= at - self.trial_at <= TRIAL_RESULT_SECONDS:
            self.failed_trials += 1
        return True

    def add_sound(self, at: float) -> bool:
        """Add an answer that went well; return whether it clears a crash."""
        if at <= self.sound_at:
            return False
        self.sound_at = at
        count = len(self.crashes)
        self.crashes = {
            engine: crash
            for engine, crash in self.crashes.items()
            if crash.at > at
        }
        is_cleared = len(self.crashes) < count
        if is_cleared:
            self.cleared_crashes = count
            self.is_confirmed = False
            self.failed_trials = 0
            self.had_vain_trial = False
        return is_cleared

    def add_failed_trial(self) -> bool:
        """Add a trial without a sound answer; return whether it is news.

        One under which an engine ended has been added with its crash.  A first
        one that showed nothing is let pass, since chains and addresses change
        while endpoints start again.
        """
        if not self.crashes or self.last_crash_at >= self.trial_at:
            return False
        if not self.failed_trials and not self.had_vain_trial:
            self.had_vain_trial = True
            return False
        self.failed_trials += 1
        return True

    def drop_companions(self, parts: frozenset[str]) -> None:
        """Stop regarding parts as possible causes: they were served well."""
        for crash in self.crashes.values():
            if not crash.companions.isdisjoint(parts):
                crash.companions -= parts

    @property
    def strength(self) -> int:
        """How much there is to tell: crashes that count, or were cleared."""
        return max(len(self.crashes), self.cleared_crashes)

    @property
    def companions(self) -> frozenset[str]:
        """The parts that stood beside this one in every crash."""
        sets = [crash.companions for crash in self.crashes.values()]
        return frozenset.intersection(*sets) if sets else frozenset()

    @property
    def last_crash_at(self) -> float:
        """When the last engine ended under the part, ``-inf`` if none did."""
        return max(
            (crash.at for crash in self.crashes.values()), default=-math.inf
        )

    def has_enough_crashes(self, *, was_sound: bool) -> bool:
        """Return whether the crashes are too many to be bad luck.

        A whole request is released by its trial about as soon as a service
        whose replicas ended at one moment is back, so that the time between
        its crashes does not matter.
        """
        if self.is_request:
            return len(self.crashes) >= CRASHES_TO_QUARANTINE
        needed = CRASHES_TO_QUARANTINE
        if was_sound:
            needed = CRASHES_TO_QUARANTINE_SOUND_PART
        if len(self.crashes) < needed:
            return False
        first_crash_at = min(crash.at for crash in self.crashes.values())
        spread = self.last_crash_at - first_crash_at
        return spread >= MIN_CRASH_SPREAD_SECONDS

    @property
    def next_trial_at(self) -> float:
        """When one request with the part may be tried again."""
        return max(self.last_crash_at, self.trial_at) + self._trial_wait

    def report(self, now: float) -> PartReport:
        """Return what other nodes need to know."""
        return PartReport(
            self.part,
            tuple(
                CrashReport(
                    engine,
                    round(now - crash.at, 2),
                    tuple(sorted(crash.companions)),
                )
                for engine, crash in self.crashes.items()
            ),
            _age(self.sound_at, now),
            _age(self.trial_at, now),
            self.failed_trials,
            self.is_confirmed,
        )

    def _make_room(self, at: float) -> bool:
        """Drop the oldest crash if there are many; return whether ``at`` fits.

        Crashes older than all of them stay out, or those dropped here would
        come back from peers.
        """
        if len(self.crashes) < MAX_CRASHES:
            return True
        oldest = min(self.crashes, key=lambda one: self.crashes[one].at)
        if at <= self.crashes[oldest].at:
            return False
        self.crashes.pop(oldest)
        return True

    @property
    def _trial_wait(self) -> float:
        if not self.failed_trials:
            share = zlib.crc32(self.part.encode()) / CHECKSUM_VALUES
            if self.is_request:
                spread = FIRST_REQUEST_TRIAL_SPREAD_SECONDS * share
                return FIRST_REQUEST_TRIAL_SECONDS + spread
            return FIRST_TRIAL_SECONDS + FIRST_TRIAL_SPREAD_SECONDS * share
        growth = TRIAL_FACTOR ** (self.failed_trials - 1)
        return min(MAX_TRIAL_SECONDS, NEXT_TRIAL_SECONDS * growth)


def _age(at: float, now: float) -> float | None:
    return None if at == -math.inf else round(now - at, 2)
