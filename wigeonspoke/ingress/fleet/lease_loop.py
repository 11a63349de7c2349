"""Acquisition and renewal of leases, and node registration.

The platform calls the holder of a failure domain's lease its steward.
"""

import time

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.leases import (
    LEASE_SECONDS,
    LeaseAction,
    LeaseKeeper,
    LeaseRow,
    VersionedLease,
)
from wigeonspoke.core.store_version import UNKNOWN_ERA
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.wake_up import WakeUp
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import (
    FeedStore,
    RowPage,
    RowWrite,
    StoreError,
    StoreProblem,
)

LEASE_TABLE = 'stewards'
NODE_PREFIX = 'node/'
# Lifetime of a node's registration, which is renewed at the first read after
# half of it.
REGISTRATION_SECONDS = 60.0
LARGE_REGISTRATION_SECONDS = 180.0
ROUND_SECONDS = 0.1
# The same while this node holds no lease.
IDLE_ROUND_SECONDS = 0.25
# Rows are read at least this often, and earlier if a lease seems to be free.
READ_INTERVAL_SECONDS = 20.0
# The same where hundreds of nodes read, which learn of leases by gossip.
LARGE_READ_INTERVAL_SECONDS = 60.0
# Minimum time between two reads, and the pause after a failed one.
MIN_READ_INTERVAL_SECONDS = 1.5
READ_JITTER = 0.25
# The rows are read anew within this time after the store has lost some.
ERA_READ_SECONDS = 2.0
# After this time from the start, gossip has arrived from all live peers.
DISCOVERY_SECONDS = 3.0


