"""The quarantine as one stream sees it."""

import time
from collections.abc import Callable

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.quarantine import Answer, Refusal
from wigeonspoke.ingress.part_watch import PartWatch

# May one request with this part be sent now, as a trial for all nodes?
ClaimTrial = Callable[[str], bool]


class AnswerWatch:
    """Decides whether a stream may be sent, and records how it begins.

    ``is_trial`` is set if this request is the one that tries a quarantined
    part again.
    """

    __slots__ = (
        'answer',
        'claim_trial',
        'is_trial',
        'part_watch',
        'parts',
    )

    def __init__(
        self,
        part_watch: PartWatch,
        claim_trial: ClaimTrial,
        service: str,
        shared_parts: tuple[str, ...],
    ) -> None:
        self.part_watch = part_watch
        self.claim_trial = claim_trial
        self.parts = tuple(f'{service}/{part}' for part in shared_parts)
        self.answer: Answer | None = None
        self.is_trial = False

    def find_refusal(self) -> Refusal | None:
        """Return why the request must not be sent now, None if it may be."""
        if self.is_trial or not self.parts:
            return None
        registry = self.part_watch.registry
        refusal = registry.find_refusal(self.parts, time.monotonic())
        if refusal is None or refusal.retry_after > 0:
            return refusal
        self.is_trial = self.claim_trial(refusal.part)
        if self.is_trial:
            return None
        return registry.find_refusal(self.parts, time.monotonic())

    def begin(self, chain: Chain) -> None:
        """Begin to watch an attempt at a chain."""
        engines = frozenset(hop.endpoint.start_id for hop in chain.hops)
        self.answer = Answer(self.parts, engines, sent_at=time.monotonic())

    def record_event(self) -> None:
        """Record an event of the answer."""
        self.part_watch.beginnings.record_event(self.answer, time.monotonic())

    def record_complete(self) -> None:
        """Record that the answer is complete."""
        now = time.monotonic()
        self.part_watch.beginnings.record_complete(self.answer, now)

    def describe_progress(self) -> dict[str, float | None]:
        """Return for the log how far the answer is, in seconds."""
        now = time.monotonic()
        first_event_at = self.answer.first_event_at
        first_event_age = None
        if first_event_at is not None:
            first_event_age = round(now - first_event_at, 3)
        return {
            'sent_ago': round(now - self.answer.sent_at, 3),
            'first_event_ago': first_event_age,
        }

    def record_broken(self) -> bool:
        """Record that the answer broke.

        Return whether the request may be what ended its engine: the answer
        was in its beginning, and some part of it was never served well.
        """
        now = time.monotonic()
        self.part_watch.beginnings.record_broken(self.answer, now)
        return (
            not self.answer.has_begun_well
            and self.part_watch.registry.is_unproven(self.parts, now)
        )
