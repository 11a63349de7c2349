"""What nodes tell each other, a few times a second."""

import random

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.core.events import (
    HostsListed,
    MarksHeard,
    PeerReported,
)
from wigeonspoke.core.membership import EndpointMark, PeerReport
from wigeonspoke.node.config_sync import ConfigSync
from wigeonspoke.node.runtime import Runtime
from wigeonspoke.observe import HybridTime
from wigeonspoke.platform import HostEntry, HostList
from wigeonspoke.transport import HttpClient

GOSSIP_SECONDS = 0.25
FANOUT = 8
HOSTS_SECONDS = 1.0
GOSSIP_PATH = '/peers/v1/gossip'


class GossipMessage(msgspec.Struct, frozen=True):
    """A node's load, its marks and where it listens for peers."""

    report: PeerReport
    marks: tuple[EndpointMark, ...]
    address: str
    at: HybridTime


class Gossip:
    """Exchanges messages with peers known from seeds, hosts and gossip.

    Both sides of an exchange learn what the other has, so news crosses a
    link in whichever direction it can be opened.
    """

    __slots__ = (
        'addresses',
        'client',
        'config_sync',
        'hosts',
        'incarnation',
        'own_address',
        'random',
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
        self.addresses = set(seeds)
        self.own_address = ''
        self.random = random.Random()

    def message(self) -> GossipMessage:
        """Give what this node tells its peers now."""
        router = self.runtime.router
        return GossipMessage(
            report=router.report(self.incarnation),
            marks=tuple(router.view.marks.marks.values()),
            address=self.own_address,
            at=self.runtime.timeline.clock.tick(),
        )

    def take(self, message: GossipMessage) -> None:
        """Take in what a peer told."""
        if message.report.node == self.runtime.router.node:
            return
        self.runtime.timeline.clock.merge(message.at)
        self.addresses.add(message.address)
        self.runtime.dispatch(PeerReported(message.report))
        if message.marks:
            self.runtime.dispatch(MarksHeard(message.marks))
        if message.report.generation > self.config_sync.generation:
            eventlet.spawn(self.config_sync.fetch_from, message.address)

    def gossip_forever(self) -> None:
        """Exchange messages with some peers again and again."""
        while True:
            for peer in self._choose_peers():
                eventlet.spawn(self._exchange, peer)
            eventlet.sleep(GOSSIP_SECONDS)

    def follow_hosts_forever(self) -> None:
        """Learn of peers and of leaving hosts from the platform's list."""
        while True:
            read = self.hosts.hosts()
            if isinstance(read, Success):
                self._take_hosts(read.unwrap())
            eventlet.sleep(HOSTS_SECONDS)

    def _take_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        entries = [host for host in hosts if host.is_entry]
        self.addresses.update(
            host.address for host in entries if not host.leaving
        )
        leaving = tuple(host.address for host in hosts if host.leaving)
        self.runtime.dispatch(HostsListed(leaving))

    def _choose_peers(self) -> list[str]:
        others = sorted(self.addresses - {self.own_address})
        if len(others) <= FANOUT:
            return others
        return self.random.sample(others, FANOUT)

    def _exchange(self, peer: str) -> None:
        body = msgspec.json.encode(self.message())
        reply = self.client.post(peer, GOSSIP_PATH, body)
        if not isinstance(reply, Success):
            return
        whole = reply.unwrap()
        if not whole.is_ok:
            return
        try:
            answer = msgspec.json.decode(whole.body, type=GossipMessage)
        except msgspec.MsgspecError:
            return
        self.take(answer)
