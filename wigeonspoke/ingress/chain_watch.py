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
FIRST_EVENT_SHARE = 0.5
# On a chain whose other streams go on, a stream waits for its turn this many
# times the pause that users accept.
TURN_FACTOR = 4


class ChainWatch:
    """Watches one stream, at one chain after the other.

    ``waits_since`` is when the last event came, or the request was sent;
    ``silent_at`` when the chain is to be looked at if nothing comes.
    """

    __slots__ = (
        'has_event',
        'head_id',
        'rule',
        'silent_at',
        'state',
        'waits_since',
    )

    def __init__(self, state: IngressState, rule: Rule) -> None:
        self.state = state
        self.rule = rule
        self.head_id = ''
        self.has_event = False
        self.waits_since = 0
        self.silent_at = 0

    def begin(self, chain: Chain) -> None:
        """Take in that the stream was sent to a chain."""
        self.head_id = chain.head.endpoint_id
        self.has_event = False
        self.waits_since = time.monotonic()
        patience = FIRST_EVENT_SHARE * self.rule.target_latency_seconds
        self.silent_at = self.waits_since + patience

    def note_event(self) -> None:
        """Take in that an event came: the chain works."""
        now = time.monotonic()
        gap = now - self.waits_since if self.has_event else 0
        if gap:
            self.state.activity.note_event(self.head_id, gap, now)
        self.has_event = True
        self.waits_since = now
        self.silent_at = now + self.state.activity.silence_timeout_seconds(
            self.head_id,
            self._streams,
        )
        self.state.suspects.restore(self.head_id)

    def is_alive(self, now: float, *, started: bool) -> bool:
        """Tell whether the stream only waits its turn, for a while.

        ``started`` tells whether its client has got any event.
        """
        activity = self.state.activity
        if activity.is_silent(self.head_id, self._streams, now):
            return False
        patience = self.rule.target_latency_seconds
        if started:
            patience = TURN_FACTOR * self.rule.target_event_gap_seconds
        return now < self.waits_since + patience

    @property
    def _streams(self) -> int:
        return self.state.chains.in_flight[self.head_id]
