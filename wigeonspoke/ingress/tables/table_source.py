"""Where the rows of a table come from."""

import msgspec


class Retention(msgspec.Struct, frozen=True, omit_defaults=True):
    """For how long entries that are missing may be back, in seconds.

    ``by_key`` are those that a node keeps.  ``other`` is the time for all
    others: it is 0 once the node has followed the table for long enough to
    vouch that they did not lapse in an outage.
    """

    by_key: dict[str, float] = {}
    other: float = 0

    def seconds(self, key: str) -> float:
        """Return for how long an entry may be back, 0 if it is gone."""
        return self.by_key.get(key, self.other)


class TableSource(msgspec.Struct, frozen=True):
    """Where rows come from: the store, or a peer that has read them.

    ``peer`` is the peer's address, empty for the store.  ``known_seconds`` is
    how long ago a peer first told of the newest of the rows, None if none did.
    ``retention`` is what the peer knows of missing entries, None if nothing.
    ``may_be_older`` is whether rows may have been written before the known
    ones: the store has come back from an older copy.
    """

    peer: str = ''
    known_seconds: float | None = None
    retention: Retention | None = None
    may_be_older: bool = False

    @property
    def kind(self) -> str:
        """The kind of the source, as a label of metrics."""
        return 'peer' if self.peer else 'store'

    def describe(self) -> dict[str, object]:
        """Return the facts for the log."""
        seconds = self.known_seconds
        return {
            'source': self.peer or self.kind,
            'known_seconds': None if seconds is None else round(seconds, 3),
        }
