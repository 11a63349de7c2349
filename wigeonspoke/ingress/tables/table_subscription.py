"""A table that a node follows through a watcher instead of the store."""

import time

import eventlet

from wigeonspoke.core.membership import GossipState, choose_watchers
from wigeonspoke.core.rendezvous import rank_names
from wigeonspoke.ingress.state import IngressState, node_name
from wigeonspoke.ingress.tables.table_followers import TableFollower
from wigeonspoke.ingress.tables.table_relay import WatcherAnswer, fetch_changes
from wigeonspoke.transport import HttpClient

# Changes come at once, and so does the end of a connection.  A watcher that
# hangs is noticed after this time, and what it misses by gossip before.
WAIT_SECONDS = 4
# A copy counts as current for this long after an answer of a watcher.
FRESH_SECONDS = WAIT_SECONDS + 1.0
# A watcher that does not read the store, or did not answer, is left for this
# long.
AVOID_SECONDS = 3.0
AVOID_SILENT_SECONDS = 15.0
CHECK_SECONDS = 1.0
# Nodes that have just started do not know their peers yet.
DISCOVERY_SECONDS = 2.0


class TableSubscription:
    """Keeps a follower's copy current through a watcher of its domain.

    A node that is a watcher, holds a lease or knows too few peers has none.
    The store is asked again as soon as no watcher is left.
    """

    __slots__ = ('avoided_until', 'client', 'exchange', 'follower', 'state')

    def __init__(
        self,
        state: IngressState,
        client: HttpClient,
        follower: TableFollower,
        exchange: GossipState,
    ) -> None:
        self.state = state
        self.client = client
        self.follower = follower
        self.exchange = exchange
        self.avoided_until: dict[str, float] = {}

    def run(self) -> None:
        """Follow the table through watchers; never returns."""
        while True:
            watcher = self._choose()
            if watcher:
                self._ask(watcher)
                continue
            self.follower.mark_stale()
            eventlet.sleep(CHECK_SECONDS)

    def _choose(self) -> str:
        """Return the address of a watcher, empty if there is none."""
        state = self.state
        now = time.monotonic()
        is_new = now < state.started_at + DISCOVERY_SECONDS
        if state.hears_all_peers or state.holds_lease or is_new:
            return ''
        by_address = self._local_nodes()
        own_name = state.settings.name
        watchers = choose_watchers(
            state.settings.failure_domain, {*by_address, own_name}
        )
        if own_name in watchers:
            return ''
        for name in rank_names(own_name, watchers):
            address = by_address[name]
            if self.avoided_until.get(address, 0) <= now:
                return address
        return ''

    def _local_nodes(self) -> dict[str, str]:
        """Return the addresses of the known nodes of the domain, by name.

        Those not heard from lately count as well: in a large domain a round of
        gossip reaches few of them, and all nodes must choose alike.
        """
        departed = self.state.peers.departures
        contacts = self.exchange.contacts
        domain = self.state.settings.failure_domain
        return {
            node_name(instance_id): address
            for address, instance_id in self.exchange.node_names.items()
            if contacts.get(address) == domain and instance_id not in departed
        }

    def _ask(self, watcher: str) -> None:
        """Wait for changes at a watcher, which is avoided if it has none."""
        follower = self.follower
        answer = fetch_changes(
            self.client,
            self.state.log,
            watcher,
            follower.consumer.table,
            follower.copy.known_version,
            WAIT_SECONDS,
        )
        now = time.monotonic()
        if answer is None:
            self.avoided_until[watcher] = now + AVOID_SILENT_SECONDS
            return
        self._apply(answer, watcher)
        if not answer.reads_store:
            self.avoided_until[watcher] = now + AVOID_SECONDS
            return
        was_stale = follower.fresh_until <= time.monotonic()
        follower.mark_fresh(FRESH_SECONDS)
        if was_stale:
            self.state.log.write(
                'follows-watcher',
                peer=watcher,
                table=follower.consumer.table,
                version=follower.copy.known_version.number,
                era=follower.copy.known_version.era,
            )

    def _apply(self, answer: WatcherAnswer, watcher: str) -> None:
        if answer.table is None:
            return
        outage_age = answer.seconds_since_outage
        if answer.table.retention is None and outage_age is not None:
            # A watcher of an earlier build does not tell which entries may
            # come back.
            self.state.store_outages.record_return(
                time.monotonic() - outage_age
            )
        self.follower.adopt(answer.table, watcher)
