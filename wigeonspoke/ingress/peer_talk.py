"""What nodes tell each other, again and again.

The faults it answers: a node that the store turns away, or whose wait for
news was swallowed, hears from its peers that there is something newer; a
steward that dies is missed within two seconds and not when its lease runs
out; and what one node has in flight at a chain counts at all of them.
"""

import random
import time
import uuid
from typing import Any

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.membership import (
    GossipMessage,
    GossipState,
    MarkRegistry,
    PeerReport,
)
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.ingress.relay import TableCopy, TableNews
from wigeonspoke.ingress.state import IngressState, name_of
from wigeonspoke.transport import HttpClient, HttpError

PATH = '/peers/v1/talk'
ROUND_SECONDS = 0.7
ROUND_SPREAD = 0.2
ASK_SECONDS = 0.5
TAG_LENGTH = 8


class NodeTold(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells a peer.

    ``tables`` maps the names of the store's tables to the version of the
    newest change that the node has read, ``streams`` the ids of heads of
    chains to the streams that it has there, and ``leases`` the failure
    domains that it is steward of to when that ends, in seconds of the
    store's steady clock.
    """

    gossip: GossipMessage
    leases: dict[str, float]
    tables: dict[str, int]
    streams: dict[str, int]


class PeerTalk:
    """Tells peers what this node knows, and takes in what they tell.

    Each start of a node is a peer of its own, ``NAME#TAG``: no clock has to
    tell a later start from an earlier one.
    """

    __slots__ = (
        'client',
        'copies',
        'exchange',
        'heard_at',
        'news',
        'sequence',
        'start',
        'state',
    )

    def __init__(
        self,
        state: IngressState,
        client: HttpClient,
        copies: dict[str, TableCopy],
        news: TableNews,
    ) -> None:
        self.state = state
        self.client = client
        self.copies = copies
        self.news = news
        self.sequence = 0
        # When peers last spoke to this node of their own accord.
        self.heard_at: dict[str, float] = {}
        tag = uuid.uuid4().hex[:TAG_LENGTH]
        self.start = f'{state.settings.name}#{tag}'
        self.exchange = GossipState(
            state.settings.failure_domain,
            state.settings.peers,
            MarkRegistry(),
            state.peer_book,
            random.Random(),
        )

    def listen_at(self, address: str) -> None:
        """Tell where this node listens for peers."""
        self.exchange.address = address
        self.exchange.remove_contact(address)

    def run(self) -> None:
        """Talk to some peers again and again."""
        while True:
            for address in self.state.peers:
                self.exchange.add_contact(address)
            self.state.hears_all_peers = self.exchange.sends_to_all
            # An exchange goes both ways: one a round is enough for a pair.
            heard_before = time.monotonic() - ROUND_SECONDS
            for peer in self.exchange.choose_peers():
                if self.heard_at.get(peer, 0) < heard_before:
                    eventlet.spawn(self._talk, peer)
            spread = 1 + ROUND_SPREAD * self.state.random.random()
            eventlet.sleep(ROUND_SECONDS * spread)
            lost = self.state.peer_book.remove_stale(time.monotonic())
            self._note_lost(lost, 'silent')

    def tell(self, address: str) -> NodeTold:
        """Give what a peer is told now."""
        self.sequence += 1
        report = PeerReport(
            node=self.start,
            failure_domain=self.state.settings.failure_domain,
            incarnation='',
            sequence=self.sequence,
            generation=0,
            loads=(),
            round_seconds=ROUND_SECONDS,
        )
        return NodeTold(
            self.exchange.message_to(address, report),
            self.state.leases,
            {name: copy.changed for name, copy in self.copies.items()},
            dict(self.state.chains.in_flight),
        )

    def take(self, told: NodeTold) -> None:
        """Take in what a peer has told."""
        gossip = told.gossip
        start = gossip.report.node
        if start == self.start:
            self.exchange.remove_contact(gossip.address)
            return
        now = time.monotonic()
        book = self.state.peer_book
        is_new = start not in book.peers
        self.exchange.receive(gossip)
        self._note_lost(
            book.apply_departures(gossip.departures), 'told by a peer'
        )
        if not book.update(gossip.report, now):
            return
        self._take_facts(told, now)
        if is_new:
            self.state.log.write('peer', peer=start, address=gossip.address)

    def answer(self, body: bytes) -> bytes | None:
        """Answer a peer; give nothing to one that cannot be understood."""
        try:
            told = msgspec.json.decode(body, type=NodeTold)
        except msgspec.MsgspecError:
            self.state.log.write('peer-unreadable', step='talk')
            return None
        self.take(told)
        self.heard_at[told.gossip.address] = time.monotonic()
        return msgspec.json.encode(self.tell(told.gossip.address))

    def _take_facts(self, told: NodeTold, now: float) -> None:
        start = told.gossip.report.node
        self.state.chains.peer_load.update(start, told.streams)
        self.state.steward_peers.discard(start)
        if told.leases:
            self.state.steward_peers.add(start)
        for domain, until in told.leases.items():
            self.state.note_lease(domain, name_of(start), until)
        for name, changed in told.tables.items():
            self.news.note(name, changed, told.gossip.address, now)

    def _talk(self, peer: str) -> None:
        body = msgspec.json.encode(self.tell(peer))
        reply = self.client.post(peer, PATH, body, ASK_SECONDS)
        if not isinstance(reply, Success):
            self._note_failure(peer, reply.failure())
            return
        if not reply.unwrap().is_ok:
            return
        try:
            told: Any = msgspec.json.decode(reply.unwrap().body, type=NodeTold)
        except msgspec.MsgspecError:
            self.state.log.write('peer-unreadable', peer=peer, step='talk')
            return
        self.take(told)

    def _note_failure(self, peer: str, error: HttpError) -> None:
        sure = error.outcome is Outcome.NOT_RUN
        departure = self.exchange.record_failure(peer, sure)
        if departure is not None:
            lost = self.state.peer_book.apply_departures((departure,))
            self._note_lost(lost, str(error.reason))

    def _note_lost(self, starts: tuple[str, ...], reason: str) -> None:
        if starts:
            self.state.chains.peer_load.retain(
                self.state.peer_book.peers.keys()
            )
        self.state.steward_peers.difference_update(starts)
        for start in starts:
            self.state.log.write('peer-lost', peer=start, reason=reason)