def lease_clock() -> float:
    """Return monotonic seconds, counted also while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaseLoop:
    """Acquires and renews leases; implements :class:`Leases`.

    The rows read last, and gossip from the holders, show when a lease may be
    acquired.  Apart from periodic reads, the store is read again only then.
    """

    __slots__ = (
        'keepers',
        'last_read_at',
        'lease_rows',
        'next_read_at',
        'read_era',
        'started_at',
        'state',
        'store',
        'store_clock_offset',
        'won',
    )

    def __init__(self, state: IngressState, store: FeedStore) -> None:
        self.state = state
        self.store = store
        settings = state.settings
        self.keepers = {
            domain: LeaseKeeper(
                domain,
                settings.name,
                domain == settings.failure_domain,
            )
            for domain in settings.failure_domains
        }
        self.lease_rows: dict[str, VersionedLease] = {}
        self.started_at = lease_clock()
        self.last_read_at = 0
        self.next_read_at = 0
        # The era for which a read has been scheduled.
        self.read_era = UNKNOWN_ERA
        # Store's monotonic clock minus :func:`lease_clock` of this node.
        self.store_clock_offset = 0
        # Woken when a lease is won.
        self.won = WakeUp()

    def run(self) -> None:
        """Acquire and renew leases; never returns."""
        while True:
            now = lease_clock()
            if self._needs_read(now):
                self._read(now)
            self._release_isolated()
            for keeper in self.keepers.values():
                if keeper.renewal_due(lease_clock()):
                    self._write(keeper, keeper.row_version)
            self.state.leases = self._held_leases()
            eventlet.sleep(
                ROUND_SECONDS if self.state.holds_lease else IDLE_ROUND_SECONDS
            )

    def store_seconds(self) -> float | None:
        """Return the time of the store's clock, None if it is not known."""
        if not self.last_read_at or not self.store_clock_offset:
            return None
        return lease_clock() + self.store_clock_offset

    def may_order(self, keeper: LeaseKeeper) -> bool:
        """Return whether orders may be sent under a lease now."""
        return keeper.may_order(lease_clock())

    def ensure_may_order(self, keeper: LeaseKeeper) -> bool:
        """Renew a lease if needed; return whether orders may be sent."""
        if self._is_isolated(keeper.domain):
            return False
        if keeper.is_held and not self.may_order(keeper):
            self._write(keeper, keeper.row_version)
        return self.may_order(keeper)

    def record_fenced_off(self, keeper: LeaseKeeper) -> None:
        """Record that an engine has obeyed a holder of a newer lease.

        No more orders are sent under this lease, whatever the clock says.
        """
        self._log('fenced-off', keeper)
        keeper.record_lost()

    @property
    def _read_interval(self) -> float:
        if self.state.hears_all_peers:
            return READ_INTERVAL_SECONDS
        return LARGE_READ_INTERVAL_SECONDS

    @property
    def _registration_seconds(self) -> float:
        if self.state.hears_all_peers:
            return REGISTRATION_SECONDS
        return LARGE_REGISTRATION_SECONDS

    def _held_leases(self) -> dict[str, float]:
        return {
            domain: self.lease_rows[domain].row.until
            for domain, keeper in self.keepers.items()
            if keeper.is_held and domain in self.lease_rows
        }

    def _needs_read(self, now: float) -> bool:
        self._follow_era(now)
        if now >= self.next_read_at:
            return True
        if now < self.last_read_at + MIN_READ_INTERVAL_SECONDS:
            return False
        return bool(self._acquirable_keepers())

    def _follow_era(self, now: float) -> None:
        """Read the rows anew, soon, when the store has lost its last seconds.

        The registration of this node may be among what is gone.  Nodes read at
        different times.
        """
        era = self.state.eras.current
        if era == self.read_era:
            return
        if self.read_era != UNKNOWN_ERA:
            wait_seconds = ERA_READ_SECONDS * self.state.rng.random()
            self.next_read_at = min(self.next_read_at, now + wait_seconds)
        self.read_era = era

    def _acquirable_keepers(self) -> list[LeaseKeeper]:
        """Return the keepers whose lease this node should acquire."""
        live_names = self.state.live_peer_names
        return [
            keeper
            for keeper in self.keepers.values()
            if not keeper.is_held
            and not self._is_isolated(keeper.domain)
            and self._next_step(keeper, live_names) is not LeaseAction.WAIT
        ]

    def _next_step(
        self, keeper: LeaseKeeper, live_names: set[str]
    ) -> LeaseAction:
        now = lease_clock()
        seen = self.lease_rows.get(keeper.domain, VersionedLease(0))
        released = self.state.released_peer_leases.get(keeper.domain)
        is_newer = (
            released is not None and released.store_version > seen.store_version
        )
        if is_newer:
            seen = released
        peer_lease = self.state.peer_leases.get(keeper.domain)
        if (
            seen.row is not None
            and peer_lease
            and peer_lease.until > seen.row.until
            and not peer_lease.predates_release(seen.row)
        ):
            seen = VersionedLease(seen.version, peer_lease, seen.era)
        has_discovered = now >= self.started_at + DISCOVERY_SECONDS
        return keeper.next_action(
            seen,
            now + self.store_clock_offset,
            is_gone=has_discovered
            and seen.row is not None
            and self.state.is_node_gone(seen.row.holder, live_names),
        )

    def _is_isolated(self, domain: str) -> bool:
        """Return whether this node cannot reach the engines of a domain."""
        now = time.monotonic()
        return any(
            service.engine is not None
            and self.state.reachability.is_isolated(service.name, domain, now)
            for service in self.state.routing_table.services.values()
        )

    def _release_isolated(self) -> None:
        """Release the leases of domains whose engines are out of reach.

        A node that reaches them orders the engines then.  If the store does
        not take the release, the lease expires.
        """
        for domain, keeper in self.keepers.items():
            if keeper.is_held and self._is_isolated(domain):
                self._release(keeper)

    def _release(self, keeper: LeaseKeeper) -> None:
        row = LeaseRow(
            self.state.settings.name,
            lease_clock() + self.store_clock_offset,
            is_released=True,
        )
        expected = keeper.row_version
        self._log('lease-released', keeper)
        # No order is sent from here on, also while the store is waited for.
        keeper.record_lost()
        self.state.leases = self._held_leases()
        write = RowWrite(keeper.domain, msgspec.json.encode(row), expected)
        written = self.store.write_rows(LEASE_TABLE, (write,))
        if isinstance(written, Success):
            released = VersionedLease(
                written.unwrap(), row, self.state.eras.current
            )
            self.lease_rows[keeper.domain] = released
            self.state.released_leases[keeper.domain] = released
            self.state.tell_news()
            return
        self._handle_write_error(keeper, written.failure(), lease_clock())

    def _read(self, now: float) -> None:
        self.last_read_at = now
        jitter = 1 + READ_JITTER * self.state.rng.random()
        page = self.store.read_table(LEASE_TABLE)
        if not isinstance(page, Success):
            self.next_read_at = now + MIN_READ_INTERVAL_SECONDS * jitter
            self.state.record_store_failure(time.monotonic())
            for keeper in self.keepers.values():
                keeper.record_store_failure(now)
            return
        self.next_read_at = now + self._read_interval * jitter
        self._process_page(page.unwrap())

    def _process_page(self, page: RowPage) -> None:
        self.state.store_outages.record_answer(time.monotonic())
        self.lease_rows = _decode_rows(page)
        self.store_clock_offset = page.store_seconds - lease_clock()
        self._update_nodes(page.store_seconds)
        for keeper in self._acquirable_keepers():
            seen = self.lease_rows.get(keeper.domain, VersionedLease(0))
            self._write(keeper, seen.version)

    def _update_nodes(self, store_now: float) -> None:
        """Update the registered nodes, and renew this node's registration."""
        own_key = f'{NODE_PREFIX}{self.state.settings.name}'
        current_rows = {
            key: seen.row
            for key, seen in self.lease_rows.items()
            if key.startswith(NODE_PREFIX) and _is_current(seen, store_now)
        }
        self.state.registered_node_count = len(current_rows.keys() | {own_key})
        self.state.peer_addresses = set(self.state.settings.seeds) | {
            row.address for row in current_rows.values() if row.address
        }
        own_row = self.lease_rows.get(own_key, VersionedLease(0))
        lifetime = self._registration_seconds
        if not _is_current(own_row, store_now + lifetime / 2):
            expires_at = store_now + lifetime
            settings = self.state.settings
            row = LeaseRow(settings.name, expires_at, settings.peers)
            content = msgspec.json.encode(row)
            self.store.write_rows(
                LEASE_TABLE, (RowWrite(own_key, content, own_row.version),)
            )

    def _write(self, keeper: LeaseKeeper, expected: int) -> None:
        sent_at = lease_clock()
        expires_at = sent_at + self.store_clock_offset + LEASE_SECONDS
        row = LeaseRow(self.state.settings.name, expires_at)
        write = RowWrite(keeper.domain, msgspec.json.encode(row), expected)
        written = self.store.write_rows(LEASE_TABLE, (write,))
        if isinstance(written, Success):
            self.state.store_outages.record_answer(time.monotonic())
            is_new = not keeper.is_held
            keeper.record_written(written.unwrap(), sent_at)
            self.lease_rows[keeper.domain] = VersionedLease(
                written.unwrap(), row, self.state.eras.current
            )
            if is_new:
                self.state.released_leases.pop(keeper.domain, None)
                self._log('lease-held', keeper)
                self.won.wake()
            return
        self._handle_write_error(keeper, written.failure(), sent_at)

    def _handle_write_error(
        self,
        keeper: LeaseKeeper,
        error: StoreError,
        sent_at: float,
    ) -> None:
        if error.problem is StoreProblem.CONFLICT:
            if keeper.is_held:
                self._log('lease-lost', keeper)
            keeper.record_lost()
            self.next_read_at = 0
            return
        self.state.record_store_failure(time.monotonic())
        keeper.record_store_failure(sent_at)

    def _log(self, kind: str, keeper: LeaseKeeper) -> None:
        self.state.count_event(kind)
        self.state.log.write(
            kind,
            domain=keeper.domain,
            fence=keeper.fence,
            row_version=keeper.row_version,
        )


def _is_current(seen: VersionedLease, store_now: float) -> bool:
    return seen.row is not None and seen.row.until > store_now


def _decode_rows(page: RowPage) -> dict[str, VersionedLease]:
    seen: dict[str, VersionedLease] = {}
    for row in page.rows:
        # A row that cannot be decoded is treated as held by no node.
        lease = decode_json(bytes(row.content), LeaseRow).value_or(None)
        seen[row.key] = VersionedLease(row.version, lease, page.version.era)
    return seen
