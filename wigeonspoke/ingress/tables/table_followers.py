"""Followers of the store's tables."""

import math
import time
import traceback

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.fleet import RETENTION_SECONDS
from wigeonspoke.core.store_version import UNKNOWN_ERA, StoreVersion
from wigeonspoke.ingress.peers.peer_versions import PeerVersions
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_consumers import TableConsumer
from wigeonspoke.ingress.tables.table_copy import (
    RelayedTable,
    TableCopy,
    decode_rows,
)
from wigeonspoke.ingress.tables.table_relay import (
    STORE_GRACE_SECONDS,
    fetch_table,
)
from wigeonspoke.ingress.tables.table_source import Retention, TableSource
from wigeonspoke.ingress.wake_up import WakeUp
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
# A node counts as followed for this long after another one asked it.
FOLLOWED_SECONDS = 10.0
# Pause between polls: changes come in bursts, and each call has a cost.
BATCH_SECONDS = 0.2
MAX_BATCH_SECONDS = 0.6
# A change that a peer knows is looked for this often, and one that may have
# been missed this seldom.
PEER_CHECK_SECONDS = 0.1
MAX_PEER_CHECK_SECONDS = 2.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# Each call to the store has a price, also one that fails.
SELDOM_BACKOFF_SECONDS = 2.0
BACKOFF_FACTOR = 2
# A table is read anew within this time after the store has come back from an
# older copy of itself.
ERA_READ_SECONDS = 0.5
LARGE_ERA_READ_SECONDS = 1.0
# How often to look for a new era without news of one.
MAX_ERA_CHECK_SECONDS = 60.0


