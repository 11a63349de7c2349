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
from wigeonspoke.core.routing import ServiceProfile
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
NODE_PREFIX = 'node/'
# A node tells of itself at least twice in this time.
PRESENCE_SECONDS = 30.0
ROUND_SECONDS = 0.1
READ_SECONDS = 2.0
FOREIGN_READ_SECONDS = 6.0
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
                self.read_at = now + self._read_pause()
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

    def _read_pause(self) -> float:
        """Give how long other leases need no look."""
        own = self.keepers[self.state.settings.failure_domain]
        pause = FOREIGN_READ_SECONDS if own.is_held else READ_SECONDS
        return pause * (1 + self.state.random.random() / 4)

    def _read_leases(self) -> None:
        sent_at = time.monotonic()
        page = self.store.read_table(TABLE)
        if not isinstance(page, Success):
            for keeper in self.keepers.values():
                keeper.note_store_lost(sent_at)
            return
        rows = _decode_rows(page.unwrap())
        self._count_nodes(rows, page.unwrap().store_seconds)
        store_now = page.unwrap().store_seconds
        self.store_ahead = store_now - time.monotonic()
        for keeper in self.keepers.values():
            if keeper.is_held:
                continue
            seen = rows.get(keeper.domain, SeenLease(0))
            if keeper.judge(seen, store_now) is not LeaseStep.WAIT:
                self._write_lease(keeper, seen.version)

    def _count_nodes(
        self,
        rows: dict[str, SeenLease],
        store_now: float,
    ) -> None:
        """Count the nodes that have told of themselves lately."""
        own = f'{NODE_PREFIX}{self.state.settings.name}'
        present = [
            key
            for key, seen in rows.items()
            if key.startswith(NODE_PREFIX) and _is_running(seen, store_now)
        ]
        self.state.nodes = max(1, len(present) + (own not in present))
        self.state.peers |= {
            rows[key].row.address for key in present if rows[key].row.address
        }
        mine = rows.get(own, SeenLease(0))
        if not _is_running(mine, store_now + PRESENCE_SECONDS / 2):
            until = store_now + PRESENCE_SECONDS
            settings = self.state.settings
            row = LeaseRow(settings.name, until, settings.peers)
            content = msgspec.json.encode(row)
            self.store.write_rows(
                TABLE, (RowWrite(own, content, mine.version),)
            )

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
            engines = self._engines(service, keeper.domain)
            now = time.monotonic()
            slow = self.state.suspects.slow
            for placing in steward.decide(engines, slow, now):
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
        steward: Steward,
        placing: Placing,
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
            # Somebody else has the lease: no order of this term goes out
            # any more, whatever this node's own clock says.
            self._log('fenced-off', keeper)
            keeper.note_lost()
        if not reply.is_accepted:
            # Not given again before the order has run out of time.
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
                if found.is_busy:
                    steward.note_busy(placing, time.monotonic())
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


def _is_running(seen: SeenLease, store_now: float) -> bool:
    return seen.row is not None and seen.row.until > store_now


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
