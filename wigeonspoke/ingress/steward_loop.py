"""Stewardship of failure domains: the lease, and the orders under it."""

import time

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.core.leases import (
    LEASE_SECONDS,
    LeaseKeeper,
    LeaseRow,
    LeaseStep,
    SeenLease,
)
from wigeonspoke.core.placement import Placing, Steward
from wigeonspoke.ingress.protocols import (
    EngineControl,
    EngineState,
    OrderReply,
)
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.store import (
    FeedStore,
    RowPage,
    RowWrite,
    StoreError,
    StoreProblem,
)

TABLE = 'stewards'
ROUND_SECONDS = 0.1
READ_SECONDS = 2.0
ORDER_SECONDS = 1.0
ASK_SECONDS = 0.5
POLL_SECONDS = 0.1
POLL_SHARE = 0.25
# More engines than this share under suspicion at once: it is rather this
# node that is cut off, and nothing is moved.
CUT_OFF_SHARE = 0.6


class StewardLoop:
    """Takes and keeps leases, and gives the orders that they allow."""

    __slots__ = (
        'control',
        'keepers',
        'read_at',
        'state',
        'stewards',
        'store',
        'store_ahead',
    )

    def __init__(
        self,
        state: IngressState,
        store: FeedStore,
        control: EngineControl,
    ) -> None:
        self.state = state
        self.store = store
        self.control = control
        settings = state.settings
        self.keepers = {
            domain: LeaseKeeper(
                domain,
                settings.name,
                domain == settings.failure_domain,
            )
            for domain in settings.failure_domains
        }
        self.stewards: dict[tuple[str, str], Steward] = {}
        self.read_at = 0
        # By how much the store's steady clock is ahead of this node's.
        self.store_ahead = 0

    def run_leases(self) -> None:
        """Keep the leases for ever."""
        while True:
            now = time.monotonic()
            if now >= self.read_at:
                self.read_at = now + READ_SECONDS * (
                    1 + self.state.random.random() / 2
                )
                self._read_leases()
            for keeper in self.keepers.values():
                if keeper.renewal_due(time.monotonic()):
                    self._write_lease(keeper, keeper.row_version)
            eventlet.sleep(ROUND_SECONDS)

    def run_orders(self) -> None:
        """Give orders for ever."""
        while True:
            eventlet.sleep(ROUND_SECONDS)
            for keeper in self.keepers.values():
                if keeper.may_order(time.monotonic()):
                    self._steer(keeper)

    def _read_leases(self) -> None:
        sent_at = time.monotonic()
        if all(keeper.is_held for keeper in self.keepers.values()):
            return
        page = self.store.read_table(TABLE)
        if not isinstance(page, Success):
            for keeper in self.keepers.values():
                keeper.note_store_lost(sent_at)
            return
        rows = _decode_rows(page.unwrap())
        store_now = page.unwrap().store_seconds
        self.store_ahead = store_now - time.monotonic()
        for keeper in self.keepers.values():
            if keeper.is_held:
                continue
            seen = rows.get(keeper.domain, SeenLease(0))
            if keeper.judge(seen, store_now) is not LeaseStep.WAIT:
                self._write_lease(keeper, seen.version)

    def _write_lease(self, keeper: LeaseKeeper, expected: int) -> None:
        sent_at = time.monotonic()
        until = sent_at + self.store_ahead + LEASE_SECONDS
        row = LeaseRow(self.state.settings.name, until)
        write = RowWrite(keeper.domain, msgspec.json.encode(row), expected)
        written = self.store.write_rows(TABLE, (write,))
        if isinstance(written, Success):
            is_new = not keeper.is_held
            keeper.note_held(written.unwrap(), sent_at)
            if is_new:
                self._log('lease-held', keeper)
            return
        self._note_write_error(keeper, written.failure(), sent_at)

    def _note_write_error(
        self,
        keeper: LeaseKeeper,
        error: StoreError,
        sent_at: float,
    ) -> None:
        if error.problem is StoreProblem.CONFLICT:
            if keeper.is_held:
                self._log('lease-lost', keeper)
            keeper.note_lost()
            self.read_at = 0
            return
        keeper.note_store_lost(sent_at)

    def _steer(self, keeper: LeaseKeeper) -> None:
        for service in self.state.table.services.values():
            if service.engine is None:
                continue
            steward = self._steward(keeper, service.name, service.engine)
            engines = self._engines(service.name, keeper.domain)
            now = time.monotonic()
            for placing in steward.decide(engines, now):
                steward.note_sent(placing, now)
                eventlet.spawn(self._order, keeper, steward, placing)

    def _steward(
        self,
        keeper: LeaseKeeper,
        service: str,
        profile: EngineProfile,
    ) -> Steward:
        key = (keeper.domain, service)
        steward = self.stewards.get(key)
        if steward is None or steward.profile != profile:
            steward = Steward(profile)
            self.stewards[key] = steward
        return steward

    def _engines(self, service: str, domain: str) -> list[Endpoint]:
        listed = [
            engine
            for engine in self.state.fleet.of_service(service)
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
        steward: Steward,
        placing: Placing,
    ) -> None:
        found = self._ask(placing)
        if found is None:
            return
        if found.born != placing.endpoint.born:
            steward.note_refused(placing)
            return
        if not keeper.may_order(time.monotonic()):
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

    def _ask(self, placing: Placing) -> EngineState | None:
        address = placing.endpoint.address
        asked = self.control.ask_state(address, ASK_SECONDS)
        if isinstance(asked, Success):
            return asked.unwrap()
        self._log_order('order-unsent', placing, asked.failure())
        return None

    def _take_reply(
        self,
        keeper: LeaseKeeper,
        steward: Steward,
        placing: Placing,
        reply: OrderReply,
    ) -> None:
        if reply.is_fenced_off:
            self._log('fenced-off', keeper)
            keeper.note_lost()
        if not reply.is_accepted:
            steward.note_refused(placing)
            self._log_order('order-refused', placing, '')
            return
        self._log_order('order-accepted', placing, '')
        steward.note_accepted(placing, time.monotonic())
        self._await(steward, placing)

    def _await(self, steward: Steward, placing: Placing) -> None:
        """Ask an engine until it holds what it was ordered to."""
        endpoint = placing.endpoint
        eventlet.sleep(POLL_SECONDS)
        while endpoint.endpoint_id in steward.pending:
            asked = self.control.ask_state(endpoint.address, ASK_SECONDS)
            if isinstance(asked, Success):
                found = asked.unwrap()
                self.state.fleet.note_layers(
                    endpoint.endpoint_id,
                    found.born,
                    found.layers,
                )
                if found.layers == placing.layers:
                    return
            estimate = steward.load_seconds(placing)
            eventlet.sleep(max(POLL_SECONDS, POLL_SHARE * estimate))

    def _log(self, kind: str, keeper: LeaseKeeper) -> None:
        self.state.count(kind)
        self.state.log.write(
            kind,
            domain=keeper.domain,
            fence=keeper.fence,
            row_version=keeper.row_version,
        )

    def _log_order(self, kind: str, placing: Placing, problem: str) -> None:
        held = placing.endpoint.layers
        self.state.log.write(
            kind,
            endpoint=placing.endpoint.endpoint_id,
            address=placing.endpoint.address,
            held=held.describe() if held else '',
            layers=placing.layers.describe(),
            problem=problem,
        )


def _decode_rows(page: RowPage) -> dict[str, SeenLease]:
    seen: dict[str, SeenLease] = {}
    for row in page.rows:
        try:
            lease = msgspec.json.decode(bytes(row.content), type=LeaseRow)
        except msgspec.MsgspecError:
            # A row that cannot be read is held by nobody.
            lease = None
        seen[row.key] = SeenLease(row.version, lease)
    return seen
