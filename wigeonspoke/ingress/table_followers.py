"""Followers of the store's tables: configuration and endpoint registry."""

import time
from typing import Protocol

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.table_relay import (
    STORE_GRACE_SECONDS,
    PeerVersions,
    RelayedTable,
    TableCopy,
    fetch_table,
)
from wigeonspoke.store import (
    FeedStore,
    RowPage,
    StoreError,
    StoreProblem,
    TableRow,
)
from wigeonspoke.transport import HttpClient

# Duration of a long poll.  A store that fails during a poll may never answer
# it, so lease holders use short polls; other nodes learn of changes from them.
WATCHER_WAIT_SECONDS = 4.0
WAIT_SECONDS = 20.0
RECONNECT_WAIT_SECONDS = 0.05
# Registry entries that expired during a store outage are re-registered within
# this time after it, or the endpoint is gone.
RETENTION_SECONDS = 2.5
# Pause between polls: changes come in bursts, and each call has a cost.
BATCH_SECONDS = 0.2
MAX_BATCH_SECONDS = 0.6
PEER_CHECK_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# Each call to the store has a price, also one that fails.
SELDOM_BACKOFF_SECONDS = 2.0
BACKOFF_FACTOR = 2


class TableConsumer(Protocol):
    """Receives the rows of a table."""

    table: str

    def handle_store_return(self) -> None:
        """Handle the return of the store after an outage."""

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Replace the table by its complete rows."""

    def apply_change(self, row: TableRow) -> None:
        """Apply one changed row."""


class ConfigurationConsumer:
    """Adopts newer versions of the configuration."""

    __slots__ = ('key', 'state', 'table')

    def __init__(self, state: IngressState, table: str, key: str) -> None:
        self.state = state
        self.table = table
        self.key = key

    def handle_store_return(self) -> None:
        """Do nothing: the configuration stays in force during an outage."""

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Apply every row of the table."""
        for row in rows:
            self.apply_change(row)

    def apply_change(self, row: TableRow) -> None:
        """Adopt a configuration newer than the one in force."""
        if row.key != self.key or row.is_removed:
            return
        decoded = self.state.wire.decode_configuration(bytes(row.content))
        if not isinstance(decoded, Success):
            self.state.log.write(
                'configuration-unreadable',
                row_version=row.version,
                problem=decoded.failure(),
            )
            return
        configuration = decoded.unwrap()
        if self.state.routing_table.adopt(configuration):
            self.state.count_event('configuration-adopted')
            self.state.log.write(
                'configuration-adopted',
                version=configuration.version,
                rules=len(configuration.rules),
                accounts=len(configuration.accounts),
            )


