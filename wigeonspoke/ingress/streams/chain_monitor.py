"""Detection of chains that no longer make progress on a stream.

When an engine of a chain dies, the head does not report it for seconds.  A
chain that is silent for longer than its usual gap between events is abandoned
if another chain can take over.  If the chain still delivers events to other
streams, the stream is only waiting for its turn.
"""

import time

from wigeonspoke.core.chains import Chain, ChainUse
from wigeonspoke.core.routing import Rule
from wigeonspoke.ingress.state import IngressState

# A chain without a first event after this fraction of the rule's target
# latency is abandoned if another one is available.
FIRST_EVENT_FRACTION = 0.5
# A started stream on a chain that still serves other streams waits for its
# turn for up to this multiple of the rule's event gap.
QUEUED_PAUSE_FACTOR = 4

# A first event is early or late if its time differs from the expected one by
# more than this factor.
ODD_TIME_FACTOR = 2


class ChainMonitor:
    """Monitors the progress of one stream, on one chain at a time.

    ``waiting_since`` is when the last event arrived or, before the first
    event, when the request was sent.  ``silent_at`` is when to check the
    chain if no event arrives.
    """

    __slots__ = (
        'has_event',
        'head_id',
        'silence_factor',
        'rule',
        'silent_at',
        'state',
        'use',
        'waiting_since',
    )

    def __init__(self, state: IngressState, rule: Rule) -> None:
        self.state = state
        self.rule = rule
        self.head_id = ''
        self.use: ChainUse | None = None
        self.has_event = False
        # Multiple of the usual silence limits.
        self.silence_factor = 1.0
        self.waiting_since = 0
        self.silent_at = 0

    def begin(
        self, chain: Chain, use: ChainUse | None, silence_factor: float = 1.0
    ) -> None:
        """Start monitoring a chain to which the stream was sent.

        ``use`` is None for a peer, whose times are not estimated.
        """
        self.head_id = chain.head.endpoint_id
        self.use = use
        self.silence_factor = silence_factor
        self.has_event = False
        self.waiting_since = time.monotonic()
        silence_limit = FIRST_EVENT_FRACTION * self.rule.target_latency_seconds
        silence_limit *= silence_factor
        self.silent_at = self.waiting_since + silence_limit

    def record_event(self) -> None:
        """Record that an event arrived, which shows that the chain works."""
        now = time.monotonic()
        gap = now - self.waiting_since if self.has_event else 0
        if gap:
            self.state.activity.record_event(self.head_id, gap, now)
        self._compare_times(gap, now)
        self.has_event = True
        self.waiting_since = now
        usual_limit = self.state.activity.silence_timeout_seconds(
            self.head_id,
            self._active_streams,
        )
        self.silent_at = now + self.silence_factor * usual_limit
        self.state.suspects.restore(self.head_id)

    def is_alive(self, now: float, *, response_started: bool) -> bool:
        """Return whether the stream may still be waiting for its turn.

        ``response_started`` is whether the client has received any event.
        """
        activity = self.state.activity
        if activity.is_silent(self.head_id, self._active_streams, now):
            return False
        silence_limit = self.rule.target_latency_seconds
        if response_started:
            silence_limit = (
                QUEUED_PAUSE_FACTOR * self.rule.target_event_gap_seconds
            )
        return now < self.waiting_since + silence_limit

    def _compare_times(self, gap: float, now: float) -> None:
        """Compare the time of an event with the expected one."""
        if self.use is None:
            return
        ratio = self.state.chains.times.record_event(self.use, gap, now)
        if ratio is None:
            return
        seen = now - self.use.begun_at
        self.state.count_event('first-event', describe_ratio(ratio))
        self.state.count_amount('first-event-ms', 'seen', seen)
        self.state.count_amount('first-event-ms', 'expected', seen / ratio)

    @property
    def _active_streams(self) -> int:
        return self.state.chains.in_flight[self.head_id]


def describe_ratio(ratio: float) -> str:
    """Return how an observed time compares with the expected one."""
    if ratio > ODD_TIME_FACTOR:
        return 'late'
    return 'early' if ratio * ODD_TIME_FACTOR < 1 else 'as-expected'
