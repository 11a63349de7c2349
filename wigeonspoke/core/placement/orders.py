"""Orders that engines were given and have not yet carried out."""

from collections.abc import Collection, Iterable

import msgspec

from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.balance import balance_domain
from wigeonspoke.core.placement.plan import Placing, loaded_layers
from wigeonspoke.core.placement.repair import repair_domain, replace_slow

# Engines register over some seconds at the start of a deployment.  A first
# placement made before the list is settled leaves engines out.
SETTLE_SECONDS = 1.2
# So many engines new at once come back to the list, or are new to a steward.
RETURNING_ENGINES = 3
# How long an order without an answer counts as one that may be carried out.
UNANSWERED_SECONDS = 1.0
# Moves that only even out memory are made one after the other.
BALANCE_SECONDS = 0.3
# An engine that says that it is at work is left alone this long.
BUSY_SECONDS = 1.0
LOAD_SLACK = 3.0
LOAD_SLACK_SECONDS = 1.0


class PendingOrder(msgspec.Struct):
    """An order on its way, or the load that it began.

    ``due_at`` is when it is no longer believed in.
    """

    placing: Placing
    due_at: float


class Steward:
    """Decides which orders one failure domain's engines need."""

    __slots__ = (
        'balanced_at',
        'grown_at',
        'is_returning',
        'known_ids',
        'pending',
        'profile',
    )

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.pending: dict[str, PendingOrder] = {}
        self.known_ids: frozenset[str] = frozenset()
        self.grown_at = 0
        self.is_returning = False
        self.balanced_at = 0

    def decide(
        self,
        engines: Iterable[Endpoint],
        slow_ids: Collection[str],
        now: float,
    ) -> tuple[Placing, ...]:
        """Give the orders that are needed and not yet on their way.

        ``slow_ids`` names the engines whose work others had better do.
        """
        listed = list(engines)
        self._note_list(listed, now)
        self._forget(listed, now)
        if self._is_unsettled(listed, now):
            return ()
        expected = [self._expected(engine) for engine in listed]
        repairs = repair_domain(expected, self.profile)
        if not repairs and slow_ids:
            fast = [
                each for each in expected if each.endpoint_id not in slow_ids
            ]
            repairs = replace_slow(fast, self.profile)
        if repairs:
            return self._still_needed(repairs)
        if self.pending or now < self.balanced_at + BALANCE_SECONDS:
            return ()
        self.balanced_at = now
        return balance_domain(listed, self.profile)

    def note_sent(self, placing: Placing, now: float) -> None:
        """Take in that an order is being sent."""
        self.pending[placing.endpoint.endpoint_id] = PendingOrder(
            placing,
            now + UNANSWERED_SECONDS,
        )

    def note_accepted(self, placing: Placing, now: float) -> None:
        """Take in that an engine has begun to carry an order out."""
        pending = self.pending.get(placing.endpoint.endpoint_id)
        if pending is None or pending.placing != placing:
            return
        seconds = self.load_seconds(placing)
        pending.due_at = now + LOAD_SLACK_SECONDS + LOAD_SLACK * seconds

    def note_busy(self, placing: Placing, now: float) -> None:
        """Take in that an engine is still at work on an order."""
        pending = self.pending.get(placing.endpoint.endpoint_id)
        if pending is not None and pending.placing == placing:
            pending.due_at = max(pending.due_at, now + BUSY_SECONDS)

    def is_awaited(self, placing: Placing, now: float) -> bool:
        """Tell whether an order is the engine's last, and may be carried out.

        That ends by itself, also where nothing is decided any more.
        """
        pending = self.pending.get(placing.endpoint.endpoint_id)
        if pending is None or pending.placing != placing:
            return False
        return now < pending.due_at

    def note_refused(self, placing: Placing) -> None:
        """Take in that an engine will not carry an order out."""
        self.pending.pop(placing.endpoint.endpoint_id, None)

    def load_seconds(self, placing: Placing) -> float:
        """Estimate how long an engine takes to load what it lacks."""
        return (
            self.profile.load_seconds
            * loaded_layers(placing)
            / self.profile.layers
        )

    def _is_unsettled(self, listed: list[Endpoint], now: float) -> bool:
        """Tell whether engines may only be missing from the list as yet.

        That is so at the start of a deployment, for a steward that has just
        begun, and while entries that had run out come back.
        """
        if now >= self.grown_at + SETTLE_SECONDS:
            return False
        is_fresh = all(engine.layers is None for engine in listed)
        return is_fresh or self.is_returning

    def _still_needed(
        self,
        placings: tuple[Placing, ...],
    ) -> tuple[Placing, ...]:
        return tuple(
            placing
            for placing in placings
            if placing.endpoint.endpoint_id not in self.pending
        )

    def _note_list(self, listed: list[Endpoint], now: float) -> None:
        ids = frozenset(engine.endpoint_id for engine in listed)
        grown = ids - self.known_ids
        if grown:
            self.grown_at = now
            self.is_returning = len(grown) >= RETURNING_ENGINES
        self.known_ids = ids

    def _forget(self, listed: list[Endpoint], now: float) -> None:
        by_id = {engine.endpoint_id: engine for engine in listed}
        for endpoint_id, pending in list(self.pending.items()):
            engine = by_id.get(endpoint_id)
            if engine is None or _is_over(engine, pending, now):
                self.pending.pop(endpoint_id)

    def _expected(self, engine: Endpoint) -> Endpoint:
        pending = self.pending.get(engine.endpoint_id)
        if pending is None:
            return engine
        return msgspec.structs.replace(engine, layers=pending.placing.layers)


def _is_over(engine: Endpoint, pending: PendingOrder, now: float) -> bool:
    ordered = pending.placing
    return (
        engine.born != ordered.endpoint.born
        or engine.layers == ordered.layers
        or now >= pending.due_at
    )