class RegistryConsumer:
    """Keeps the fleet in step with the endpoint registry.

    Entries expire during a store outage, and live endpoints register again
    shortly after it.  Missing endpoints are therefore retained for that time.
    """

    __slots__ = ('missing', 'retained_until', 'state', 'table')

    def __init__(self, state: IngressState, table: str) -> None:
        self.state = state
        self.table = table
        self.missing: set[str] = set()
        self.retained_until = 0

    def handle_store_return(self) -> None:
        """Retain missing endpoints for a while after a store outage."""
        self._retain_until(time.monotonic() + RETENTION_SECONDS)

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Apply the complete list; endpoints not listed are missing."""
        for row in rows:
            self.apply_change(row)
        listed = {entry.key for entry in rows if not entry.is_removed}
        for endpoint_id in list(self.state.fleet.endpoints):
            if endpoint_id not in listed:
                self._mark_missing(endpoint_id)

    def apply_change(self, row: TableRow) -> None:
        """Apply an entry; one that cannot be decoded drops its endpoint."""
        if row.is_removed:
            self._mark_missing(row.key)
            return
        decoded = self.state.wire.decode_endpoint(row.key, bytes(row.content))
        if not isinstance(decoded, Success):
            self._drop(row.key, decoded.failure())
            return
        endpoint = decoded.unwrap()
        self.missing.discard(endpoint.endpoint_id)
        known = self.state.fleet.endpoints.get(endpoint.endpoint_id)
        if known is not None and endpoint.born > known.born:
            self.state.part_watch.record_engine_end(known, 'started again')
        self.state.part_watch.record_listed(endpoint)
        if self.state.fleet.put(endpoint):
            self.state.log.write(
                'endpoint',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                leaving=endpoint.is_leaving,
                layers=endpoint.layers.describe() if endpoint.layers else '',
                row_version=row.version,
            )

    def _retain_until(self, until: float) -> None:
        if until > self.retained_until:
            self.retained_until = until
            wait_seconds = until - time.monotonic()
            eventlet.spawn_after(wait_seconds, self._drop_missing)

    def _mark_missing(self, endpoint_id: str) -> None:
        # A failed call of any component counts: the store may only just
        # have returned.
        self._retain_until(self.state.store_failed_at + RETENTION_SECONDS)
        if time.monotonic() < self.retained_until:
            self.missing.add(endpoint_id)
            return
        self._drop(endpoint_id, 'removed')

    def _drop_missing(self) -> None:
        if time.monotonic() < self.retained_until:
            return
        for endpoint_id in self.missing:
            self._drop(endpoint_id, 'not registered again after store outage')
        self.missing.clear()

    def _drop(self, endpoint_id: str, reason: str) -> None:
        if self.state.fleet.drop(endpoint_id) is not None:
            self.state.log.write(
                'endpoint-gone',
                endpoint=endpoint_id,
                reason=reason,
            )


class TableFollower:
    """Follows a table for a consumer: a full read, then long polls.

    A change that a peer has read and the store has not yet sent to this node
    is fetched from the peer, whether or not the store is reachable.

    ``watches_closely`` is whether lease holders use short polls, and all nodes
    ask again soon after an error.  It is meant for tables whose changes have to
    be in force everywhere within a time limit, and reach nodes in no other way.
    """

    __slots__ = (
        'client',
        'consecutive_change_pages',
        'consumer',
        'copy',
        'is_reachable',
        'lost_at',
        'needs_full_read',
        'peer_versions',
        'state',
        'store',
        'watches_closely',
    )

    def __init__(
        self,
        state: IngressState,
        store: FeedStore,
        consumer: TableConsumer,
        client: HttpClient,
        peer_versions: PeerVersions,
        *,
        watches_closely: bool = True,
    ) -> None:
        self.state = state
        self.store = store
        self.consumer = consumer
        self.watches_closely = watches_closely
        self.client = client
        self.peer_versions = peer_versions
        self.copy = TableCopy()
        self.is_reachable = True
        self.needs_full_read = True
        self.lost_at = 0
        self.consecutive_change_pages = 0

    def run(self) -> None:
        """Follow the table; never returns."""
        shortest, longest = MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS
        if not self.watches_closely:
            shortest, longest = SELDOM_BACKOFF_SECONDS, SELDOM_BACKOFF_SECONDS
        backoff = shortest
        while True:
            if self._follow_once():
                backoff = shortest
                eventlet.sleep(self._batch_seconds())
                continue
            eventlet.sleep(backoff * (1 + self.state.rng.random()))
            backoff = min(longest, backoff * BACKOFF_FACTOR)

    def run_peer_sync(self) -> None:
        """Fetch the table from peers that are ahead; never returns."""
        while True:
            eventlet.sleep(PEER_CHECK_SECONDS)
            grace_seconds = STORE_GRACE_SECONDS if self.is_reachable else 0
            peer = self.peer_versions.find_newer_peer(
                self.consumer.table,
                self.copy.known_version,
                time.monotonic() - grace_seconds,
            )
            if peer and not self._fetch_from_peer(peer):
                eventlet.sleep(STORE_GRACE_SECONDS)

    def _batch_seconds(self) -> float:
        """Return how long to collect changes, which is longer in a burst."""
        seconds = BATCH_SECONDS * (1 + self.consecutive_change_pages)
        return min(MAX_BATCH_SECONDS, seconds)

    def _follow_once(self) -> bool:
        if self.needs_full_read:
            page = self.store.read_table(self.consumer.table)
        else:
            page = self.store.follow(
                self.consumer.table,
                self.copy.version,
                self._wait_seconds,
            )
        if not isinstance(page, Success):
            self._handle_error(page.failure())
            return False
        self._process_page(page.unwrap())
        return True

    @property
    def _wait_seconds(self) -> float:
        if not self.is_reachable:
            # A short poll detects the return of the store at once.
            return RECONNECT_WAIT_SECONDS
        if self.watches_closely and self.state.must_watch_store:
            return WATCHER_WAIT_SECONDS
        return WAIT_SECONDS

    def _process_page(self, page: RowPage) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self._log_store_return()
            self.consumer.handle_store_return()
        if self.needs_full_read:
            # A full read may be older than the version known before the
            # store dropped its history.
            if page.version >= self.copy.known_version:
                self._replace(page.rows, page.version)
            return
        changes = self.copy.apply_changes(page.rows, page.version)
        self.consecutive_change_pages = (
            self.consecutive_change_pages + 1 if changes else 0
        )
        for row in changes:
            self.consumer.apply_change(row)

    def _replace(self, rows: tuple[TableRow, ...], version: int) -> None:
        self.needs_full_read = False
        self.copy.replace(rows, version)
        self.consumer.replace_all(rows)

    def _fetch_from_peer(self, peer: str) -> bool:
        """Adopt a peer's newer table; return whether the peer sent one."""
        known = self.copy.known_version
        relayed = fetch_table(
            self.client,
            self.state.log,
            peer,
            self.consumer.table,
            known,
        )
        if relayed is None:
            return False
        if relayed.version <= self.copy.known_version:
            return True
        self.state.log.write(
            'told-by-peer',
            peer=peer,
            table=self.consumer.table,
            version=relayed.version,
            known=known,
            age_seconds=round(relayed.age, 3),
        )
        self._adopt_relayed(relayed)
        return True

    def _adopt_relayed(self, relayed: RelayedTable) -> None:
        rows = tuple(
            TableRow(row.key, row.version, msgspec.Raw(row.content))
            for row in relayed.rows
        )
        # The peer may have read the registry while entries were missing.
        self.consumer.handle_store_return()
        self._replace(rows, relayed.version)

    def _handle_error(self, error: StoreError) -> None:
        if error.problem is StoreProblem.EXPIRED:
            self.needs_full_read = True
            return
        self.state.record_store_failure(time.monotonic())
        if self.is_reachable:
            self.is_reachable = False
            self.lost_at = time.monotonic()
            self.state.log.write(
                'store-lost',
                table=self.consumer.table,
                problem=error.problem,
                step=error.step,
                version=self.copy.version,
            )

    def _log_store_return(self) -> None:
        self.state.log.write(
            'store-back',
            table=self.consumer.table,
            away_seconds=round(time.monotonic() - self.lost_at, 3),
        )
