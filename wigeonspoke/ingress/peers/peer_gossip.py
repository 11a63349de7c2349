"""Gossip between ingress nodes.

It has several purposes.  A node that the store refuses, or whose long poll was
never answered, learns from its peers that a table has changed.  A dead holder
is noticed within two seconds instead of when its lease expires.  The requests
that one node has in flight at a chain are counted by all nodes.  The evidence
of parts of prompts under which engines ended, and the limits that endpoints
name, reach all nodes, also without the store.  A node tells which endpoints it
reaches, so that one that cannot reach them knows that they are not down.
"""

import random
import time
import uuid

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.chains import TokenLoad
from wigeonspoke.core.fleet import LeavingReport
from wigeonspoke.core.leases import LeaseRow, VersionedLease
from wigeonspoke.core.limits import LimitReport
from wigeonspoke.core.membership import (
    GossipMessage,
    GossipState,
    MarkRegistry,
    PeerReport,
)
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.quarantine import PartReport
from wigeonspoke.core.reachability import ReachedReport
from wigeonspoke.core.store_version import UNKNOWN_ERA, StoreVersion
from wigeonspoke.ingress.peers.peer_versions import PeerVersions
from wigeonspoke.ingress.state import IngressState, node_name
from wigeonspoke.ingress.tables.table_copy import TableCopy
from wigeonspoke.serialization import decode_json
from wigeonspoke.transport import HttpClient, HttpError

