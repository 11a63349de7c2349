"""Exchanges messages with peers, a few times a second at the most."""

import random
import time

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.events import (
    LeavingHostsListed,
    MarksReceived,
    PeerReported,
    PeersDeparted,
)
from wigeonspoke.core.membership import (
    GossipMessage,
    GossipState,
    message_size,
    round_seconds,
)
from wigeonspoke.core.membership.gossip import ROUND_SECONDS
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.node.config_sync import ConfigSync
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.observe import HybridTime
from wigeonspoke.store import HostEntry, HostList
from wigeonspoke.transport import HttpClient, HttpError

HOSTS_SECONDS = 1.0
NEWS_SECONDS = 0.05
GOSSIP_PATH = '/peers/v1/gossip'


class TimedMessage(msgspec.Struct, frozen=True):
    """A message with the hybrid time at which it was sent."""

    message: GossipMessage
    at: HybridTime


class Gossip:
    """Exchanges messages with peers known from seeds, hosts and gossip.

    Both sides of an exchange learn what the other has, so news crosses a
    link in whichever direction it can be opened.
    """

    __slots__ = (
        'client',
        'config_sync',
        'exchange',
        'hosts',
        'incarnation',
        'runtime',
    )

    def __init__(
        self,
        runtime: Runtime,
        config_sync: ConfigSync,
        client: HttpClient,
        hosts: HostList,
        incarnation: str,
        seeds: tuple[str, ...],
    ) -> None:
        self.runtime = runtime
        self.config_sync = config_sync
        self.client = client
        self.hosts = hosts
        self.incarnation = incarnation
        view = runtime.view
        self.exchange = GossipState(
            view.failure_domain,
            '',
            view.marks,
            view.peers,
            random.Random(),
        )
        for seed in seeds:
            self.exchange.add_contact(seed)

    def listen_at(self, address: str) -> None:
        """Tell where this node listens for peers."""
        self.exchange.address = address
        self.exchange.remove_contact(address)

    def message_to(self, address: str) -> TimedMessage:
        """Give what a peer is told now."""
        report = self.runtime.router.report(self.incarnation)
        message = self.exchange.message_to(address, report)
        return TimedMessage(message, self.runtime.timeline.clock.tick())

    def take(self, timed: TimedMessage) -> None:
        """Take in what a peer told."""
        message = timed.message
        if message.report.node == self.runtime.router.node:
            return
        self.runtime.timeline.clock.merge(timed.at)
        self.exchange.receive(message)
        self.runtime.dispatch(PeerReported(message.report))
        if message.departures:
            self.runtime.dispatch(PeersDeparted(message.departures))
        if message.marks:
            self.runtime.dispatch(MarksReceived(message.marks))
        if message.report.generation > self.config_sync.generation:
            eventlet.spawn(self.config_sync.fetch_from, message.address)

    def gossip_forever(self) -> None:
        """Exchange messages with some peers again and again."""
        news = False
        while True:
            peers = self.exchange.choose_peers(news)
            for peer in peers:
                eventlet.spawn(self._exchange, peer)
            news = self._wait_for_round(len(peers))

    def follow_hosts_forever(self) -> None:
        """Learn of peers and of leaving hosts from the platform's list."""
        while True:
            read = self.hosts.hosts()
            if isinstance(read, Success):
                self._take_hosts(read.unwrap())
            eventlet.sleep(HOSTS_SECONDS)

    def _take_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        for entry in hosts:
            if entry.is_entry and not entry.leaving:
                self.exchange.add_contact(entry.address, entry.failure_domain)
        leaving = tuple(host.address for host in hosts if host.leaving)
        self.runtime.dispatch(LeavingHostsListed(leaving))

    def _wait_for_round(self, peers: int) -> bool:
        """Wait for the next round, or for a mark; tell whether one came."""
        pause = ROUND_SECONDS
        if not self.exchange.sends_to_all:
            size = message_size(self.message_to('').message)
            pause = round_seconds(size, peers)
        self.runtime.router.round_seconds = pause
        seen = self.exchange.urgent_version
        end = time.monotonic() + pause
        while time.monotonic() < end and seen == self.exchange.urgent_version:
            eventlet.sleep(NEWS_SECONDS)
        return seen != self.exchange.urgent_version

    def _exchange(self, peer: str) -> None:
        body = msgspec.json.encode(self.message_to(peer))
        reply = self.client.post(peer, GOSSIP_PATH, body)
        if not isinstance(reply, Success):
            self._note_failure(peer, reply.failure())
            return
        whole = reply.unwrap()
        if not whole.is_ok:
            return
        try:
            answer = msgspec.json.decode(whole.body, type=TimedMessage)
        except msgspec.MsgspecError:
            return
        self.take(answer)

    def _note_failure(self, peer: str, error: HttpError) -> None:
        sure = error.outcome is Outcome.NOT_RUN
        departure = self.exchange.record_failure(peer, sure)
        if departure:
            self.runtime.dispatch(PeersDeparted((departure,)))
