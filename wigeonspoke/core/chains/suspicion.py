"""Engines that are thought to be gone, until they answer again.

The fault it answers: an engine that dies or is cut off says nothing, and
the registry lists it for several heartbeats more.  What a node sees by
itself (a refused connection, a stream that falls silent, a refusal that
names the engine) takes the engine out of its chains at once.
"""

import msgspec

from wigeonspoke.core.fleet import Endpoint

PROBE_INTERVAL_SECONDS = 1.0
# A pace from which work is better done elsewhere.
SLOWDOWN_THRESHOLD = 2.0
# How long the silence of a chain keeps new work away from it while its
# engines are asked one by one.
DEPRIORITIZE_SECONDS = 0.5


class Suspicion(msgspec.Struct):
    """Why an engine gets no work, and when to ask it again.

    One that ``refuses`` answers, but takes nothing new; it leaves, most
    likely, before the registry could tell.
    """

    endpoint: Endpoint
    reason: str
    since: float
    probe_at: float
    refuses: bool = False


class SuspectRegistry:
    """Suspicions by endpoint id, and doubts about heads of chains.

    ``slow`` holds the engines that answer, but work many times slower than
    their kind should.  ``changes`` rises when a suspicion begins or ends.
    """

    __slots__ = ('changes', 'deprioritized_until', 'slow', 'suspicions')

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.slow: dict[str, Suspicion] = {}
        self.deprioritized_until: dict[str, float] = {}
        self.changes = 0

    def suspect(
        self,
        endpoint: Endpoint,
        reason: str,
        now: float,
        *,
        refuses: bool = False,
    ) -> bool:
        """Suspect an engine; tell whether that is new."""
        known = self.suspicions.get(endpoint.endpoint_id)
        if known is not None and known.endpoint.born == endpoint.born:
            known.probe_at = now + PROBE_INTERVAL_SECONDS
            return False
        self.suspicions[endpoint.endpoint_id] = Suspicion(
            endpoint,
            reason,
            now,
            now + PROBE_INTERVAL_SECONDS,
            refuses,
        )
        self.changes += 1
        return True

    def clear(self, endpoint_id: str) -> bool:
        """End the suspicion of an engine; tell whether there was one."""
        removed = self.suspicions.pop(endpoint_id, None)
        if removed is not None:
            self.changes += 1
        return removed is not None

    def is_suspect(self, endpoint: Endpoint) -> bool:
        """Tell whether this start of an engine is under suspicion."""
        known = self.suspicions.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def note_slowdown(
        self, endpoint: Endpoint, slowdown: float, now: float
    ) -> bool:
        """Take in how slow an engine says it is; tell whether that is news.

        A pace of 1 is that of its kind, 2 takes twice as long.
        """
        endpoint_id = endpoint.endpoint_id
        if slowdown < SLOWDOWN_THRESHOLD:
            known = self.slow.pop(endpoint_id, None)
            self.changes += known is not None
            return known is not None
        if endpoint_id in self.slow:
            return False
        reason = f'pace {slowdown:.1f}'
        probe_at = now + PROBE_INTERVAL_SECONDS
        self.slow[endpoint_id] = Suspicion(endpoint, reason, now, probe_at)
        self.changes += 1
        return True

    def is_slow(self, endpoint: Endpoint) -> bool:
        """Tell whether this start of an engine is slow."""
        known = self.slow.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def remove(self, endpoint_id: str) -> None:
        """Forget all about an endpoint that is gone."""
        self.clear(endpoint_id)
        if self.slow.pop(endpoint_id, None) is not None:
            self.changes += 1

    def all(self) -> tuple[Suspicion, ...]:
        """Give all suspicions."""
        return (*self.suspicions.values(), *self.slow.values())

    def take_due(self, now: float) -> list[Suspicion]:
        """Give the suspicions to look into again, each once a while."""
        due = [
            suspicion for suspicion in self.all() if suspicion.probe_at <= now
        ]
        for suspicion in due:
            suspicion.probe_at = now + PROBE_INTERVAL_SECONDS
        return due

    def deprioritize(self, head_id: str, now: float) -> bool:
        """Keep new work from a chain for a moment; tell whether new."""
        is_new = not self.is_deprioritized(head_id, now)
        self.deprioritized_until[head_id] = now + DEPRIORITIZE_SECONDS
        return is_new

    def restore(self, head_id: str) -> None:
        """Take a doubt back: the chain has shown that it works."""
        self.deprioritized_until.pop(head_id, None)

    def is_deprioritized(self, head_id: str, now: float) -> bool:
        """Tell whether a chain is under doubt."""
        return self.deprioritized_until.get(head_id, 0) > now
