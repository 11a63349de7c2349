"""Which beginnings of prompts are held by which run of an engine.

A beginning is held while a request with it runs there, and for the retention
time after it.  The sources are the node's own requests and the cache events
that some engines publish, which come late and with gaps.
"""

import math
from collections.abc import Iterable, Sequence

import msgspec

from wigeonspoke.core.prefixes.prefix import Prefix

# About 1 MB.  The entry that was used least recently is dropped.
MAX_ENTRIES = 4096
# Runs whose number of cache events is kept.
MAX_RUNS = 1024


class CacheEvent(msgspec.Struct, frozen=True):
    """An engine stored or removed a beginning of a prompt.

    ``sequence`` counts the events of the run, and ``age`` is how many seconds
    ago it happened.
    """

    run: str
    sequence: int
    age: float
    prefix: Prefix
    is_stored: bool


class _Entry(msgspec.Struct):
    """A beginning at a run: requests that use it, and how long it is held."""

    users: int = 0
    held_until: float = -math.inf
    used_at: float = -math.inf


class PrefixIndex:
    """Held beginnings by run and name, the least recently used ones first.

    ``runs_by_name`` holds the runs with an entry for a name, and
    ``sequences`` the newest cache event of a run.
    """

    __slots__ = ('entries', 'runs_by_name', 'sequences')

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], _Entry] = {}
        self.runs_by_name: dict[str, set[str]] = {}
        self.sequences: dict[str, int] = {}

    def record_begin(
        self, run: str, prefixes: Iterable[Prefix], now: float
    ) -> None:
        """Record that a run has read a prompt of this node's request."""
        for prefix in prefixes:
            entry = self._touch(run, prefix.name)
            entry.users += 1
            entry.used_at = now

    def record_end(
        self,
        run: str,
        prefixes: Iterable[Prefix],
        now: float,
        retention_seconds: float,
    ) -> None:
        """Record that a request has ended, after which its prompt is kept."""
        for prefix in prefixes:
            entry = self.entries.get((run, prefix.name))
            if entry is None:
                continue
            entry.users = max(0, entry.users - 1)
            entry.used_at = now
            entry.held_until = max(entry.held_until, now + retention_seconds)
            self._drop_if_over(run, prefix.name, now)

    def record_event(
        self, event: CacheEvent, now: float, retention_seconds: float
    ) -> None:
        """Record what an engine published.

        After a gap in its events, what was known of the run beside this
        node's running requests may have been removed, and is forgotten.
        """
        known = self.sequences.get(event.run, event.sequence - 1)
        if event.sequence <= known:
            return
        self.sequences.pop(event.run, None)
        self.sequences[event.run] = event.sequence
        if len(self.sequences) > MAX_RUNS:
            self.sequences.pop(next(iter(self.sequences)))
        if event.sequence > known + 1:
            self._forget_unused(event.run)
        happened_at = now - max(0, event.age)
        name = event.prefix.name
        if event.is_stored:
            held_until = happened_at + retention_seconds
            if held_until > now:
                entry = self._touch(event.run, name)
                entry.held_until = max(entry.held_until, held_until)
            return
        entry = self.entries.get((event.run, name))
        # A request that used it since has stored it again.
        if entry and not entry.users and entry.used_at <= happened_at:
            self._drop(event.run, name)

    def held_tokens(
        self, run: str, prefixes: Sequence[Prefix], now: float
    ) -> int:
        """Return the length of the longest beginning that a run holds."""
        if not self.entries:
            return 0
        for prefix in reversed(prefixes):
            entry = self.entries.get((run, prefix.name))
            if entry is not None and (entry.users or now < entry.held_until):
                return prefix.tokens
        return 0

    def holders(self, prefixes: Sequence[Prefix]) -> frozenset[str]:
        """Return the runs that may hold the longest beginning held by any."""
        for prefix in reversed(prefixes):
            runs = self.runs_by_name.get(prefix.name)
            if runs:
                return frozenset(runs)
        return frozenset()

    def end_run(self, run: str) -> None:
        """Forget what a run held, when it has ended."""
        self.sequences.pop(run, None)
        names = [name for holder, name in self.entries if holder == run]
        for name in names:
            self._drop(run, name)

    def _touch(self, run: str, name: str) -> _Entry:
        """Return an entry and move it to the end of the order of use."""
        entry = self.entries.pop((run, name), None) or _Entry()
        self.entries[run, name] = entry
        self.runs_by_name.setdefault(name, set()).add(run)
        if len(self.entries) > MAX_ENTRIES:
            self._drop(*next(iter(self.entries)))
        return entry

    def _forget_unused(self, run: str) -> None:
        unused = [
            name
            for (holder, name), entry in self.entries.items()
            if holder == run and not entry.users
        ]
        for name in unused:
            self._drop(run, name)

    def _drop_if_over(self, run: str, name: str, now: float) -> None:
        entry = self.entries[run, name]
        if not entry.users and entry.held_until <= now:
            self._drop(run, name)

    def _drop(self, run: str, name: str) -> None:
        self.entries.pop((run, name))
        runs = self.runs_by_name[name]
        runs.discard(run)
        if not runs:
            self.runs_by_name.pop(name)
