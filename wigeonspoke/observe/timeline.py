"""The timeline of a process: a bounded buffer of typed events."""

import heapq
from collections import deque
from collections.abc import Iterable

import msgspec

from wigeonspoke.observe.hybrid_clock import HybridClock, HybridTime

MAX_EVENTS = 4096


class TimelineEvent(msgspec.Struct, frozen=True):
    """One change of state in one process."""

    at: HybridTime
    node: str
    failure_domain: str
    kind: str
    peer: str = ''
    request_id: str = ''
    detail: str = ''


class Timeline:
    """The latest ``MAX_EVENTS`` events of one process."""

    __slots__ = ('clock', 'events', 'failure_domain', 'node')

    def __init__(
        self,
        node: str,
        failure_domain: str,
        clock: HybridClock,
    ) -> None:
        self.node = node
        self.failure_domain = failure_domain
        self.clock = clock
        self.events: deque[TimelineEvent] = deque(maxlen=MAX_EVENTS)

    def add(
        self,
        kind: str,
        peer: str = '',
        request_id: str = '',
        detail: str = '',
    ) -> None:
        """Add an event with the current time."""
        self.events.append(
            TimelineEvent(
                at=self.clock.tick(),
                node=self.node,
                failure_domain=self.failure_domain,
                kind=kind,
                peer=peer,
                request_id=request_id,
                detail=detail,
            ),
        )

    def select(self, request_id: str = '') -> tuple[TimelineEvent, ...]:
        """Return all events, or those of one request."""
        return tuple(
            event
            for event in self.events
            if request_id in ('', event.request_id)
        )


def merge_events(
    timelines: Iterable[Iterable[TimelineEvent]],
) -> list[TimelineEvent]:
    """Merge the timelines of several processes in causal order."""
    return list(heapq.merge(*timelines, key=_causal_key))


def _causal_key(event: TimelineEvent) -> tuple[HybridTime, str]:
    return (event.at, event.node)
