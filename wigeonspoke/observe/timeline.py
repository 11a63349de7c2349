"""The time line: a bounded ring of typed events in each process."""

import heapq
from collections import deque
from collections.abc import Iterable

import msgspec

from wigeonspoke.observe.hybrid_clock import HybridClock, HybridTime

MAX_EVENTS = 4096


class TimelineEvent(msgspec.Struct, frozen=True):
    """One change of state of one process."""

    at: HybridTime
    node: str
    failure_domain: str
    kind: str
    peer: str = ''
    request_id: str = ''
    detail: str = ''


class Timeline:
    """The latest events of one process; older ones are dropped."""

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
        """Add an event that happens now."""
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
        """Give all events, or those of one request."""
        return tuple(
            event
            for event in self.events
            if request_id in ('', event.request_id)
        )


def merge_events(
    timelines: Iterable[Iterable[TimelineEvent]],
) -> list[TimelineEvent]:
    """Merge the events of several processes in causal order."""
    return list(heapq.merge(*timelines, key=_causal_key))


def _causal_key(event: TimelineEvent) -> tuple[HybridTime, str]:
    return (event.at, event.node)
