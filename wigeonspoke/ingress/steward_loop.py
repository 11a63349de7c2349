"""Placement orders to engines of the failure domains this node stewards."""

import time
from typing import Protocol

import eventlet
from returns.result import Success

from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.leases import LeaseKeeper
from wigeonspoke.core.placement import Placement, PlacementController
from wigeonspoke.core.routing import ServiceProfile
from wigeonspoke.ingress.protocols import (
    EngineControl,
    EngineState,
    OrderReply,
)
from wigeonspoke.ingress.state import IngressState

ROUND_SECONDS = 0.1
ORDER_TIMEOUT_SECONDS = 1.0
STATE_TIMEOUT_SECONDS = 0.5
# Pause between polls of an engine that loads layers: a fraction of the load
# time estimated, but at least POLL_SECONDS.
POLL_SECONDS = 0.1
POLL_FRACTION = 0.25
# If more than this fraction of the engines is suspected at once, this node is
# more likely partitioned itself, so no layers are moved.
ISOLATION_FRACTION = 0.6


class Leases(Protocol):
    """The leases under which orders are sent."""

    def may_order(self, keeper: LeaseKeeper) -> bool:
        """Return whether orders may be sent under a lease now."""

    def ensure_may_order(self, keeper: LeaseKeeper) -> bool:
        """Renew a lease if needed; return whether orders may be sent."""

    def note_fenced_off(self, keeper: LeaseKeeper) -> None:
        """Record that an engine has obeyed a steward with a newer lease."""


class StewardLoop:
    """Sends placement orders in the domains whose lease this node holds."""

    __slots__ = ('control', 'leases', 'state', 'stewards')

    def __init__(
        self,
        state: IngressState,
        leases: Leases,
        control: EngineControl,
    ) -> None:
        self.state = state
        self.leases = leases
        self.control = control
        self.stewards: dict[tuple[str, str], PlacementController] = {}

    def run(self, keeper: LeaseKeeper) -> None:
        """Send the orders of one failure domain; never returns."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            if keeper.is_held:
                self._reconcile(keeper)

    def _reconcile(self, keeper: LeaseKeeper) -> None:
        for service in self.state.routing_table.services.values():
            if service.engine is None:
                continue
            steward = self._get_steward(keeper, service.name, service.engine)
            placings = steward.decide(
                self._placeable_engines(service, keeper.domain),
                self.state.suspects.slow,
                time.monotonic(),
            )
            if placings and self.leases.ensure_may_order(keeper):
                self._send_orders(keeper, steward, placings)

    def _send_orders(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placings: tuple[Placement, ...],
    ) -> None:
        for placing in placings:
            steward.note_sent(placing, time.monotonic())
            eventlet.spawn(self._place_order, keeper, steward, placing)

    def _get_steward(
        self,
        keeper: LeaseKeeper,
        service: str,
        profile: EngineProfile,
    ) -> PlacementController:
        key = (keeper.domain, service)
        steward = self.stewards.get(key)
        if steward is None or steward.profile != profile:
            steward = PlacementController(profile)
            self.stewards[key] = steward
        return steward

    def _placeable_engines(
        self,
        service: ServiceProfile,
        domain: str,
    ) -> list[Endpoint]:
        listed = [
            engine
            for engine in self.state.fleet.of_service(service.name)
            if engine.failure_domain == domain
        ]
        trusted = [
            engine
            for engine in listed
            if not self.state.suspects.is_suspect(engine)
        ]
        if len(listed) - len(trusted) > ISOLATION_FRACTION * len(listed):
            return listed
        return trusted

    def _place_order(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placing: Placement,
    ) -> None:
        engine_state = self._fetch_state(placing)
        if engine_state is None:
            return
        if engine_state.born != placing.endpoint.born:
            steward.note_refused(placing)
            return
        if engine_state.is_busy:
            # It would refuse a new order.  It may be executing an order of an
            # earlier steward, so its layers are checked again later.
            steward.note_busy(placing, time.monotonic())
            return
        if not self.leases.may_order(keeper):
            steward.note_refused(placing)
            return
        result = self.control.send_order(
            placing,
            engine_state.orders,
            keeper.fence,
            ORDER_TIMEOUT_SECONDS,
        )
        if not isinstance(result, Success):
            self._log_order('order-unanswered', placing, result.failure())
            return
        self._process_reply(keeper, steward, placing, result.unwrap())

    def _fetch_state(self, placing: Placement) -> EngineState | None:
        address = placing.endpoint.address
        result = self.control.fetch_state(address, STATE_TIMEOUT_SECONDS)
        if isinstance(result, Success):
            return result.unwrap()
        self._log_order('order-unsent', placing, result.failure())
        return None

    def _process_reply(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placing: Placement,
        reply: OrderReply,
    ) -> None:
        if reply.is_fenced_off:
            self.leases.note_fenced_off(keeper)
        if not reply.is_accepted:
            # The order is not repeated before its timeout.
            self._log_order('order-refused', placing, '')
            return
        self._log_order('order-accepted', placing, '')
        steward.note_accepted(placing, time.monotonic())
        self._await_completion(steward, placing)

    def _await_completion(
        self, steward: PlacementController, placing: Placement
    ) -> None:
        """Poll an engine until it holds the layers that it was ordered to."""
        endpoint = placing.endpoint
        eventlet.sleep(POLL_SECONDS)
        while steward.is_outstanding(placing, time.monotonic()):
            result = self.control.fetch_state(
                endpoint.address, STATE_TIMEOUT_SECONDS
            )
            if isinstance(result, Success):
                engine_state = result.unwrap()
                self.state.fleet.update_layers(
                    endpoint.endpoint_id,
                    engine_state.born,
                    engine_state.layers,
                )
                if engine_state.layers == placing.layers:
                    return
                if engine_state.is_busy:
                    steward.note_busy(placing, time.monotonic())
            estimate = steward.estimate_load_seconds(placing)
            eventlet.sleep(max(POLL_SECONDS, POLL_FRACTION * estimate))

    def _log_order(self, kind: str, placing: Placement, problem: str) -> None:
        held = placing.endpoint.layers
        self.state.log.write(
            kind,
            endpoint=placing.endpoint.endpoint_id,
            address=placing.endpoint.address,
            held=held.describe() if held else '',
            layers=placing.layers.describe(),
            problem=problem,
        )
