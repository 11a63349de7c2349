"""What this node sees of the parts and requests under which replicas end."""

import time
from collections.abc import Callable

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.quarantine import (
    Answer,
    BeginningTracker,
    PartRegistry,
    PartReport,
    PartSuspicion,
)
from wigeonspoke.decisions import DecisionLog


# Addresses at which answers broke of which the start is remembered.
MAX_BROKEN_ADDRESSES = 256


class PartWatch:
    """Records how answers begin, and logs what follows for their parts.

    ``on_news`` is called when peers should hear of new evidence at once.
    """

    __slots__ = ('beginnings', 'broken_at', 'log', 'on_news', 'registry')

    def __init__(self, log: DecisionLog, on_news: Callable[[], None]) -> None:
        self.log = log
        self.on_news = on_news
        self.registry = PartRegistry()
        self.beginnings = BeginningTracker(self._record_crash, self._clear)
        # The last endpoint at which an answer broke, by address.
        self.broken_at: dict[str, Endpoint] = {}

    def record_break_at(self, endpoint: Endpoint) -> None:
        """Remember at which start of an endpoint an answer broke."""
        self.broken_at.pop(endpoint.address, None)
        self.broken_at[endpoint.address] = endpoint
        if len(self.broken_at) > MAX_BROKEN_ADDRESSES:
            self.broken_at.pop(next(iter(self.broken_at)))

    def record_listed(self, endpoint: Endpoint) -> None:
        """Record an entry of the registry.

        One of another start proves that the start at its address before it has
        ended.
        """
        before = self.broken_at.get(endpoint.address)
        if before is None or before.start_id == endpoint.start_id:
            return
        if endpoint.born >= before.born:
            self.broken_at.pop(endpoint.address)
            self.record_engine_end(before, 'address used again')

    def record_engine_end(self, endpoint: Endpoint, evidence: str) -> None:
        """Record that this start of an engine has ended."""
        start = endpoint.start_id
        if self.beginnings.has_ended(start):
            return
        broken = self.beginnings.record_engine_end(start, time.monotonic())
        self.log.write(
            'engine-ended',
            endpoint=endpoint.endpoint_id,
            address=endpoint.address,
            born=endpoint.born,
            evidence=evidence,
            beginnings=len(broken),
        )

    def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether this start of an engine is known to have ended."""
        return self.beginnings.has_ended(endpoint.start_id)

    def record_engine_alive(self, endpoint: Endpoint, asked_at: float) -> None:
        """Record that this start of an engine answered a probe."""
        start = endpoint.start_id
        self.beginnings.record_engine_alive(start, asked_at)

    def merge(self, report: PartReport, source: str) -> bool:
        """Merge what another node knows; return whether it was news."""
        now = time.monotonic()
        registry = self.registry
        known = registry.suspicions.get(report.part)
        was_confirmed = known is not None and known.is_confirmed
        if not registry.merge(report, now):
            return False
        suspicion = registry.suspicions.get(report.part)
        if suspicion is None:
            return True
        if was_confirmed and not suspicion.is_confirmed:
            self._log(suspicion, 'part-cleared', source)
        else:
            self._log_evidence(suspicion, source, was_confirmed)
        return True

    def record_failed_trial(self, key: str) -> None:
        """Record that a trial had no sound answer."""
        if self.registry.record_failed_trial(key):
            self.log.write('part-trial-failed', part=key)
            self.on_news()

    def _record_crash(self, answer: Answer, engine: str, at: float) -> None:
        changed = self.registry.record_crash(answer.parts, engine, at)
        for suspicion in changed:
            self._log_evidence(suspicion, 'own', suspicion.is_confirmed)
        if changed:
            self.on_news()

    def _clear(self, answer: Answer, now: float) -> None:
        cleared = self.registry.record_sound(answer.parts, now)
        for suspicion in cleared:
            self._log(suspicion, 'part-cleared', 'own')
        if cleared:
            self.on_news()

    def _log_evidence(
        self, suspicion: PartSuspicion, source: str, was_confirmed: bool
    ) -> None:
        now = time.monotonic()
        is_quarantined = self.registry.is_quarantined(suspicion, now)
        kind = 'part-suspected'
        if is_quarantined and not was_confirmed:
            kind = 'part-quarantined'
        self._log(suspicion, kind, source)

    def _log(self, suspicion: PartSuspicion, kind: str, source: str) -> None:
        now = time.monotonic()
        self.log.write(
            kind,
            part=suspicion.part,
            source=source,
            engines={
                engine: round(now - crash.at, 3)
                for engine, crash in suspicion.crashes.items()
            },
            beside=sorted(suspicion.companions),
            next_trial=round(suspicion.next_trial_at - now, 3)
            if suspicion.crashes
            else None,
        )
