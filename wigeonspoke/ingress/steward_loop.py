"""Orders to the engines of the failure domains that this node stewards."""

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
ORDER_SECONDS = 1.0
ASK_SECONDS = 0.5
POLL_SECONDS = 0.1
POLL_SHARE = 0.25
# More engines than this share under suspicion at once: it is rather this
# node that is cut off, and nothing is moved.
CUT_OFF_SHARE = 0.6


class Leases(Protocol):
    """The leases under which orders are given."""

    def may_order(self, keeper: LeaseKeeper) -> bool:
        """Tell whether orders may be given under a lease."""

    def secure(self, keeper: LeaseKeeper) -> bool:
        """Make sure that orders may be given, by a renewal if need be."""

    def note_fenced_off(self, keeper: LeaseKeeper) -> None:
        """Take in that an engine has obeyed another steward since."""


class StewardLoop:
    """Gives the orders that the leases held allow."""

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
        """Give the orders of one domain, for ever."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            if keeper.is_held:
                self._steer(keeper)

    def _steer(self, keeper: LeaseKeeper) -> None:
        for service in self.state.table.services.values():
            if service.engine is None:
                continue
            steward = self._steward(keeper, service.name, service.engine)
            placings = steward.decide(
                self._engines(service, keeper.domain),
                self.state.suspects.slow,
                time.monotonic(),
            )
            if placings and self.leases.secure(keeper):
                self._send(keeper, steward, placings)

    def _send(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placings: tuple[Placement, ...],
    ) -> None:
        for placing in placings:
            steward.note_sent(placing, time.monotonic())
            eventlet.spawn(self._order, keeper, steward, placing)

    def _steward(
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

    def _engines(
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
        if len(listed) - len(trusted) > CUT_OFF_SHARE * len(listed):
            return listed
        return trusted

    def _order(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placing: Placement,
    ) -> None:
        found = self._ask(placing)
        if found is None:
            return
        if found.born != placing.endpoint.born:
            steward.note_refused(placing)
            return
        if found.is_busy:
            # It would refuse.  What it is at work on may be an order of an
            # earlier steward, so it is asked again rather than believed.
            steward.note_busy(placing, time.monotonic())
            return
        if not self.leases.may_order(keeper):
            steward.note_refused(placing)
            return
        sent = self.control.order(
            placing,
            found.orders,
            keeper.fence,
            ORDER_SECONDS,
        )
        if not isinstance(sent, Success):
            self._log_order('order-unanswered', placing, sent.failure())
            return
        self._take_reply(keeper, steward, placing, sent.unwrap())

    def _ask(self, placing: Placement) -> EngineState | None:
        address = placing.endpoint.address
        asked = self.control.ask_state(address, ASK_SECONDS)
        if isinstance(asked, Success):
            return asked.unwrap()
        self._log_order('order-unsent', placing, asked.failure())
        return None

    def _take_reply(
        self,
        keeper: LeaseKeeper,
        steward: PlacementController,
        placing: Placement,
        reply: OrderReply,
    ) -> None:
        if reply.is_fenced_off:
            self.leases.note_fenced_off(keeper)
        if not reply.is_accepted:
            # Not given again before the order has run out of time.
            self._log_order('order-refused', placing, '')
            return
        self._log_order('order-accepted', placing, '')
        steward.note_accepted(placing, time.monotonic())
        self._await(steward, placing)

    def _await(self, steward: PlacementController, placing: Placement) -> None:
        """Ask an engine until it holds what it was ordered to."""
        endpoint = placing.endpoint
        eventlet.sleep(POLL_SECONDS)
        while steward.is_outstanding(placing, time.monotonic()):
            asked = self.control.ask_state(endpoint.address, ASK_SECONDS)
            if isinstance(asked, Success):
                found = asked.unwrap()
                self.state.fleet.update_layers(
                    endpoint.endpoint_id,
                    found.born,
                    found.layers,
                )
                if found.layers == placing.layers:
                    return
                if found.is_busy:
                    steward.note_busy(placing, time.monotonic())
            estimate = steward.estimate_load_seconds(placing)
            eventlet.sleep(max(POLL_SECONDS, POLL_SHARE * estimate))

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
