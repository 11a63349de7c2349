"""Parts of prompts with which answers went well not long ago."""

from collections import OrderedDict, deque
from collections.abc import Iterable

MAX_PARTS = 4096
MEMORY_SECONDS = 600.0
# News of parts served for the first time are told to peers for this time.
NEWS_SECONDS = 3.0
MAX_NEWS = 24


class SoundParts:
    """Recently served parts, and those of them that peers should hear of.

    Both are bounded, whatever parts clients make up: the parts that are used
    most stay, because each answer renews theirs.
    """

    __slots__ = ('news', 'served_at')

    def __init__(self) -> None:
        self.served_at: OrderedDict[str, float] = OrderedDict()
        self.news: deque[tuple[float, str]] = deque(maxlen=MAX_NEWS)

    def record_parts(self, parts: Iterable[str], now: float) -> None:
        """Record parts that this node or a peer has served well."""
        for part in parts:
            if not self.was_served(part, now):
                self.news.append((now, part))
            self.served_at[part] = now
            self.served_at.move_to_end(part)
        while len(self.served_at) > MAX_PARTS:
            self.served_at.popitem(last=False)

    def was_served(self, part: str, now: float) -> bool:
        """Return whether an answer with a part went well recently."""
        served_at = self.served_at.get(part)
        return served_at is not None and now - served_at <= MEMORY_SECONDS

    def recent_news(self, now: float) -> tuple[str, ...]:
        """Return the parts that were served for the first time just now."""
        return tuple(part for at, part in self.news if now - at <= NEWS_SECONDS)
