"""The parts of prompts that are suspected, and the refusal of requests.

A request whose content ends each engine that begins to answer it would take
one chain after the other, and each with all its streams.  No single node sees
more than one or two of these crashes, and no request is like the other: what
they share is a part of their prompts.  The evidence of all nodes is therefore
kept by part.

A whole request, which comes again as it is, may end its replicas as well.  It
is one more key beside its parts, under the same rules but these: three crashes
always suffice, and it is neither recorded as served, because most requests come
once, nor a companion of a part, because each request has its own.
"""

from collections.abc import Collection, Iterable

from wigeonspoke.core.quarantine.records import PartReport, Refusal
from wigeonspoke.core.quarantine.request_key import (
    is_request_key,
    service_of,
)
from wigeonspoke.core.quarantine.sound_parts import SoundParts
from wigeonspoke.core.quarantine.suspicion import (
    EVIDENCE_SECONDS,
    QUARANTINE_SECONDS,
    PartSuspicion,
)

# Suspicions kept of parts, and of whole requests.  One crash breaks many whole
# requests, which must not displace the evidence against parts.
MAX_SUSPICIONS = 256
# A part that was served well is told to peers for this time if it had been
# suspected.
CLEARED_SECONDS = 10.0
MAX_REPORTS = 8
MAX_REQUEST_REPORTS = 32
# Two trials of the same service are at least this far apart, so that each
# shows whether its own part is the cause.
TRIAL_INTERVAL_SECONDS = 1.5


class PartRegistry:
    """Suspicions by part, with the evidence of this node and its peers.

    Parts are named ``SERVICE/PART``, so that one model's trouble does not
    count for another.
    """

    __slots__ = ('services_with_requests', 'sound', 'suspicions')

    def __init__(self) -> None:
        self.suspicions: dict[str, PartSuspicion] = {}
        self.sound = SoundParts()
        # Services of which some whole request is suspected.
        self.services_with_requests: frozenset[str] = frozenset()

    def record_crash(
        self, parts: tuple[str, ...], engine: str, now: float
    ) -> tuple[PartSuspicion, ...]:
        """Record that an engine ended as it began to answer a request.

        Each of the request's parts may be the cause.  Parts with which
        answers went well recently do not count as companions of the others.
        Return the suspicions with new evidence.
        """
        unproven = frozenset(
            part
            for part in parts
            if not is_request_key(part) and not self.sound.was_served(part, now)
        )
        changed = [
            suspicion
            for suspicion in map(self._suspicion, parts)
            if suspicion.add_crash(engine, now, unproven - {suspicion.part})
        ]
        self.expire(now)
        return tuple(changed)

    def record_sound(
        self, parts: tuple[str, ...], now: float
    ) -> tuple[PartSuspicion, ...]:
        """Record an answer that went well; return the suspicions it clears."""
        self.sound.record_answer(
            (part for part in parts if not is_request_key(part)), now
        )
        served = frozenset(parts)
        for other in self.suspicions.values():
            other.drop_companions(served)
        suspected = [
            self.suspicions[part] for part in parts if part in self.suspicions
        ]
        cleared = tuple(one for one in suspected if one.add_sound(now))
        if cleared:
            self._find_services()
        return cleared

    def record_failed_trial(self, part: str) -> bool:
        """Record a trial without a sound answer; return whether it is news."""
        suspicion = self.suspicions.get(part)
        return suspicion is not None and suspicion.add_failed_trial()

    def merge(self, report: PartReport, now: float) -> bool:
        """Merge what another node knows; return whether it was news."""
        is_known = report.part in self.suspicions
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
        if is_news or not is_known:
            self.expire(now)
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
        """Return the strongest evidence to tell peers, the newest first."""
        told = [
            suspicion
            for suspicion in self.suspicions.values()
            if suspicion.crashes or now - suspicion.sound_at <= CLEARED_SECONDS
        ]
        told.sort(key=_strength, reverse=True)
        parts = [one for one in told if not one.is_request]
        requests = [one for one in told if one.is_request]
        return tuple(
            one.report(now)
            for one in (*parts[:MAX_REPORTS], *requests[:MAX_REQUEST_REPORTS])
        )

    def suspects_requests(self, service: str) -> bool:
        """Return whether some whole request of a service is suspected."""
        return service in self.services_with_requests

    def has_earlier_crash(self, key: str, starts: Collection[str]) -> bool:
        """Return whether a key stands in a crash other than of these starts."""
        suspicion = self.suspicions.get(key)
        return suspicion is not None and bool(
            suspicion.crashes.keys() - set(starts)
        )

    def may_try(self, part: str, now: float) -> bool:
        """Return whether no other part of the service is being tried.

        A trial is over when an answer went well.
        """
        service = service_of(part)
        return not any(
            other.sound_at < other.trial_at
            and now - other.trial_at < TRIAL_INTERVAL_SECONDS
            for other in self.suspicions.values()
            if other.part != part and other.part.startswith(f'{service}/')
        )

    def expire(self, now: float) -> None:
        """Forget old evidence, and the weakest if there is too much."""
        for suspicion in list(self.suspicions.values()):
            lifetime = EVIDENCE_SECONDS
            if suspicion.is_confirmed:
                lifetime = QUARANTINE_SECONDS
            if _newest_change(suspicion) < now - lifetime:
                self.suspicions.pop(suspicion.part)
        self._limit(are_requests=False)
        self._limit(are_requests=True)
        self._find_services()

    def _suspicion(self, part: str) -> PartSuspicion:
        """Return the suspicion of a part, a new one if there is none.

        A crash that is heard of only now may be older than this node's last
        sound answer, which then clears it.
        """
        known = self.suspicions.get(part)
        if known is None:
            known = PartSuspicion(part)
            known.sound_at = self.sound.last_answer_at(part)
            self.suspicions[part] = known
        return known

    def _limit(self, *, are_requests: bool) -> None:
        """Drop the weakest suspicions of a kind if there are too many."""
        kept = [
            suspicion
            for suspicion in self.suspicions.values()
            if suspicion.is_request is are_requests
        ]
        excess = len(kept) - MAX_SUSPICIONS
        if excess > 0:
            kept.sort(key=_weight)
            for suspicion in kept[:excess]:
                self.suspicions.pop(suspicion.part)

    def _find_services(self) -> None:
        self.services_with_requests = frozenset(
            service_of(suspicion.part)
            for suspicion in self.suspicions.values()
            if suspicion.is_request and suspicion.crashes
        )


def _newest_change(suspicion: PartSuspicion) -> float:
    return max(suspicion.last_crash_at, suspicion.sound_at)


def _weight(suspicion: PartSuspicion) -> tuple[int, float]:
    return (len(suspicion.crashes), _newest_change(suspicion))


def _strength(suspicion: PartSuspicion) -> tuple[int, float]:
    return (suspicion.strength, _newest_change(suspicion))
