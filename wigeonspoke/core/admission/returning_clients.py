"""Refused requests whose clients may return."""

from collections import OrderedDict

import msgspec

# Refused requests that are remembered.
MAX_ENTRIES = 1024
# How long after Retry-After a client may return and keep its place.
RETURN_SECONDS = 2.0
# How much too early a client may return without losing its place: clocks
# differ, and Retry-After has two decimal places.
EARLY_SECONDS = 0.02


class _RefusedRequest(msgspec.Struct, frozen=True):
    refused_at: float
    return_at: float
    first_deadline: float


class ReturningClients:
    """Gives refused requests that return their place in the queue.

    One that waited as it was told gets the place of its first arrival, and
    one that did not comes behind the others of its account.  Entries are keyed
    by account and by what makes a request the same when it comes again.
    """

    __slots__ = ('refused',)

    def __init__(self) -> None:
        self.refused: OrderedDict[tuple[str, str], _RefusedRequest] = (
            OrderedDict()
        )

    def record_refusal(
        self,
        key: tuple[str, str],
        retry_after: float,
        place: tuple[int, float],
        now: float,
    ) -> None:
        """Record that a request was refused at its place."""
        self.refused[key] = _RefusedRequest(now, now + retry_after, place[1])
        self.refused.move_to_end(key)
        if len(self.refused) > MAX_ENTRIES:
            self.refused.popitem(last=False)

    def place(
        self, key: tuple[str, str], deadline: float, now: float
    ) -> tuple[int, float]:
        """Return the place of a request among those of its account."""
        known = self.refused.pop(key, None)
        is_forgotten = known is None or now < known.refused_at
        if is_forgotten or now > known.return_at + RETURN_SECONDS:
            return (0, deadline)
        if now < known.return_at - EARLY_SECONDS:
            return (1, deadline)
        return (0, known.first_deadline)
