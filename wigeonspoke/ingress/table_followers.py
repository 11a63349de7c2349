"""Following the store: the configuration and the registry of endpoints."""

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

# A wait may be swallowed by a store that breaks down meanwhile.  Stewards
# look often enough for all; the others hear from them.
WATCHER_WAIT_SECONDS = 4.0
WAIT_SECONDS = 20.0
RECONNECT_WAIT_SECONDS = 0.05
# Entries that ran out while the store was away are back this long after it,
# or gone for good.
RETENTION_SECONDS = 2.5
# Changes come in bursts, and each call has its price.
BATCH_SECONDS = 0.2
MAX_BATCH_SECONDS = 0.6
PEER_CHECK_SECONDS = 0.1
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
BACKOFF_FACTOR = 2


class TableConsumer(Protocol):
    """Takes in the rows of a table."""

    table: str

    def note_store_return(self) -> None:
        """Take in that the store has answered again."""

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in a whole table."""

    def apply_change(self, row: TableRow) -> None:
        """Take in one row that changed."""


class ConfigurationConsumer:
    """Adopts each newer version of the configuration."""

    __slots__ = ('key', 'state', 'table')

    def __init__(self, state: IngressState, table: str, key: str) -> None:
        self.state = state
        self.table = table
        self.key = key

    def note_store_return(self) -> None:
        """A version stays in force whatever becomes of the store."""

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in a whole table."""
        for row in rows:
            self.apply_change(row)

    def apply_change(self, row: TableRow) -> None:
        """Adopt a version if it is newer than the one in force."""
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
    """Keeps the fleet as the registry lists it.

    Entries run out while the store is away, and come back shortly after it
    if their endpoint lives: for that long what is missing is kept.
    """

    __slots__ = ('missing', 'retained_until', 'state', 'table')

    def __init__(self, state: IngressState, table: str) -> None:
        self.state = state
        self.table = table
        self.missing: set[str] = set()
        self.retained_until = 0

    def note_store_return(self) -> None:
        """Take in that the list comes from a store that was away."""
        self._retain_until(time.monotonic() + RETENTION_SECONDS)

    def replace_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in the whole list; what it leaves out is gone."""
        for row in rows:
            self.apply_change(row)
        listed = {entry.key for entry in rows if not entry.is_removed}
        for endpoint_id in list(self.state.fleet.endpoints):
            if endpoint_id not in listed:
                self._mark_missing(endpoint_id)

    def apply_change(self, row: TableRow) -> None:
        """Take in an entry; one that cannot be read names no endpoint."""
        if row.is_removed:
            self._mark_missing(row.key)
            return
        decoded = self.state.wire.decode_endpoint(row.key, bytes(row.content))
        if not isinstance(decoded, Success):
            self._drop(row.key, decoded.failure())
            return
        endpoint = decoded.unwrap()
        self.missing.discard(endpoint.endpoint_id)
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
        # Whichever call it was that failed: the store may just be back.
        self._retain_until(self.state.store_failed_at + RETENTION_SECONDS)
        if time.monotonic() < self.retained_until:
            self.missing.add(endpoint_id)
            return
        self._drop(endpoint_id, 'removed')

    def _drop_missing(self) -> None:
        if time.monotonic() < self.retained_until:
            return
        for endpoint_id in self.missing:
            self._drop(endpoint_id, 'not back after the store')
        self.missing.clear()

    def _drop(self, endpoint_id: str, reason: str) -> None:
        if self.state.fleet.drop(endpoint_id) is not None:
            self.state.log.write(
                'endpoint-gone',
                endpoint=endpoint_id,
                reason=reason,
            )


class TableFollower:
    """Keeps a feed up to date: reads the table, then waits for changes.

    What a peer has read and the store has not told this node is asked of
    the peer, whether the store is known to be away or not.
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
    )

    def __init__(
        self,
        state: IngressState,
        store: FeedStore,
        consumer: TableConsumer,
        client: HttpClient,
        peer_versions: PeerVersions,
    ) -> None:
        self.state = state
        self.store = store
        self.consumer = consumer
        self.client = client
        self.peer_versions = peer_versions
        self.copy = TableCopy()
        self.is_reachable = True
        self.needs_full_read = True
        self.lost_at = 0
        self.consecutive_change_pages = 0

    def run(self) -> None:
        """Follow the table for ever."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            if self._follow_once():
                backoff = MIN_BACKOFF_SECONDS
                eventlet.sleep(self._batch_seconds())
                continue
            eventlet.sleep(backoff * (1 + self.state.random.random()))
            backoff = min(MAX_BACKOFF_SECONDS, backoff * BACKOFF_FACTOR)

    def run_peer_sync(self) -> None:
        """Ask peers for what they have and this node has not, for ever."""
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
        """Give how long to let changes come together, more in a burst."""
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
            self._note_error(page.failure())
            return False
        self._process_page(page.unwrap())
        return True

    @property
    def _wait_seconds(self) -> float:
        if not self.is_reachable:
            # A short wait tells at once that the store is back.
            return RECONNECT_WAIT_SECONDS
        if self.state.must_watch_store:
            return WATCHER_WAIT_SECONDS
        return WAIT_SECONDS

    def _process_page(self, page: RowPage) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self._note_return()
            self.consumer.note_store_return()
        if self.needs_full_read:
            # A read may lie behind what was known before the history went.
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
        """Take a peer's table if it is newer; tell whether it was there."""
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
        # The peer may have read the list while entries were still missing.
        self.consumer.note_store_return()
        self._replace(rows, relayed.version)

    def _note_error(self, error: StoreError) -> None:
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

    def _note_return(self) -> None:
        self.state.log.write(
            'store-back',
            table=self.consumer.table,
            away_seconds=round(time.monotonic() - self.lost_at, 3),
        )
