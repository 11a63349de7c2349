"""Placement orders in the failure domains whose lease this node holds."""

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
from wigeonspoke.ingress.wake_up import WakeUp

ROUND_SECONDS = 0.1
# Without the lease there is nothing to do until it is won, which wakes the
# loop.
MAX_IDLE_SECONDS = 5.0
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
    """The leases under which orders are sent.

    ``won`` is woken when one is won.
    """

    won: WakeUp

    def may_order(self, keeper: LeaseKeeper) -> bool:
        """Return whether orders may be sent under a lease now."""

    def ensure_may_order(self, keeper: LeaseKeeper) -> bool:
        """Renew a lease if needed; return whether orders may be sent."""

    def record_fenced_off(self, keeper: LeaseKeeper) -> None:
        """Record that an engine has obeyed a holder of a newer lease."""


class PlacementLoop:
    """Sends placement orders in the domains whose lease this node holds."""

    __slots__ = ('control', 'controllers', 'leases', 'state')

    def __init__(
        self,
        state: IngressState,
        leases: Leases,
        control: EngineControl,
    ) -> None:
        self.state = state
        self.leases = leases
        self.control = control
        self.controllers: dict[tuple[str, str], PlacementController] = {}

    def run(self, keeper: LeaseKeeper) -> None:
        """Send the orders of one failure domain; never returns."""
        while True:
            if keeper.is_held:
                self._reconcile(keeper)
                eventlet.sleep(ROUND_SECONDS)
            else:
                self.leases.won.wait(MAX_IDLE_SECONDS)

    def _reconcile(self, keeper: LeaseKeeper) -> None:
        for service in self.state.routing_table.services.values():
            if service.engine is None:
                continue
            controller = self._get_controller(
                keeper, service.name, service.engine
            )
            placements = controller.decide(
                self._placeable_engines(service, keeper.domain),
                self.state.suspects.slow,
                time.monotonic(),
            )
            if placements and self.leases.ensure_may_order(keeper):
                self._send_orders(keeper, controller, placements)

    def _send_orders(
        self,
        keeper: LeaseKeeper,
        controller: PlacementController,
        placements: tuple[Placement, ...],
    ) -> None:
        for placement in placements:
            controller.record_sent(placement, time.monotonic())
            eventlet.spawn(self._place_order, keeper, controller, placement)

    def _get_controller(
        self,
        keeper: LeaseKeeper,
        service: str,
        profile: EngineProfile,
    ) -> PlacementController:
        key = (keeper.domain, service)
        controller = self.controllers.get(key)
        if controller is None or controller.profile != profile:
            controller = PlacementController(profile)
            self.controllers[key] = controller
        return controller

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
        controller: PlacementController,
        placement: Placement,
    ) -> None:
        engine_state = self._fetch_state(placement)
        if engine_state is None:
            return
        if engine_state.born != placement.endpoint.born:
            controller.record_refused(placement)
            return
        if engine_state.is_leaving:
            self.state.record_leaving(placement.endpoint.start_id, 'report')
            controller.record_refused(placement)
            return
        if engine_state.is_busy:
            # It would refuse a new order.  It may be executing an order of an
            # earlier holder, so its layers are checked again later.
            controller.record_busy(placement, time.monotonic())
            return
        if not self.leases.may_order(keeper):
            controller.record_refused(placement)
            return
        result = self.control.send_order(
            placement,
            engine_state.orders,
            keeper.fence,
            ORDER_TIMEOUT_SECONDS,
        )
        if not isinstance(result, Success):
            self._log_order('order-unanswered', placement, result.failure())
            return
        self._process_reply(keeper, controller, placement, result.unwrap())

    def _fetch_state(self, placement: Placement) -> EngineState | None:
        address = placement.endpoint.address
        result = self.control.fetch_state(address, STATE_TIMEOUT_SECONDS)
        if isinstance(result, Success):
            return result.unwrap()
        self._log_order('order-unsent', placement, result.failure().problem)
        return None

    def _process_reply(
        self,
        keeper: LeaseKeeper,
        controller: PlacementController,
        placement: Placement,
        reply: OrderReply,
    ) -> None:
        if reply.is_leaving:
            self.state.record_leaving(placement.endpoint.start_id, 'order')
        if reply.is_fenced_off:
            self.leases.record_fenced_off(keeper)
        if not reply.is_accepted:
            # The order is not repeated before its timeout.
            self._log_order('order-refused', placement, '')
            return
        self._log_order('order-accepted', placement, '')
        controller.record_accepted(placement, time.monotonic())
        self._await_completion(controller, placement)

    def _await_completion(
        self, controller: PlacementController, placement: Placement
    ) -> None:
        """Poll an engine until it holds the layers that it was ordered to."""
        endpoint = placement.endpoint
        eventlet.sleep(POLL_SECONDS)
        while controller.is_outstanding(placement, time.monotonic()):
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
                if engine_state.layers == placement.layers:
                    return
                if engine_state.is_busy:
                    controller.record_busy(placement, time.monotonic())
            estimate = controller.estimate_load_seconds(placement)
            eventlet.sleep(max(POLL_SECONDS, POLL_FRACTION * estimate))

    def _log_order(self, kind: str, placement: Placement, problem: str) -> None:
        held = placement.endpoint.layers
        self.state.log.write(
            kind,
            endpoint=placement.endpoint.endpoint_id,
            address=placement.endpoint.address,
            held=held.describe() if held else '',
            layers=placement.layers.describe(),
            problem=problem,
        )
