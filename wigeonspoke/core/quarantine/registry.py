"""The parts of prompts that are suspected, and the refusal of requests.

A request whose content ends each engine that begins to answer it would take
one chain after the other, and each with all its streams.  No single node sees
more than one or two of these crashes, and no request is like the other: what
they share is a part of their prompts.  The evidence of all nodes is therefore
kept by part.  Requests without shared parts are never refused.
"""

from collections.abc import Iterable

from wigeonspoke.core.quarantine.records import PartReport, Refusal
from wigeonspoke.core.quarantine.sound_parts import SoundParts
from wigeonspoke.core.quarantine.suspicion import (
    EVIDENCE_SECONDS,
    QUARANTINE_SECONDS,
    PartSuspicion,
)

MAX_SUSPICIONS = 256
# A part that was served well is told to peers for this time if it had been
# suspected.
CLEARED_SECONDS = 10.0
MAX_REPORTS = 8
# Two trials of the same service are at least this far apart, so that each
# shows whether its own part is the cause.
TRIAL_INTERVAL_SECONDS = 1.5


class PartRegistry:
    """Suspicions by part, with the evidence of this node and its peers.

    Parts are named ``SERVICE/PART``, so that one model's trouble does not
    count for another.
    """

    __slots__ = ('sound', 'suspicions')

    def __init__(self) -> None:
        self.suspicions: dict[str, PartSuspicion] = {}
        self.sound = SoundParts()

    def record_crash(
        self, parts: tuple[str, ...], engine: str, now: float
    ) -> tuple[PartSuspicion, ...]:
        """Record that an engine ended as it began to answer a request.

        Each of the request's parts may be the cause.  Parts with which
        answers went well recently do not count as companions of the others.
        Return the suspicions with new evidence.
        """
        unproven = frozenset(
            part for part in parts if not self.sound.was_served(part, now)
        )
        changed = [
            suspicion
            for suspicion in map(self._suspicion, parts)
            if suspicion.add_crash(engine, now, unproven - {suspicion.part})
        ]
        self._limit(now)
        return tuple(changed)

    def record_sound(
        self, parts: tuple[str, ...], now: float
    ) -> tuple[PartSuspicion, ...]:
        """Record an answer that went well; return the suspicions it clears."""
        self.sound.record_parts(parts, now)
        cleared = []
        for part in parts:
            for other in self.suspicions.values():
                other.drop_companion(part)
            suspicion = self.suspicions.get(part)
            if suspicion is not None and suspicion.add_sound(now):
                cleared.append(suspicion)
        return tuple(cleared)

    def merge(self, report: PartReport, now: float) -> bool:
        """Merge what another node knows; return whether it was news."""
        suspicion = self._suspicion(report.part)
        is_news = False
        if report.sound_age is not None:
            is_news = suspicion.add_sound(now - report.sound_age)
        for crash in report.crashes:
            is_new_crash = suspicion.add_crash(
                crash.engine, now - crash.age, frozenset(crash.companions)
            )
            is_news = is_news or is_new_crash
        # Another node has judged the times of the crashes, which may not be
        # known here.
        if report.is_confirmed and suspicion.crashes:
            suspicion.is_confirmed = True
        if report.trial_age is not None:
            trial_at = now - report.trial_age
            suspicion.trial_at = max(suspicion.trial_at, trial_at)
        if suspicion.crashes:
            suspicion.failed_trials = max(
                suspicion.failed_trials, report.failed_trials
            )
        self._limit(now)
        return is_news

    def find_refusal(
        self, parts: tuple[str, ...], now: float
    ) -> Refusal | None:
        """Return why a request must not be sent, None if it may be.

        It is refused for a quarantined part only if it also has all parts
        that stood beside it in every crash: any of them may be the cause.
        """
        for part in parts:
            suspicion = self.suspicions.get(part)
            if suspicion is None or not self.is_quarantined(suspicion, now):
                continue
            if suspicion.companions <= frozenset(parts):
                return Refusal(
                    part,
                    tuple(suspicion.crashes),
                    now - suspicion.last_crash_at,
                    suspicion.next_trial_at - now,
                )
        return None

    def is_quarantined(self, suspicion: PartSuspicion, now: float) -> bool:
        """Return whether requests with a part are refused.

        Once the evidence was sufficient, it stays so until an answer with the
        part goes well.
        """
        if not suspicion.is_confirmed:
            was_sound = self.sound.was_served(suspicion.part, now)
            suspicion.is_confirmed = suspicion.has_enough_crashes(
                was_sound=was_sound
            )
        return suspicion.is_confirmed

    def is_unproven(self, parts: Iterable[str], now: float) -> bool:
        """Return whether no answer with some of the parts went well yet."""
        return any(not self.sound.was_served(part, now) for part in parts)

    def quarantined(self, now: float) -> list[PartSuspicion]:
        """Return the suspicions whose parts are quarantined."""
        return [
            suspicion
            for suspicion in self.suspicions.values()
            if self.is_quarantined(suspicion, now)
        ]

    def reports(self, now: float) -> tuple[PartReport, ...]:
        """Return the newest evidence to tell peers."""
        told = [
            suspicion
            for suspicion in self.suspicions.values()
            if suspicion.crashes or now - suspicion.sound_at <= CLEARED_SECONDS
        ]
        told.sort(key=_newest_change, reverse=True)
        return tuple(one.report(now) for one in told[:MAX_REPORTS])

    def may_try(self, part: str, now: float) -> bool:
        """Return whether no other part of the service is being tried."""
        service = part.partition('/')[0]
        return not any(
            now - other.trial_at < TRIAL_INTERVAL_SECONDS
            for other in self.suspicions.values()
            if other.part != part and other.part.startswith(f'{service}/')
        )

    def _suspicion(self, part: str) -> PartSuspicion:
        return self.suspicions.setdefault(part, PartSuspicion(part))

    def _limit(self, now: float) -> None:
        """Forget old evidence, and the weakest if there is too much."""
        for suspicion in list(self.suspicions.values()):
            lifetime = EVIDENCE_SECONDS
            if suspicion.is_confirmed:
                lifetime = QUARANTINE_SECONDS
            if _newest_change(suspicion) < now - lifetime:
                self.suspicions.pop(suspicion.part)
        while len(self.suspicions) > MAX_SUSPICIONS:
            weakest = min(self.suspicions.values(), key=_weight)
            self.suspicions.pop(weakest.part)


def _newest_change(suspicion: PartSuspicion) -> float:
    return max(suspicion.last_crash_at, suspicion.sound_at)


def _weight(suspicion: PartSuspicion) -> tuple[int, float]:
    return (len(suspicion.crashes), _newest_change(suspicion))
