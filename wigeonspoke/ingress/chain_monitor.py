"""Whether a chain still works on a stream.

The fault it answers: an engine of the chain dies, and the head says nothing
of it for seconds.  What is silent for longer than its own rhythm is given
up, if another chain can take over; a stream whose chain goes on with others
only waits for its turn.
"""

import time

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.routing import Rule
from wigeonspoke.ingress.state import IngressState

# A chain that says nothing for this share of the time that users accept is
# given up for another, if there is one.
FIRST_EVENT_FRACTION = 0.5
# On a chain whose other streams go on, a stream waits for its turn this many
# times the pause that users accept.
QUEUED_PAUSE_FACTOR = 4


class ChainMonitor:
    """Watches one stream, at one chain after the other.

    ``waiting_since`` is when the last event came, or the request was sent;
    ``silent_at`` when the chain is to be looked at if nothing comes.
    """

    __slots__ = (
        'has_event',
        'head_id',
        'rule',
        'silent_at',
        'state',
        'waiting_since',
    )

    def __init__(self, state: IngressState, rule: Rule) -> None:
        self.state = state
        self.rule = rule
        self.head_id = ''
        self.has_event = False
        self.waiting_since = 0
        self.silent_at = 0

    def begin(self, chain: Chain) -> None:
        """Take in that the stream was sent to a chain."""
        self.head_id = chain.head.endpoint_id
        self.has_event = False
        self.waiting_since = time.monotonic()
        silence_limit = FIRST_EVENT_FRACTION * self.rule.target_seconds
        self.silent_at = self.waiting_since + silence_limit

    def note_event(self) -> None:
        """Take in that an event came: the chain works."""
        now = time.monotonic()
        gap = now - self.waiting_since if self.has_event else 0
        if gap:
            self.state.activity.note_event(self.head_id, gap, now)
        self.has_event = True
        self.waiting_since = now
        self.silent_at = now + self.state.activity.silent_seconds(
            self.head_id,
            self._active_streams,
        )
        self.state.suspects.trust(self.head_id)

    def is_alive(self, now: float, *, response_started: bool) -> bool:
        """Tell whether the stream only waits its turn, for a while.

        ``response_started`` tells whether its client has got any event.
        """
        activity = self.state.activity
        if activity.is_silent(self.head_id, self._active_streams, now):
            return False
        silence_limit = self.rule.target_seconds
        if response_started:
            silence_limit = QUEUED_PAUSE_FACTOR * self.rule.event_gap_seconds
        return now < self.waiting_since + silence_limit

    @property
    def _active_streams(self) -> int:
        return self.state.chains.in_flight[self.head_id]
