"""Versions of the store, which may come back from an older copy of itself.

The store numbers its transactions.  When it comes back from an older copy, the
numbers go back with it and are given out again, for other contents.  The store
then begins a new era, so that only era and number together name a version.
"""

import msgspec

# The era of what has none: the store, or a node of an earlier build, does not
# tell it.
UNKNOWN_ERA = 0


class StoreVersion(msgspec.Struct, frozen=True, order=True):
    """A version of the store; all of an era are later than those before it.

    >>> StoreVersion(1, 900) < StoreVersion(2, 10)
    True
    """

    era: int
    number: int


# What a node knows that has never read a table.
UNREAD = StoreVersion(UNKNOWN_ERA, -1)


class EraHistory:
    """The newest era that a node has met, and whether it has met another.

    ``current`` is :data:`UNKNOWN_ERA` until an answer of the store names one.
    """

    __slots__ = ('current', 'has_risen')

    def __init__(self) -> None:
        self.current = UNKNOWN_ERA
        self.has_risen = False

    def record(self, era: int) -> bool:
        """Record an era; return whether an earlier one has ended by it."""
        if era <= self.current:
            return False
        is_rise = self.current != UNKNOWN_ERA
        self.current = era
        self.has_risen = self.has_risen or is_rise
        return is_rise

    def complete(self, version: StoreVersion) -> StoreVersion:
        """Return a version that a peer told, with an era if it named none.

        Nodes of earlier builds name none.  As long as this node has met only
        one era, the peer's is taken for the same.  Afterwards nothing tells
        whether the peer has met it, too, and the version is older than any
        that has an era.
        """
        if version.era != UNKNOWN_ERA or self.has_risen:
            return version
        return StoreVersion(self.current, version.number)
