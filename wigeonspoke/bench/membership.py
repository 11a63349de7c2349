"""Gossip at several sizes in virtual time: bytes, time and convergence."""

import random
import time

import msgspec

from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core.load_report import MAX_OWN_LOADS
from wigeonspoke.core.membership import (
    EndpointLoad,
    EndpointMark,
    GossipMessage,
    GossipState,
    MarkRegistry,
    MarkState,
    PeerRegistry,
    PeerReport,
    message_size,
    round_seconds,
)
from wigeonspoke.core.membership.gossip import MESSAGE_OVERHEAD, ROUND_SECONDS

SIZES = (6, 44, 100, 400)
SMALL_DOMAIN = 2
DOMAIN_NODES = 9
FOREIGN = 8
NEWS_SECONDS = 0.05
DELAY_SECONDS = 0.001
SETTLE_SECONDS = 20.0
MEASURE_SECONDS = 10.0
STEP_SECONDS = 0.05
LONGEST_SECONDS = 60.0
SEED = 1


class MembershipReading(msgspec.Struct, frozen=True):
    """What gossip costs one node of a deployment, and how fast it is.

    ``bytes_per_second`` are bodies sent and received.  ``mark_seconds`` is
    the time until all nodes know a mark, ``lost_seconds`` until a failure
    domain has forgotten a dead node.
    """

    nodes: int
    bytes_per_second: float
    core_percent: float
    round_seconds: float
    mark_seconds: float
    lost_seconds: float


class _Member:
    """One node's gossip over a virtual network."""

    def __init__(self, group: '_Group', number: int, domain: str) -> None:
        self.group = group
        self.name = f'entry-{number}'
        self.alive = True
        self.marks = MarkRegistry()
        self.peers = PeerRegistry()
        self.sequence = 0
        self.pause = ROUND_SECONDS
        self.told = ('', 0)
        self.last_round: float = 0
        self.exchange = GossipState(
            domain,
            f'10.0.0.{number}:7100',
            self.marks,
            self.peers,
            random.Random(number),
        )

    def report(self) -> PeerReport:
        """Give a report as a loaded node of the full size does."""
        self.sequence += 1
        return PeerReport(
            node=self.name,
            failure_domain=self.exchange.failure_domain,
            incarnation='0193a1b2c3d4beef',
            sequence=self.sequence,
            generation=1,
            loads=_loads(self.name, FOREIGN),
            own_loads=_loads(self.name, MAX_OWN_LOADS),
            round_seconds=self.pause,
        )

    def run(self) -> None:
        """Begin a round if it is time, or if there is news."""
        now = self.group.scheduler.now
        news = self.told != self.exchange.urgent_version
        if not self.alive or not (news or now - self.last_round >= self.pause):
            return
        self.last_round = now
        self.told = self.exchange.urgent_version
        chosen = self.exchange.choose_peers(news)
        for address in chosen:
            self.group.send(self, address, self.message_to(address))
        if not self.exchange.sends_to_all:
            size = message_size(self.message_to(''))
            self.pause = round_seconds(size, len(chosen))
        self.peers.remove_stale(now)

    def message_to(self, address: str) -> GossipMessage:
        """Give what a peer is told now."""
        return self.exchange.message_to(address, self.report())

    def take(self, body: bytes) -> None:
        """Take in a message as it came over the network."""
        message = msgspec.json.decode(body, type=GossipMessage)
        self.exchange.receive(message)
        self.peers.apply_departures(message.departures)
        self.marks.merge(message.marks)
        self.peers.update(message.report, self.group.scheduler.now)


class _Group:
    """All nodes of a deployment."""

    def __init__(self, nodes: int) -> None:
        self.scheduler = Scheduler()
        self.bytes = 0
        width = SMALL_DOMAIN if nodes == SIZES[0] else DOMAIN_NODES
        self.members = [
            _Member(self, number, f'domain-{number // width}')
            for number in range(nodes)
        ]
        self.by_address = {
            member.exchange.address: member for member in self.members
        }
        for member in self.members:
            self._introduce(member)
            self.scheduler.every(NEWS_SECONDS, member.run)

    def send(
        self,
        sender: _Member,
        address: str,
        message: GossipMessage,
    ) -> None:
        """Carry a message there and the answer back."""
        receiver = self.by_address[address]
        body = msgspec.json.encode(message)
        self.bytes += 2 * (len(body) + MESSAGE_OVERHEAD)
        if receiver.alive:
            self.scheduler.after(
                DELAY_SECONDS,
                self._arrive,
                sender,
                receiver,
                body,
            )
            return
        departure = sender.exchange.record_failure(address, unreachable=True)
        if departure:
            sender.peers.apply_departures((departure,))

    def seconds_until(self, reached) -> float:
        """Run until something is so, and give the time that took."""
        start = self.scheduler.now
        while not reached():
            if self.scheduler.now - start > LONGEST_SECONDS:
                return LONGEST_SECONDS
            self.scheduler.run_until(self.scheduler.now + STEP_SECONDS)
        return round(self.scheduler.now - start, 2)

    def _arrive(self, sender: _Member, receiver: _Member, body: bytes) -> None:
        receiver.take(body)
        answer = receiver.message_to(sender.exchange.address)
        answered = msgspec.json.encode(answer)
        self.bytes += 2 * (len(answered) + MESSAGE_OVERHEAD)
        self.scheduler.after(DELAY_SECONDS, sender.take, answered)

    def _introduce(self, member: _Member) -> None:
        """Tell a member of all, as the platform's host list does."""
        for other in self.members:
            member.exchange.add_contact(
                other.exchange.address, other.exchange.failure_domain
            )


def measure_membership(nodes: int) -> MembershipReading:
    """Measure gossip of so many nodes."""
    group = _Group(nodes)
    group.scheduler.run_until(SETTLE_SECONDS)
    group.bytes = 0
    spent = time.process_time()
    group.scheduler.run_until(SETTLE_SECONDS + MEASURE_SECONDS)
    spent = time.process_time() - spent
    sent = group.bytes / nodes / MEASURE_SECONDS
    first, last = group.members[0], group.members[1]
    first.marks.merge([EndpointMark('e', MarkState.DRAIN, 1)])
    mark_seconds = group.seconds_until(
        lambda: all(one.marks.marks for one in group.members),
    )
    last.alive = False
    home = [
        one
        for one in group.members
        if one.exchange.failure_domain == last.exchange.failure_domain
        and one is not last
    ]
    lost_seconds = group.seconds_until(
        lambda: not any(last.name in one.peers.peers for one in home),
    )
    return MembershipReading(
        nodes=nodes,
        bytes_per_second=round(sent, 1),
        core_percent=round(100 * spent / nodes / MEASURE_SECONDS, 3),
        round_seconds=round(first.pause, 2),
        mark_seconds=mark_seconds,
        lost_seconds=lost_seconds,
    )


def _loads(name: str, count: int) -> tuple[EndpointLoad, ...]:
    return tuple(
        EndpointLoad(1000 + number, len(name)) for number in range(count)
    )
