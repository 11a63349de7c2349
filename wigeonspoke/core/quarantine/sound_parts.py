"""Parts of prompts with which answers went well not long ago."""

import math
from collections import OrderedDict, deque
from collections.abc import Iterable

MAX_PARTS = 4096
MEMORY_SECONDS = 600.0
# News of parts served for the first time are told to peers for this time.
NEWS_SECONDS = 3.0
MAX_NEWS = 24


class SoundParts:
    """Recently served parts, and those of them that peers should hear of.

    All are bounded, whatever parts clients make up: the parts that are used
    most stay, because each answer renews theirs.  ``served_at`` holds when
    this node served a part or heard that a peer did, and ``answered_at`` when
    it served the part itself.
    """

    __slots__ = ('answered_at', 'news', 'served_at')

    def __init__(self) -> None:
        self.served_at: OrderedDict[str, float] = OrderedDict()
        self.answered_at: OrderedDict[str, float] = OrderedDict()
        self.news: deque[tuple[float, str]] = deque(maxlen=MAX_NEWS)

    def record_answer(self, parts: Iterable[str], now: float) -> None:
        """Record the parts of an answer of this node that went well."""
        answered = tuple(parts)
        _renew(self.answered_at, answered, now)
        self.record_parts(answered, now)

    def last_answer_at(self, part: str) -> float:
        """Return when this node last served a part, ``-inf`` if unknown.

        Times at which peers served it are not known exactly enough to order
        them with crashes.
        """
        return self.answered_at.get(part, -math.inf)

    def record_parts(self, parts: Iterable[str], now: float) -> None:
        """Record parts that this node or a peer has served well."""
        served = tuple(parts)
        for part in served:
            if not self.was_served(part, now):
                self.news.append((now, part))
        _renew(self.served_at, served, now)

    def was_served(self, part: str, now: float) -> bool:
        """Return whether an answer with a part went well recently."""
        served_at = self.served_at.get(part)
        return served_at is not None and now - served_at <= MEMORY_SECONDS

    def recent_news(self, now: float) -> tuple[str, ...]:
        """Return the parts that were served for the first time just now."""
        return tuple(part for at, part in self.news if now - at <= NEWS_SECONDS)


def _renew(
    times: OrderedDict[str, float], parts: tuple[str, ...], now: float
) -> None:
    """Set the time of some parts; drop those not renewed for longest."""
    for part in parts:
        times[part] = now
        times.move_to_end(part)
    while len(times) > MAX_PARTS:
        times.popitem(last=False)
