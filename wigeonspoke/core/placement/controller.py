"""Decide which placement orders to send to the engines of a domain.

An order tells an engine to hold a range of layers.  The controller keeps
track of orders that engines have not carried out yet.
"""

from collections.abc import Collection, Iterable

import msgspec

from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.placement.balance import balance_copy
from wigeonspoke.core.placement.copies import (
    Division,
    divide_engines,
    relieve_engine,
)
from wigeonspoke.core.placement.plan import Placement, layers_to_load
from wigeonspoke.core.placement.repair import relieve_engines, repair_copy

# Engines register over some seconds at the start of a deployment.  A first
# plan made before the registrations settle would leave engines out.  Orders
# then wait until no engine has been added for this long.
SETTLE_SECONDS = 1.2
# Engines added at once, from which on it is assumed that expired registry
# entries are coming back or that this controller has just started.
BULK_REGISTRATION_ENGINES = 3
# An order without an answer may still be carried out.  It counts as pending
# for this long.
UNANSWERED_ORDER_SECONDS = 1.0
# Minimum interval between placements that only balance token capacity.
BALANCE_INTERVAL_SECONDS = 0.3
# A busy engine is not given another order for this long.
BUSY_EXTENSION_SECONDS = 1.0
# An accepted order expires after this multiple of the estimated load time
# plus the margin.
LOAD_TIME_FACTOR = 3.0
LOAD_TIME_MARGIN_SECONDS = 1.0


class PendingOrder(msgspec.Struct):
    """An order that was sent and that the engine may still carry out.

    From ``expires_at`` on, the order is considered lost and may be sent
    again.
    """

    placement: Placement
    expires_at: float


class PlacementController:
    """Decides on placement orders for the engines of one failure domain.

    Each service has a controller of its own.  The caller reports the fate of
    each order through the ``record_`` methods.
    """

    __slots__ = (
        'divided_engines',
        'division',
        'is_bulk_registration',
        'known_ids',
        'last_added_at',
        'last_balanced_at',
        'last_complete',
        'last_unrelieved',
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
        # The last division into copies, and the engines that it was made of.
        self.divided_engines: tuple[Endpoint, ...] = ()
        self.division = Division()
        # The last division that needed neither a repair nor balancing, and
        # the slow engines then.
        self.last_complete: tuple[Division, frozenset[str]] | None = None
        # The last division in which no engine could be relieved.
        self.last_unrelieved: Division | None = None

    def decide(
        self,
        engines: Iterable[Endpoint],
        slow_ids: Collection[str],
        now: float,
    ) -> tuple[Placement, ...]:
        """Return the orders that are needed and not pending yet.

        ``slow_ids`` names the engines whose layers other engines should
        load, if they have the memory.  Repairs come before balancing, which
        waits until no order is pending.  Last, an engine is relieved if a
        further copy is wanted.
        """
        registered = list(engines)
        self._update_known_ids(registered, now)
        self._drop_finished(registered, now)
        if self._is_unsettled(registered, now):
            return ()
        division = self._divide(map(self._with_pending_layers, registered))
        complete = (division, frozenset(slow_ids))
        if self._is_known_complete(complete):
            return ()
        repairs = [
            placement
            for copy in division.copies
            for placement in self._repair(copy, slow_ids)
        ]
        if repairs:
            return self._without_pending(repairs)
        if (
            self.pending
            or now < self.last_balanced_at + BALANCE_INTERVAL_SECONDS
        ):
            return ()
        self.last_balanced_at = now
        balancing = tuple(
            placement
            for copy in division.copies
            for placement in balance_copy(copy, self.profile)
        )
        placements = balancing or self._relieve(division)
        if not placements:
            self.last_complete = complete
        return placements

    def record_sent(self, placement: Placement, now: float) -> None:
        """Record that an order is being sent."""
        self.pending[placement.endpoint.endpoint_id] = PendingOrder(
            placement,
            now + UNANSWERED_ORDER_SECONDS,
        )

    def record_accepted(self, placement: Placement, now: float) -> None:
        """Record that an engine has accepted an order and is loading."""
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is None or pending.placement != placement:
            return
        seconds = self.estimate_load_seconds(placement)
        pending.expires_at = (
            now + LOAD_TIME_MARGIN_SECONDS + LOAD_TIME_FACTOR * seconds
        )

    def record_busy(self, placement: Placement, now: float) -> None:
        """Record that an engine was busy when asked, and extend its order."""
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is not None and pending.placement == placement:
            pending.expires_at = max(
                pending.expires_at, now + BUSY_EXTENSION_SECONDS
            )

    def is_outstanding(self, placement: Placement, now: float) -> bool:
        """Tell whether an order is the engine's latest and has not expired.

        Orders expire by time alone, so that a caller stops waiting even if
        ``decide`` is no longer called, as after the loss of a lease.
        """
        pending = self.pending.get(placement.endpoint.endpoint_id)
        if pending is None or pending.placement != placement:
            return False
        return now < pending.expires_at

    def record_refused(self, placement: Placement) -> None:
        """Record that an engine will not carry out its order."""
        self.pending.pop(placement.endpoint.endpoint_id, None)

    def estimate_load_seconds(self, placement: Placement) -> float:
        """Estimate how long the engine takes to load its missing layers."""
        return (
            self.profile.load_seconds
            * layers_to_load(placement)
            / self.profile.layers
        )

    def _divide(self, engines: Iterable[Endpoint]) -> Division:
        """Divide the engines into copies, anew only if any has changed."""
        key = tuple(engines)
        if key != self.divided_engines:
            self.divided_engines = key
            self.division = divide_engines(key, self.profile)
        return self.division

    def _is_known_complete(
        self, complete: tuple[Division, frozenset[str]]
    ) -> bool:
        """Return whether the same engines needed no order last time."""
        known = self.last_complete
        return (
            known is not None
            and known[0] is complete[0]
            and known[1] == complete[1]
        )

    def _relieve(self, division: Division) -> tuple[Placement, ...]:
        """Free an engine for a copy that is wanted; search once a division."""
        if division is self.last_unrelieved:
            return ()
        placements = relieve_engine(division, self.profile)
        if not placements:
            self.last_unrelieved = division
        return placements

    def _repair(
        self,
        copy: tuple[Endpoint, ...],
        slow_ids: Collection[str],
    ) -> tuple[Placement, ...]:
        """Return placements that complete a copy or relieve slow engines."""
        repairs = repair_copy(copy, self.profile)
        fast = [engine for engine in copy if engine.endpoint_id not in slow_ids]
        if repairs or len(fast) == len(copy):
            return repairs
        return relieve_engines(fast, self.profile)

    def _is_unsettled(self, registered: list[Endpoint], now: float) -> bool:
        """Tell whether absent engines may be about to register.

        This is so at the start of a deployment, for a new controller, and
        while expired registry entries come back.
        """
        if now >= self.last_added_at + SETTLE_SECONDS:
            return False
        is_initial = all(engine.layers is None for engine in registered)
        return is_initial or self.is_bulk_registration

    def _without_pending(
        self,
        placements: Iterable[Placement],
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
