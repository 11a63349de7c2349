"""Orders that engines were given and have not yet carried out."""

from collections.abc import Collection, Iterable

import msgspec

from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.balance import balance_domain
from wigeonspoke.core.placement.plan import Placement, layers_to_load
from wigeonspoke.core.placement.repair import (
    offload_slow_engines,
    repair_domain,
)

# Engines register over some seconds at the start of a deployment.  A first
# placement made before the list is settled leaves engines out.
SETTLE_SECONDS = 1.2
# So many engines new at once come back to the list, or are new to a steward.
BULK_REGISTRATION_ENGINES = 3
# How long an order without an answer counts as one that may be carried out.
UNANSWERED_ORDER_SECONDS = 1.0
# Moves that only even out memory are made one after the other.
BALANCE_INTERVAL_SECONDS = 0.3
# An engine that says that it is at work is left alone this long.
BUSY_EXTENSION_SECONDS = 1.0
LOAD_TIME_FACTOR = 3.0
LOAD_TIME_MARGIN_SECONDS = 1.0


class PendingOrder(msgspec.Struct):
    """An order on its way, or the load that it began.

    ``expires_at`` is when it is no longer believed in.
    """

    placement: Placement
    expires_at: float


class PlacementController:
    """Decides which orders one failure domain's engines need."""

    __slots__ = (
        'is_bulk_registration',
        'known_ids',
        'last_added_at',
        'last_balanced_at',
        'pending',
        'profile',
    )

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.pending: dict[str, PendingOrder] = {}
        self.known_ids: frozenset[str] = frozenset()
        self.last_added_at = 0
        self.is_bulk_registration = False
        self.last_balanced_at = 0

    def decide(
        self,
        engines: Iterable[Endpoint],
        slow_ids: Collection[str],
        now: float,
    ) -> tuple[Placement, ...]:
        """Give the orders that are needed and not yet on their way.

        ``slow_ids`` names the engines whose work others had better do.
        """
        registered = list(engines)
        self._update_known_ids(registered, now)
        self._drop_finished(registered, now)
        if self._is_unsettled(registered, now):
            return ()
        expected = [self._with_pending_layers(engine) for engine in registered]
        repairs = repair_domain(expected, self.profile)
        if not repairs and slow_ids:
            fast = [
                each for each in expected if each.endpoint_id not in slow_ids
            ]
            repairs = offload_slow_engines(fast, self.profile)
        if repairs:
            return self._without_pending(repairs)
        if (
            self.pending
            or now < self.last_balanced_at + BALANCE_INTERVAL_SECONDS
        ):
            return ()
        self.last_balanced_at = now
        return balance_domain(registered, self.profile)

    def note_sent(self, placement: Placement, now: float) -> None:
        """Take in that an order is being sent."""
        self.pending[placement.endpoint.endpoint_id] = PendingOrder(
            placement,
            now + UNANSWERED_ORDER_SECONDS,
        )

    def note_accepted(self, placement: Placement, now: float) -> None:
        """Take in that an engine has begun to carry an order out."""
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is None or pending.placement != placement:
            return
        seconds = self.estimate_load_seconds(placement)
        pending.expires_at = (
            now + LOAD_TIME_MARGIN_SECONDS + LOAD_TIME_FACTOR * seconds
        )

    def note_busy(self, placement: Placement, now: float) -> None:
        """Take in that an engine is still at work on an order."""
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is not None and pending.placement == placement:
            pending.expires_at = max(
                pending.expires_at, now + BUSY_EXTENSION_SECONDS
            )

    def is_outstanding(self, placement: Placement, now: float) -> bool:
        """Tell whether an order is the engine's last, and may be carried out.

        That ends by itself, also where nothing is decided any more.
        """
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is None or pending.placement != placement:
            return False
        return now < pending.expires_at

    def note_refused(self, placement: Placement) -> None:
        """Take in that an engine will not carry an order out."""
        self.pending.pop(placement.endpoint.endpoint_id, None)

    def estimate_load_seconds(self, placement: Placement) -> float:
        """Estimate how long an engine takes to load what it lacks."""
        return (
            self.profile.load_seconds
            * layers_to_load(placement)
            / self.profile.layers
        )

    def _is_unsettled(self, registered: list[Endpoint], now: float) -> bool:
        """Tell whether engines may only be missing from the list as yet.

        That is so at the start of a deployment, for a steward that has just
        begun, and while entries that had run out come back.
        """
        if now >= self.last_added_at + SETTLE_SECONDS:
            return False
        is_initial = all(engine.layers is None for engine in registered)
        return is_initial or self.is_bulk_registration

    def _without_pending(
        self,
        placements: tuple[Placement, ...],
    ) -> tuple[Placement, ...]:
        return tuple(
            placement
            for placement in placements
            if placement.endpoint.endpoint_id not in self.pending
        )

    def _update_known_ids(self, registered: list[Endpoint], now: float) -> None:
        ids = frozenset(engine.endpoint_id for engine in registered)
        added = ids - self.known_ids
        if added:
            self.last_added_at = now
            self.is_bulk_registration = len(added) >= BULK_REGISTRATION_ENGINES
        self.known_ids = ids

    def _drop_finished(self, registered: list[Endpoint], now: float) -> None:
        by_id = {engine.endpoint_id: engine for engine in registered}
        for endpoint_id, pending in list(self.pending.items()):
            engine = by_id.get(endpoint_id)
            if engine is None or _is_finished(engine, pending, now):
                self.pending.pop(endpoint_id)

    def _with_pending_layers(self, engine: Endpoint) -> Endpoint:
        pending = self.pending.get(engine.endpoint_id)
        if pending is None:
            return engine
        return msgspec.structs.replace(engine, layers=pending.placement.layers)


def _is_finished(engine: Endpoint, pending: PendingOrder, now: float) -> bool:
    placement = pending.placement
    return (
        engine.born != placement.endpoint.born
        or engine.layers == placement.layers
        or now >= pending.expires_at
    )
