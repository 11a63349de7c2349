"""The quarantine as one request sees it."""

import time
from collections.abc import Callable, Iterable

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.quarantine import (
    Answer,
    Refusal,
    is_request_key,
    request_key,
)
from wigeonspoke.ingress.fleet.part_watch import PartWatch
from wigeonspoke.ingress.protocols import ClientRequest

# May one request with this key be sent now, as a trial for all nodes?
ClaimTrial = Callable[[str], bool]


class AnswerWatch:
    """Decides whether a request may be sent, and records how its answer goes.

    Its keys are those of its shared parts and that of the whole request.  The
    latter is a digest of the body, and is computed only while the service has
    a suspected request, or when an attempt broke.

    ``is_trial`` is set if this request is the one that tries a quarantined
    key again.
    """

    __slots__ = (
        'account',
        'answer',
        'claim_trial',
        'endpoints',
        'is_trial',
        'part_watch',
        'parts',
        'request',
        'request_key',
        'service',
        'tried_key',
    )

    def __init__(
        self,
        part_watch: PartWatch,
        claim_trial: ClaimTrial,
        service: str,
        account: str,
        request: ClientRequest,
    ) -> None:
        self.part_watch = part_watch
        self.claim_trial = claim_trial
        self.service = service
        self.account = account
        self.request = request
        self.parts = tuple(f'{service}/{part}' for part in request.shared_parts)
        # The key of the whole request, empty until it is needed.
        self.request_key = ''
        self.answer: Answer | None = None
        self.endpoints: tuple[Endpoint, ...] = ()
        self.is_trial = False
        # The quarantined key that this request tries, if it does.
        self.tried_key = ''

    def find_refusal(self, *, can_be_sent: bool = True) -> Refusal | None:
        """Return why the request must not be sent now, None if it may be.

        A trial that is due is claimed only if the request ``can_be_sent``.
        """
        keys = self._suspicious_keys()
        if self.is_trial or not keys:
            return None
        registry = self.part_watch.registry
        refusal = registry.find_refusal(keys, time.monotonic())
        if refusal is None or refusal.retry_after > 0 or not can_be_sent:
            return refusal
        self.is_trial = self.claim_trial(refusal.part)
        if self.is_trial:
            self.tried_key = refusal.part
            return None
        return registry.find_refusal(keys, time.monotonic())

    def begin(self, endpoints: Iterable[Endpoint]) -> None:
        """Begin to watch an attempt at a replica, or at those of a chain."""
        self.endpoints = tuple(endpoints)
        starts = frozenset(endpoint.start_id for endpoint in self.endpoints)
        self.answer = Answer(self.parts, starts, sent_at=time.monotonic())

    def record_event(self) -> None:
        """Record an event of the answer."""
        if not self.answer.has_begun_well:
            self.answer.parts = self._suspicious_keys()
        self.part_watch.beginnings.record_event(self.answer, time.monotonic())

    def record_complete(self) -> None:
        """Record that the answer, which came event by event, is complete.

        Its engine may still end under one of its parts, but not under the
        whole request, which it has run to the end.
        """
        now = time.monotonic()
        self.answer.parts = self.parts
        self.part_watch.beginnings.record_complete(self.answer, now)
        self.record_whole()

    def record_whole(self) -> None:
        """Record an answer that is complete, as evidence for the request.

        It tells nothing of parts.
        """
        request_keys = self._suspicious_keys()[len(self.parts) :]
        whole = Answer(request_keys, self.answer.engines)
        self.part_watch.beginnings.record_whole(whole, time.monotonic())

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

        Return whether the request may be what ended its replica: the answer
        was in its beginning, and some part of it was never served well, or the
        whole request stands in an earlier crash.
        """
        if self.answer.has_begun_well:
            return False
        now = time.monotonic()
        self.answer.parts = (*self.parts, self._key())
        for endpoint in self.endpoints:
            self.part_watch.record_break_at(endpoint)
        self.part_watch.beginnings.record_broken(self.answer, now)
        is_unproven = self.part_watch.registry.is_unproven(self.parts, now)
        return is_unproven or self.stands_in_earlier_crash()

    def stands_in_earlier_crash(self) -> bool:
        """Return whether a replica has ended under the request before."""
        if not self.part_watch.registry.suspects_requests(self.service):
            return False
        return self.part_watch.registry.has_earlier_crash(
            self._key(), self.answer.engines
        )

    def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether the start of an endpoint is known to have ended."""
        return self.part_watch.has_ended(endpoint)

    @property
    def tries_request(self) -> bool:
        """Whether this is the trial of a whole request, not of a part."""
        return is_request_key(self.tried_key)

    def is_suspected(self) -> bool:
        """Return whether the whole request stands in any crash."""
        if not self.part_watch.registry.suspects_requests(self.service):
            return False
        return self.part_watch.registry.has_earlier_crash(self._key(), ())

    def end_trial(self) -> None:
        """Count a trial without a sound answer, so that the next one waits.

        A part's trial counts only if an engine ended under it.
        """
        if self.tries_request:
            self.part_watch.record_failed_trial(self.tried_key)

    def _suspicious_keys(self) -> tuple[str, ...]:
        """Return the keys for which there may be evidence."""
        if self.part_watch.registry.suspects_requests(self.service):
            return (*self.parts, self._key())
        return self.parts

    def _key(self) -> str:
        if not self.request_key:
            request = self.request
            self.request_key = request_key(
                self.service,
                request.method,
                request.target,
                self.account,
                request.body,
            )
        return self.request_key
