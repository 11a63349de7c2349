"""Exchanges gossip messages with peers over HTTP."""

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
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import HostEntry, HostList
from wigeonspoke.transport import HttpClient, HttpError

HOSTS_POLL_SECONDS = 1.0
URGENT_POLL_SECONDS = 0.05
GOSSIP_PATH = '/peers/v1/gossip'


class TimedMessage(msgspec.Struct, frozen=True):
    """A gossip message with the hybrid time at which it was sent."""

    message: GossipMessage
    at: HybridTime


class Gossip:
    """Exchanges gossip with peers.

    Peers are learned from the seeds, the platform's host list and gossip.
    Each exchange transfers state in both directions, so two nodes stay in
    sync even if only one of them can connect to the other.
    """

    __slots__ = (
        'client',
        'config_sync',
        'host_list',
        'incarnation',
        'runtime',
        'state',
    )

    def __init__(
        self,
        runtime: Runtime,
        config_sync: ConfigSync,
        client: HttpClient,
        host_list: HostList,
        incarnation: str,
        seeds: tuple[str, ...],
    ) -> None:
        self.runtime = runtime
        self.config_sync = config_sync
        self.client = client
        self.host_list = host_list
        self.incarnation = incarnation
        view = runtime.view
        self.state = GossipState(
            view.failure_domain,
            '',
            view.marks,
            view.peers,
            random.Random(),
        )
        for seed in seeds:
            self.state.add_contact(seed)

    def set_address(self, address: str) -> None:
        """Set the address at which this node accepts gossip."""
        self.state.address = address
        self.state.remove_contact(address)

    def message_to(self, address: str) -> TimedMessage:
        """Build the current message for a peer."""
        report = self.runtime.router.report(self.incarnation)
        message = self.state.message_to(address, report)
        return TimedMessage(message, self.runtime.timeline.clock.tick())

    def receive(self, timed: TimedMessage) -> None:
        """Apply a message received from a peer."""
        message = timed.message
        if message.report.node == self.runtime.router.node:
            return
        self.runtime.timeline.clock.merge(timed.at)
        self.state.receive(message)
        self.runtime.dispatch(PeerReported(message.report))
        if message.departures:
            self.runtime.dispatch(PeersDeparted(message.departures))
        if message.marks:
            self.runtime.dispatch(MarksReceived(message.marks))
        if message.report.generation > self.config_sync.generation:
            eventlet.spawn(self.config_sync.fetch_from, message.address)

    def gossip_forever(self) -> None:
        """Run gossip rounds; an urgent change starts one early."""
        is_urgent = False
        while True:
            peers = self.state.choose_peers(is_urgent)
            for peer in peers:
                eventlet.spawn(self._exchange, peer)
            is_urgent = self._wait_for_round(len(peers))

    def poll_hosts_forever(self) -> None:
        """Poll the platform's host list for peers and leaving hosts."""
        while True:
            read = self.host_list.list_hosts()
            if isinstance(read, Success):
                self._apply_host_list(read.unwrap())
            eventlet.sleep(HOSTS_POLL_SECONDS)

    def _apply_host_list(self, hosts: tuple[HostEntry, ...]) -> None:
        for entry in hosts:
            if entry.is_entry and not entry.leaving:
                self.state.add_contact(entry.address, entry.failure_domain)
        leaving = tuple(host.address for host in hosts if host.leaving)
        self.runtime.dispatch(LeavingHostsListed(leaving))

    def _wait_for_round(self, peers: int) -> bool:
        """Wait until the next round is due.

        Returns
        -------
        bool
            Whether an urgent change, such as a new mark, ended the wait.
        """
        pause = ROUND_SECONDS
        if not self.state.sends_to_all:
            size = message_size(self.message_to('').message)
            pause = round_seconds(size, peers)
        self.runtime.router.round_seconds = pause
        last_version = self.state.urgent_version
        end = time.monotonic() + pause
        while (
            time.monotonic() < end and last_version == self.state.urgent_version
        ):
            eventlet.sleep(URGENT_POLL_SECONDS)
        return last_version != self.state.urgent_version

    def _exchange(self, peer: str) -> None:
        body = msgspec.json.encode(self.message_to(peer))
        reply = self.client.post(peer, GOSSIP_PATH, body)
        if not isinstance(reply, Success):
            self._record_failure(peer, reply.failure())
            return
        http_reply = reply.unwrap()
        if not http_reply.is_ok:
            return
        answer = decode_json(http_reply.body, TimedMessage)
        if isinstance(answer, Success):
            self.receive(answer.unwrap())

    def _record_failure(self, peer: str, error: HttpError) -> None:
        unreachable = error.outcome is Outcome.NOT_RUN
        departure = self.state.record_failure(peer, unreachable)
        if departure:
            self.runtime.dispatch(PeersDeparted((departure,)))