GOSSIP_PATH = '/peers/v1/talk'
ROUND_SECONDS = 0.7
ROUND_JITTER = 0.2
REQUEST_TIMEOUT_SECONDS = 0.5
TAG_LENGTH = 8
# Time between extra rounds, which news of parts cause.  In a large deployment
# a node passes on what it hears, and each node does so.
NEWS_INTERVAL_SECONDS = 0.1
NEWS_INTERVAL_IN_LARGE_SECONDS = 0.5


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Gossip message of a node with its leases, tables and streams.

    ``leases`` maps the failure domains whose lease the node holds to the
    expiry, in seconds of the store's monotonic clock.  ``tables`` maps names
    of store tables to the version of the newest change that the node has
    read.  ``streams`` maps the endpoint ids of chain heads to the number of
    streams that the node has there.  ``parts`` is evidence of parts under
    which engines ended, and ``served_parts`` are parts with which answers
    went well for the first time.  ``limits`` are limits that endpoints named
    or ended in their answers, and ``leaving`` the runs that said they leave.
    ``heard_leases`` are the leases of other nodes, as their holders told them,
    by failure domain.  ``reached`` are the groups of endpoints that the node
    reaches or is isolated from.  ``released_leases`` are the leases that it
    gave up because it is.  ``open_requests`` is the number of requests that it
    has at endpoints, for its clients and for peers, and ``is_stopping`` whether
    it stops.  ``loads`` holds the tokens of its streams, by the endpoint id of
    the chain head.  ``table_eras`` are the eras of the store to which the
    versions in ``tables`` belong; nodes of earlier builds do not tell them.
    """

    gossip: GossipMessage
    leases: dict[str, float]
    tables: dict[str, int]
    streams: dict[str, int]
    parts: tuple[PartReport, ...] = ()
    served_parts: tuple[str, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    leaving: tuple[LeavingReport, ...] = ()
    heard_leases: dict[str, LeaseRow] = {}
    reached: tuple[ReachedReport, ...] = ()
    released_leases: dict[str, VersionedLease] = {}
    open_requests: int = 0
    is_stopping: bool = False
    loads: dict[str, TokenLoad] = {}
    table_eras: dict[str, int] = {}


class PeerGossip:
    """Exchanges updates with peers and applies theirs to the state.

    Each start of a node has its own instance id, ``NAME#TAG`` with a random
    tag, so that no clock is needed to tell a later start from an earlier one.
    """

    __slots__ = (
        'client',
        'copies',
        'exchange',
        'instance_id',
        'last_heard_at',
        'news_round_at',
        'peer_versions',
        'sequence',
        'state',
    )

    def __init__(
        self,
        state: IngressState,
        client: HttpClient,
        copies: dict[str, TableCopy],
        peer_versions: PeerVersions,
    ) -> None:
        self.state = state
        self.client = client
        self.copies = copies
        self.peer_versions = peer_versions
        self.sequence = 0
        # When the next extra round begins, if it is in the future.
        self.news_round_at = 0
        state.tell_news = self.tell_news
        # When each peer last sent a request to this node, by address.
        self.last_heard_at: dict[str, float] = {}
        tag = uuid.uuid4().hex[:TAG_LENGTH]
        self.instance_id = f'{state.settings.name}#{tag}'
        self.exchange = GossipState(
            state.settings.failure_domain,
            state.settings.peers,
            MarkRegistry(),
            state.peers,
            random.Random(),
        )

    def set_address(self, address: str) -> None:
        """Set the address at which this node listens for peers."""
        self.exchange.address = address
        self.exchange.remove_contact(address)

    def run(self) -> None:
        """Exchange updates with some peers in each round; never returns."""
        while True:
            for address in self.state.peer_addresses:
                self.exchange.add_contact(address)
            self.state.hears_all_peers = self.exchange.sends_to_all
            # An exchange updates both nodes, so one per round and pair is
            # enough.
            heard_before = time.monotonic() - ROUND_SECONDS
            for peer in self.exchange.choose_peers():
                if self.last_heard_at.get(peer, 0) < heard_before:
                    eventlet.spawn(self._exchange_with, peer)
            jitter = 1 + ROUND_JITTER * self.state.rng.random()
            eventlet.sleep(ROUND_SECONDS * jitter)
            lost = self.state.peers.remove_stale(time.monotonic())
            self._handle_lost(lost, 'silent')

    def tell_news(self) -> None:
        """Start an extra round soon, unless one is about to start."""
        now = time.monotonic()
        if self.news_round_at > now:
            return
        interval = NEWS_INTERVAL_SECONDS
        if not self.state.hears_all_peers:
            interval = NEWS_INTERVAL_IN_LARGE_SECONDS
        wait_seconds = max(0, self.news_round_at + interval - now)
        self.news_round_at = now + wait_seconds
        eventlet.spawn_after(wait_seconds, self._run_news_round)

    def build_update(self, address: str) -> PeerUpdate:
        """Build the next update for a peer."""
        self.sequence += 1
        report = PeerReport(
            node=self.instance_id,
            failure_domain=self.state.settings.failure_domain,
            incarnation='',
            sequence=self.sequence,
            generation=0,
            loads=(),
            round_seconds=ROUND_SECONDS,
        )
        now = time.monotonic()
        parts = self.state.part_watch.registry
        return PeerUpdate(
            self.exchange.message_to(address, report),
            self.state.leases,
            {
                name: copy.newest_change.number
                for name, copy in self.copies.items()
            },
            dict(self.state.chains.in_flight),
            parts.reports(now),
            parts.sound.recent_news(now),
            self.state.limits.reports(now),
            self.state.fleet.leaving.reports(now),
            self.state.heard_leases(),
            self.state.reachability.reports(now),
            self.state.released_leases,
            self.state.open_requests,
            self.state.is_stopping,
            dict(self.state.chains.times.loads),
            {
                name: copy.newest_change.era
                for name, copy in self.copies.items()
            },
        )

    def apply_update(self, update: PeerUpdate) -> None:
        """Apply an update received from a peer."""
        gossip = update.gossip
        instance_id = gossip.report.node
        if instance_id == self.instance_id:
            self.exchange.remove_contact(gossip.address)
            return
        now = time.monotonic()
        peers = self.state.peers
        is_new = instance_id not in peers.peers
        self.exchange.receive(gossip)
        self._handle_lost(
            peers.apply_departures(gossip.departures), 'reported by a peer'
        )
        if not peers.update(gossip.report, now):
            return
        self._apply_facts(update, now)
        self.state.queues.wake()
        if is_new:
            self.state.log.write(
                'peer', peer=instance_id, address=gossip.address
            )

    def handle_request(self, body: bytes) -> bytes | None:
        """Apply a peer's update and return the reply, None if undecodable."""
        update = self._decode(body, '')
        if update is None:
            return None
        self.apply_update(update)
        self.last_heard_at[update.gossip.address] = time.monotonic()
        return msgspec.json.encode(self.build_update(update.gossip.address))

    def _run_news_round(self) -> None:
        for peer in self.exchange.choose_peers():
            eventlet.spawn(self._exchange_with, peer)

    def _apply_facts(self, update: PeerUpdate, now: float) -> None:
        instance_id = update.gossip.report.node
        self.state.chains.peer_load.update(
            instance_id, update.streams, update.loads
        )
        self.state.lease_holding_peers.discard(instance_id)
        if update.leases:
            self.state.lease_holding_peers.add(instance_id)
        for domain, until in update.leases.items():
            self.state.record_peer_lease(domain, node_name(instance_id), until)
        for domain, lease in update.heard_leases.items():
            self.state.record_peer_lease(domain, lease.holder, lease.until)
        self._apply_reached(update, now)
        limits = self.state.limits
        limits.senders.record(
            node_name(instance_id), update.gossip.report.failure_domain, now
        )
        has_news = any([limits.merge(one, now) for one in update.limits])
        has_news = self._apply_part_news(update, now) or has_news
        source = node_name(instance_id)
        has_news = self.state.merge_leaving(update.leaving, source) or has_news
        if has_news and not self.state.hears_all_peers:
            self.tell_news()
        self._record_tables(update, now)

    def _record_tables(self, update: PeerUpdate, now: float) -> None:
        """Record which tables a peer has read, and up to which change."""
        for name, number in update.tables.items():
            era = update.table_eras.get(name, UNKNOWN_ERA)
            changed = self.state.eras.complete(StoreVersion(era, number))
            self.peer_versions.record(name, changed, update.gossip.address, now)

    def _apply_reached(self, update: PeerUpdate, now: float) -> None:
        for domain, released in update.released_leases.items():
            self.state.record_released_lease(domain, released)
        gossip = update.gossip
        self.state.reachability.merge(
            node_name(gossip.report.node),
            gossip.address,
            gossip.report.failure_domain,
            update.reached,
            now,
            open_requests=update.open_requests,
            is_stopping=update.is_stopping,
        )

    def _apply_part_news(self, update: PeerUpdate, now: float) -> bool:
        part_watch = self.state.part_watch
        part_watch.registry.sound.record_parts(update.served_parts, now)
        source = node_name(update.gossip.report.node)
        merged = [part_watch.merge(report, source) for report in update.parts]
        return any(merged)

    def _exchange_with(self, peer: str) -> None:
        body = msgspec.json.encode(self.build_update(peer))
        reply = self.client.post(
            peer, GOSSIP_PATH, body, REQUEST_TIMEOUT_SECONDS
        )
        if not isinstance(reply, Success):
            self._handle_failure(peer, reply.failure())
            return
        if not reply.unwrap().is_ok:
            return
        update = self._decode(reply.unwrap().body, peer)
        if update is not None:
            self.apply_update(update)

    def _decode(self, body: bytes, peer: str) -> PeerUpdate | None:
        """Decode a message of a peer; its address is only known of replies."""
        decoded = decode_json(body, PeerUpdate)
        if not isinstance(decoded, Success):
            self.state.log.write(
                'peer-unreadable',
                peer=peer,
                step='talk',
                problem=decoded.failure(),
            )
        return decoded.value_or(None)

    def _handle_failure(self, peer: str, error: HttpError) -> None:
        is_certain = error.outcome is Outcome.NOT_RUN
        departure = self.exchange.record_failure(peer, is_certain)
        if departure is not None:
            lost = self.state.peers.apply_departures((departure,))
            self._handle_lost(lost, str(error.reason))

    def _handle_lost(self, instance_ids: tuple[str, ...], reason: str) -> None:
        if instance_ids:
            self.state.chains.peer_load.retain(self.state.peers.peers.keys())
        self.state.lease_holding_peers.difference_update(instance_ids)
        for instance_id in instance_ids:
            self.state.reachability.remove_peer(node_name(instance_id))
            self.state.log.write('peer-lost', peer=instance_id, reason=reason)