class TableFollower:
    """Follows a table for a consumer: a full read, then long polls.

    A change that a peer has read and the store has not yet sent to this node
    is fetched from the peer, whether or not the store is reachable.

    ``watches_closely`` is whether lease holders use short polls, and all nodes
    ask again soon after an error.  It is meant for tables whose changes have to
    be in force everywhere within a time limit, and reach nodes in no other way.
    """

    __slots__ = (
        'asked_at',
        'client',
        'consecutive_change_pages',
        'consumer',
        'copy',
        'fresh_until',
        'is_reachable',
        'lost_at',
        'needs_full_read',
        'news',
        'peer_versions',
        'state',
        'store',
        'turned_stale',
        'vouches_from',
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
        # From when on entries that this node has never known are gone: those
        # that lapsed in an outage before it read the table are back by then.
        self.vouches_from = math.inf
        self.consecutive_change_pages = 0
        # Until when a watcher keeps the copy current, without the store.
        self.fresh_until = -math.inf
        self.turned_stale = WakeUp()
        # When a node that follows the table through this one last asked.
        self.asked_at = -math.inf
        # Woken when the copy has changed, or no longer follows the store.
        self.news = WakeUp()

    def run(self) -> None:
        """Follow the table; never returns."""
        backoff = self._shortest_backoff
        while True:
            fresh_seconds = self.fresh_until - time.monotonic()
            if fresh_seconds > 0 and not self.needs_full_read:
                self.turned_stale.wait(fresh_seconds)
            elif self._follow_once():
                backoff = self._shortest_backoff
                eventlet.sleep(self._batch_seconds())
            else:
                eventlet.sleep(backoff * (1 + self.state.rng.random()))
                longer = backoff * BACKOFF_FACTOR
                backoff = min(self._longest_backoff, longer)

    def run_peer_sync(self) -> None:
        """Fetch the table from peers that are ahead; never returns."""
        table = self.consumer.table
        while True:
            known = self.copy.known_version
            if self.peer_versions.has_newer(table, known):
                eventlet.sleep(PEER_CHECK_SECONDS)
            else:
                self.peer_versions.news.wait(MAX_PEER_CHECK_SECONDS)
            grace_seconds = STORE_GRACE_SECONDS if self.is_reachable else 0
            peer = self.peer_versions.find_newer_peer(
                table,
                self.copy.known_version,
                time.monotonic() - grace_seconds,
            )
            if peer and not self._fetch_from_peer(peer):
                eventlet.sleep(STORE_GRACE_SECONDS)

    def run_era_sync(self) -> None:
        """Read the table anew when the store has lost rows; never returns.

        A long poll that is under way may not end for long.
        """
        while True:
            self.state.era_news.wait(MAX_ERA_CHECK_SECONDS)
            if not self._is_of_earlier_era():
                continue
            seconds = ERA_READ_SECONDS
            if not self.state.hears_all_peers:
                seconds = LARGE_ERA_READ_SECONDS
            eventlet.sleep(seconds * self.state.rng.random())
            if self._is_of_earlier_era():
                page = self.store.read_table(self.consumer.table)
                if isinstance(page, Success):
                    self._process_table(page.unwrap())

    def complete_version(self, version: StoreVersion) -> StoreVersion:
        """Return a version that a peer told, with an era if it named none."""
        return self.state.eras.complete(version)

    @property
    def reads_store(self) -> bool:
        """Whether this node reads the table from the store, and could."""
        return (
            self.is_reachable
            and not self.needs_full_read
            and time.monotonic() >= self.fresh_until
        )

    @property
    def seconds_since_outage(self) -> float:
        """How long ago the store was away, as far as this node knows."""
        return self.state.store_outages.seconds_since(time.monotonic())

    def snapshot_after(self, known: StoreVersion) -> RelayedTable | None:
        """Return what a peer that knows a version lacks, None if nothing."""
        snapshot = self.copy.snapshot_after(known)
        if snapshot is None:
            return None
        other_seconds = max(0, self.vouches_from - time.monotonic())
        retention = Retention(
            dict(self.consumer.kept_seconds()), round(other_seconds, 3)
        )
        return msgspec.structs.replace(snapshot, retention=retention)

    def mark_fresh(self, seconds: float) -> None:
        """Record that a watcher keeps the copy current for some seconds."""
        self.fresh_until = time.monotonic() + seconds
        if not self.is_reachable:
            self._record_return()

    def mark_stale(self) -> None:
        """Record that no watcher keeps the copy current any more."""
        if self.fresh_until > time.monotonic():
            self.fresh_until = -math.inf
            self.turned_stale.wake()

    def adopt(self, relayed: RelayedTable, peer: str) -> None:
        """Adopt what a peer has read, a complete table or its changes."""
        rows = decode_rows(relayed)
        version = self.complete_version(relayed.store_version)
        if version.era != UNKNOWN_ERA:
            self.state.record_era(version.era, peer)
        if not relayed.is_complete:
            self._apply_changes(rows, version, peer, relayed.retention)
        elif version > self.copy.known_version:
            self._replace(rows, version, peer, relayed.retention)

    @property
    def _shortest_backoff(self) -> float:
        if self.watches_closely:
            return MIN_BACKOFF_SECONDS
        return SELDOM_BACKOFF_SECONDS

    @property
    def _longest_backoff(self) -> float:
        """The longest pause: hundreds of nodes ask seldom.

        One that reaches the store tells the others.
        """
        if self.watches_closely and self.state.hears_all_peers:
            return MAX_BACKOFF_SECONDS
        return SELDOM_BACKOFF_SECONDS

    def _batch_seconds(self) -> float:
        """Return how long to collect changes, which is longer in a burst."""
        seconds = BATCH_SECONDS * (1 + self.consecutive_change_pages)
        return min(MAX_BATCH_SECONDS, seconds)

    def _follow_once(self) -> bool:
        sent_at = time.monotonic()
        wait_seconds = 0
        followed = None if self.needs_full_read else self.copy.version
        if followed is None:
            page = self.store.read_table(self.consumer.table)
        else:
            wait_seconds = self._wait_seconds
            page = self.store.follow(
                self.consumer.table, followed, wait_seconds
            )
        if not isinstance(page, Success):
            self._handle_error(page.failure(), sent_at + wait_seconds)
            return False
        self.state.store_outages.record_answer(time.monotonic())
        self._process_page(page.unwrap(), followed)
        return True

    @property
    def _wait_seconds(self) -> float:
        if not self.is_reachable:
            # A short poll detects the return of the store at once.
            return RECONNECT_WAIT_SECONDS
        if self.watches_closely and (
            self.state.must_watch_store or self._has_followers
        ):
            return WATCHER_WAIT_SECONDS
        return WAIT_SECONDS

    @property
    def _has_followers(self) -> bool:
        return time.monotonic() < self.asked_at + FOLLOWED_SECONDS

    def _process_page(
        self, page: RowPage, followed: StoreVersion | None
    ) -> None:
        """Process the changes after a version, or the whole table if None."""
        if not self.is_reachable:
            self._record_return()
        if followed is None:
            self._process_table(page)
            return
        if page.version.era != followed.era:
            # The version has been given out again, for other rows.
            self.needs_full_read = self._is_of_earlier_era()
            return
        has_changes = self._apply_changes(page.rows, page.version)
        self.consecutive_change_pages = (
            self.consecutive_change_pages + 1 if has_changes else 0
        )

    def _process_table(self, page: RowPage) -> None:
        # A full read may be older than the version known before the store
        # dropped its history, or than what a peer has told meanwhile.
        if page.version >= self.copy.known_version:
            self._replace(page.rows, page.version)

    def _is_of_earlier_era(self) -> bool:
        """Return whether the store has lost rows since the copy was read."""
        version = self.copy.version
        return version is not None and version.era < self.state.eras.current

    def _apply_changes(
        self,
        rows: tuple[TableRow, ...],
        version: StoreVersion,
        peer: str = '',
        retention: Retention | None = None,
    ) -> bool:
        changes = self.copy.apply_changes(rows, version)
        source = self._source(peer, retention)
        for row in changes:
            self._apply(row, source)
        if changes:
            self.news.wake()
        return bool(changes)

    def _replace(
        self,
        rows: tuple[TableRow, ...],
        version: StoreVersion,
        peer: str = '',
        retention: Retention | None = None,
    ) -> None:
        is_later_era = version.era > self.copy.known_version.era
        if self.vouches_from == math.inf or is_later_era:
            unknown_seconds = (
                RETENTION_SECONDS if retention is None else retention.other
            )
            self.vouches_from = time.monotonic() + unknown_seconds
        self.copy.replace(rows, version)
        source = msgspec.structs.replace(
            self._source(peer, retention), may_be_older=is_later_era
        )
        listed = {row.key: row for row in rows if not row.is_removed}
        for row in listed.values():
            self._apply(row, source)
        self.consumer.retain(listed.keys(), source)
        self.needs_full_read = False
        self.news.wake()

    def _source(self, peer: str, retention: Retention | None) -> TableSource:
        """Return the source of rows that the copy holds by now."""
        known_seconds = self.peer_versions.known_seconds(
            self.consumer.table, self.copy.newest_change, time.monotonic()
        )
        return TableSource(peer, known_seconds, retention)

    def _apply(self, row: TableRow, source: TableSource) -> None:
        """Apply a row; one that fails costs only itself.

        Other programs write rows too, and what follows from an odd one cannot
        be foreseen.  The others must reach the consumer all the same.
        """
        try:
            self.consumer.apply_change(row, source)
        except Exception:
            self.state.count_event('row-failed', self.consumer.table)
            self.state.log.write(
                'row-failed',
                table=self.consumer.table,
                key=row.key,
                row_version=row.version,
                problem=traceback.format_exc(),
            )

    def _record_return(self) -> None:
        self.is_reachable = True
        self._log_store_return()

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
        version = self.complete_version(relayed.store_version)
        if version <= self.copy.known_version:
            return True
        self.state.log.write(
            'told-by-peer',
            peer=peer,
            table=self.consumer.table,
            version=relayed.version,
            era=relayed.era,
            known=known.number,
            age_seconds=round(relayed.age, 3),
        )
        self.adopt(relayed, peer)
        return True

    def _handle_error(self, error: StoreError, due_at: float) -> None:
        """Handle an error of a call whose answer was due at a time."""
        if error.problem is StoreProblem.EXPIRED:
            self.needs_full_read = True
            return
        now = time.monotonic()
        self.state.record_store_failure(now, max(0, now - due_at))
        if self.is_reachable:
            self.is_reachable = False
            self.lost_at = time.monotonic()
            # Nodes that follow this one must ask elsewhere.
            self.news.wake()
            self.state.log.write(
                'store-lost',
                table=self.consumer.table,
                problem=error.problem,
                step=error.step,
                version=self.copy.known_version.number,
                era=self.copy.known_version.era,
            )

    def _log_store_return(self) -> None:
        self.state.log.write(
            'store-back',
            table=self.consumer.table,
            away_seconds=round(time.monotonic() - self.lost_at, 3),
        )
