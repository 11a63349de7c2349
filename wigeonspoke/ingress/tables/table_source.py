"""Where the rows of a table come from."""

import msgspec


class TableSource(msgspec.Struct, frozen=True):
    """Where rows come from: the store, or a peer that has read them.

    ``peer`` is the peer's address, empty for the store.  ``known_seconds`` is
    how long ago a peer first told of the newest of the rows, None if none did.
    """

    peer: str = ''
    known_seconds: float | None = None

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
