"""Following the store: the configuration and the registry of endpoints."""

import time
from typing import Protocol

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.ingress.relay import (
    GRACE_SECONDS,
    RelayedTable,
    TableCopy,
    TableNews,
    ask_table,
)
from wigeonspoke.ingress.state import IngressState
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
WATCH_SECONDS = 4.0
WAIT_SECONDS = 20.0
RETURN_WAIT_SECONDS = 0.05
# Entries that ran out while the store was away are back this long after it,
# or gone for good.
RETURN_SECONDS = 2.5
# Changes come in bursts, and each call has its price.
GATHER_SECONDS = 0.2
MAX_GATHER_SECONDS = 0.6
NEWS_SECONDS = 0.1
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8
PAUSE_GROWTH = 2


class Feed(Protocol):
    """Takes in the rows of a table."""

    table: str

    def note_return(self) -> None:
        """Take in that the store has answered again."""

    def take_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in a whole table."""

    def take_change(self, row: TableRow) -> None:
        """Take in one row that changed."""


class ConfigurationFeed:
    """Adopts each newer version of the configuration."""

    __slots__ = ('key', 'state', 'table')

    def __init__(self, state: IngressState, table: str, key: str) -> None:
        self.state = state
        self.table = table
        self.key = key

    def note_return(self) -> None:
        """A version stays in force whatever becomes of the store."""

    def take_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in a whole table."""
        for row in rows:
            self.take_change(row)

    def take_change(self, row: TableRow) -> None:
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
        if self.state.table.adopt(configuration):
            self.state.count('configuration-adopted')
            self.state.log.write(
                'configuration-adopted',
                version=configuration.version,
                rules=len(configuration.rules),
                accounts=len(configuration.accounts),
            )


class RegistryFeed:
    """Keeps the fleet as the registry lists it.

    Entries run out while the store is away, and come back shortly after it
    if their endpoint lives: for that long what is missing is kept.
    """

    __slots__ = ('kept_until', 'missing', 'state', 'table')

    def __init__(self, state: IngressState, table: str) -> None:
        self.state = state
        self.table = table
        self.missing: set[str] = set()
        self.kept_until = 0

    def note_return(self) -> None:
        """Take in that the list comes from a store that was away."""
        self._keep_until(time.monotonic() + RETURN_SECONDS)

    def take_all(self, rows: tuple[TableRow, ...]) -> None:
        """Take in the whole list; what it leaves out is gone."""
        for row in rows:
            self.take_change(row)
        listed = {entry.key for entry in rows if not entry.is_removed}
        for endpoint_id in list(self.state.fleet.endpoints):
            if endpoint_id not in listed:
                self._miss(endpoint_id)

    def take_change(self, row: TableRow) -> None:
        """Take in an entry; one that cannot be read names no endpoint."""
        if row.is_removed:
            self._miss(row.key)
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

    def _keep_until(self, until: float) -> None:
        if until > self.kept_until:
            self.kept_until = until
            wait_seconds = until - time.monotonic()
            eventlet.spawn_after(wait_seconds, self._drop_missing)

    def _miss(self, endpoint_id: str) -> None:
        # Whichever call it was that failed: the store may just be back.
        self._keep_until(self.state.store_failed_at + RETURN_SECONDS)
        if time.monotonic() < self.kept_until:
            self.missing.add(endpoint_id)
            return
        self._drop(endpoint_id, 'removed')

    def _drop_missing(self) -> None:
        if time.monotonic() < self.kept_until:
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


