"""Engines that are thought to be gone, until they answer again.

The fault it answers: an engine that dies or is cut off says nothing, and
the registry lists it for several heartbeats more.  What a node sees by
itself (a refused connection, a stream that falls silent, a refusal that
names the engine) takes the engine out of its chains at once.
"""

import msgspec

from wigeonspoke.core.fleet import Endpoint

SUSPECT_SECONDS = 1.0
# A pace from which work is better done elsewhere.
SLOW_PACE = 2.0
# How long the silence of a chain keeps new work away from it while its
# engines are asked one by one.
DOUBT_SECONDS = 0.5


class Suspicion(msgspec.Struct):
    """Why an engine gets no work, and when to ask it again.

    One that ``refuses`` answers, but takes nothing new; it leaves, most
    likely, before the registry could tell.
    """

    endpoint: Endpoint
    reason: str
    since: float
    ask_at: float
    refuses: bool = False


class SuspectBook:
    """Suspicions by endpoint id, and doubts about heads of chains.

    ``slow`` holds the engines that answer, but work many times slower than
    their kind should.  ``changes`` rises when a suspicion begins or ends.
    """

    __slots__ = ('changes', 'doubts', 'slow', 'suspicions')

    def __init__(self) -> None:
        self.suspicions: dict[str, Suspicion] = {}
        self.slow: dict[str, Suspicion] = {}
        self.doubts: dict[str, float] = {}
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
            known.ask_at = now + SUSPECT_SECONDS
            return False
        self.suspicions[endpoint.endpoint_id] = Suspicion(
            endpoint,
            reason,
            now,
            now + SUSPECT_SECONDS,
            refuses,
        )
        self.changes += 1
        return True

    def clear(self, endpoint_id: str) -> bool:
        """End the suspicion of an engine; tell whether there was one."""
        gone = self.suspicions.pop(endpoint_id, None)
        if gone is not None:
            self.changes += 1
        return gone is not None

    def is_suspect(self, endpoint: Endpoint) -> bool:
        """Tell whether this start of an engine is under suspicion."""
        known = self.suspicions.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def note_pace(self, endpoint: Endpoint, pace: float, now: float) -> bool:
        """Take in how slow an engine says it is; tell whether that is news.

        A pace of 1 is that of its kind, 2 takes twice as long.
        """
        endpoint_id = endpoint.endpoint_id
        if pace < SLOW_PACE:
            known = self.slow.pop(endpoint_id, None)
            self.changes += known is not None
            return known is not None
        if endpoint_id in self.slow:
            return False
        reason = f'pace {pace:.1f}'
        ask_at = now + SUSPECT_SECONDS
        self.slow[endpoint_id] = Suspicion(endpoint, reason, now, ask_at)
        self.changes += 1
        return True

    def is_slow(self, endpoint: Endpoint) -> bool:
        """Tell whether this start of an engine is slow."""
        known = self.slow.get(endpoint.endpoint_id)
        return known is not None and known.endpoint.born == endpoint.born

    def forget(self, endpoint_id: str) -> None:
        """Forget all about an endpoint that is gone."""
        self.clear(endpoint_id)
        if self.slow.pop(endpoint_id, None) is not None:
            self.changes += 1

    def all(self) -> tuple[Suspicion, ...]:
        """Give all suspicions."""
        return (*self.suspicions.values(), *self.slow.values())

    def due(self, now: float) -> list[Suspicion]:
        """Give the suspicions to look into again, each once a while."""
        found = [
            suspicion for suspicion in self.all() if suspicion.ask_at <= now
        ]
        for suspicion in found:
            suspicion.ask_at = now + SUSPECT_SECONDS
        return found

    def doubt(self, head_id: str, now: float) -> bool:
        """Keep new work from a chain for a moment; tell whether new."""
        is_new = not self.is_doubted(head_id, now)
        self.doubts[head_id] = now + DOUBT_SECONDS
        return is_new

    def trust(self, head_id: str) -> None:
        """Take a doubt back: the chain has shown that it works."""
        self.doubts.pop(head_id, None)

    def is_doubted(self, head_id: str, now: float) -> bool:
        """Tell whether a chain is under doubt."""
        return self.doubts.get(head_id, 0) > now