class Follower:
    """Keeps a feed up to date: reads the table, then waits for changes.

    What a peer has read and the store has not told this node is asked of
    the peer, whether the store is known to be away or not.
    """

    __slots__ = (
        'client',
        'copy',
        'feed',
        'is_reachable',
        'lost_at',
        'must_read',
        'news',
        'pages_with_changes',
        'state',
        'store',
    )

    def __init__(
        self,
        state: IngressState,
        store: FeedStore,
        feed: Feed,
        client: HttpClient,
        news: TableNews,
    ) -> None:
        self.state = state
        self.store = store
        self.feed = feed
        self.client = client
        self.news = news
        self.copy = TableCopy()
        self.is_reachable = True
        self.must_read = True
        self.lost_at = 0
        self.pages_with_changes = 0

    def run(self) -> None:
        """Follow the table for ever."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            if self._follow_once():
                pause = FIRST_PAUSE_SECONDS
                eventlet.sleep(self._gather_seconds())
                continue
            eventlet.sleep(pause * (1 + self.state.random.random()))
            pause = min(MAX_PAUSE_SECONDS, pause * PAUSE_GROWTH)

    def run_relay(self) -> None:
        """Ask peers for what they have and this node has not, for ever."""
        while True:
            eventlet.sleep(NEWS_SECONDS)
            grace = GRACE_SECONDS if self.is_reachable else 0
            peer = self.news.ahead(
                self.feed.table,
                self.copy.known,
                time.monotonic() - grace,
            )
            if peer and not self._ask_peer(peer):
                eventlet.sleep(GRACE_SECONDS)

    def _gather_seconds(self) -> float:
        """Give how long to let changes come together, more in a burst."""
        seconds = GATHER_SECONDS * (1 + self.pages_with_changes)
        return min(MAX_GATHER_SECONDS, seconds)

    def _follow_once(self) -> bool:
        if self.must_read:
            page = self.store.read_table(self.feed.table)
        else:
            page = self.store.follow(
                self.feed.table,
                self.copy.version,
                self._wait_seconds,
            )
        if not isinstance(page, Success):
            self._note_error(page.failure())
            return False
        self._take(page.unwrap())
        return True

    @property
    def _wait_seconds(self) -> float:
        if not self.is_reachable:
            # A short wait tells at once that the store is back.
            return RETURN_WAIT_SECONDS
        if self.state.must_watch:
            return WATCH_SECONDS
        return WAIT_SECONDS

    def _take(self, page: RowPage) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            self._note_return()
            self.feed.note_return()
        if self.must_read:
            # A read may lie behind what was known before the history went.
            if page.version >= self.copy.known:
                self._replace(page.rows, page.version)
            return
        fresh = self.copy.change(page.rows, page.version)
        self.pages_with_changes = self.pages_with_changes + 1 if fresh else 0
        for row in fresh:
            self.feed.take_change(row)

    def _replace(self, rows: tuple[TableRow, ...], version: int) -> None:
        self.must_read = False
        self.copy.replace(rows, version)
        self.feed.take_all(rows)

    def _ask_peer(self, peer: str) -> bool:
        """Take a peer's table if it is newer; tell whether it was there."""
        known = self.copy.known
        relayed = ask_table(
            self.client,
            self.state.log,
            peer,
            self.feed.table,
            known,
        )
        if relayed is None:
            return False
        if relayed.version <= self.copy.known:
            return True
        self.state.log.write(
            'told-by-peer',
            peer=peer,
            table=self.feed.table,
            version=relayed.version,
            known=known,
            age_seconds=round(relayed.age, 3),
        )
        self._take_relayed(relayed)
        return True

    def _take_relayed(self, relayed: RelayedTable) -> None:
        rows = tuple(
            TableRow(row.key, row.version, msgspec.Raw(row.content))
            for row in relayed.rows
        )
        # The peer may have read the list while entries were still missing.
        self.feed.note_return()
        self._replace(rows, relayed.version)

    def _note_error(self, error: StoreError) -> None:
        if error.problem is StoreProblem.EXPIRED:
            self.must_read = True
            return
        self.state.note_store_failure(time.monotonic())
        if self.is_reachable:
            self.is_reachable = False
            self.lost_at = time.monotonic()
            self.state.log.write(
                'store-lost',
                table=self.feed.table,
                problem=error.problem,
                step=error.step,
                version=self.copy.version,
            )

    def _note_return(self) -> None:
        self.state.log.write(
            'store-back',
            table=self.feed.table,
            away_seconds=round(time.monotonic() - self.lost_at, 3),
        )
