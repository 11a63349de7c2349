"""Benchmark of gossip: traffic, processor time and convergence."""

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

NODE_COUNTS = (6, 44, 100, 400)
SMALL_DOMAIN_NODES = 2
DOMAIN_NODES = 9
FOREIGN_LOAD_COUNT = 8
CHECK_INTERVAL_SECONDS = 0.05
DELAY_SECONDS = 0.001
SETTLE_SECONDS = 20.0
MEASURE_SECONDS = 10.0
STEP_SECONDS = 0.05
MAX_WAIT_SECONDS = 60.0
SEED = 1


class GossipMeasurement(msgspec.Struct, frozen=True):
    """The cost of gossip for one node, and its convergence times.

    ``bytes_per_second`` counts the bytes sent and received.
    ``mark_propagation_seconds`` is the time until all nodes know a new mark.
    ``peer_removal_seconds`` is the time until all nodes of the same failure
    domain have removed a dead node from their peers.
    """

    nodes: int
    bytes_per_second: float
    core_percent: float
    round_seconds: float
    mark_propagation_seconds: float
    peer_removal_seconds: float


class _SimulatedNode:
    """A node that gossips over a simulated network."""

    def __init__(
        self, deployment: '_SimulatedDeployment', number: int, domain: str
    ) -> None:
        self.deployment = deployment
        self.name = f'entry-{number}'
        self.alive = True
        self.marks = MarkRegistry()
        self.peers = PeerRegistry()
        self.sequence = 0
        self.round_seconds = ROUND_SECONDS
        self.announced_version = ('', 0)
        self.last_round: float = 0
        self.gossip = GossipState(
            domain,
            f'10.0.0.{number}:7100',
            self.marks,
            self.peers,
            random.Random(number),
        )

    def report(self) -> PeerReport:
        """Return a load report as large as that of a busy node."""
        self.sequence += 1
        return PeerReport(
            node=self.name,
            failure_domain=self.gossip.failure_domain,
            incarnation='0193a1b2c3d4beef',
            sequence=self.sequence,
            generation=1,
            loads=_loads(self.name, FOREIGN_LOAD_COUNT),
            own_loads=_loads(self.name, MAX_OWN_LOADS),
            round_seconds=self.round_seconds,
        )

    def run(self) -> None:
        """Start a round if one is due or urgent."""
        now = self.deployment.scheduler.now
        urgent = self.announced_version != self.gossip.urgent_version
        if not self.alive or not (
            urgent or now - self.last_round >= self.round_seconds
        ):
            return
        self.last_round = now
        self.announced_version = self.gossip.urgent_version
        chosen = self.gossip.choose_peers(urgent)
        for address in chosen:
            self.deployment.send(self, address, self.message_to(address))
        if not self.gossip.sends_to_all:
            size = message_size(self.message_to(''))
            self.round_seconds = round_seconds(size, len(chosen))
        self.peers.remove_stale(now)

    def message_to(self, address: str) -> GossipMessage:
        """Build the message to send to a peer now."""
        return self.gossip.message_to(address, self.report())

    def receive(self, body: bytes) -> None:
        """Decode a message and apply it."""
        message = msgspec.json.decode(body, type=GossipMessage)
        self.gossip.receive(message)
        self.peers.apply_departures(message.departures)
        self.marks.merge(message.marks)
        self.peers.update(message.report, self.deployment.scheduler.now)


class _SimulatedDeployment:
    """All nodes of a deployment and the bytes that they exchange."""

    def __init__(self, nodes: int) -> None:
        self.scheduler = Scheduler()
        self.bytes = 0
        domain_nodes = (
            SMALL_DOMAIN_NODES if nodes == NODE_COUNTS[0] else DOMAIN_NODES
        )
        self.nodes = [
            _SimulatedNode(self, number, f'domain-{number // domain_nodes}')
            for number in range(nodes)
        ]
        self.by_address = {node.gossip.address: node for node in self.nodes}
        for node in self.nodes:
            self._add_contacts(node)
            self.scheduler.call_every(CHECK_INTERVAL_SECONDS, node.run)

    def send(
        self,
        sender: _SimulatedNode,
        address: str,
        message: GossipMessage,
    ) -> None:
        """Deliver a message and its reply, or record the failure."""
        receiver = self.by_address[address]
        body = msgspec.json.encode(message)
        self.bytes += 2 * (len(body) + MESSAGE_OVERHEAD)
        if receiver.alive:
            self.scheduler.call_later(
                DELAY_SECONDS,
                self._deliver,
                sender,
                receiver,
                body,
            )
            return
        departure = sender.gossip.record_failure(address, unreachable=True)
        if departure:
            sender.peers.apply_departures((departure,))

    def seconds_until(self, condition) -> float:
        """Run until a condition holds and return the elapsed time.

        The result is at most ``MAX_WAIT_SECONDS``.
        """
        start = self.scheduler.now
        while not condition():
            if self.scheduler.now - start > MAX_WAIT_SECONDS:
                return MAX_WAIT_SECONDS
            self.scheduler.run_until(self.scheduler.now + STEP_SECONDS)
        return round(self.scheduler.now - start, 2)

    def _deliver(
        self, sender: _SimulatedNode, receiver: _SimulatedNode, body: bytes
    ) -> None:
        receiver.receive(body)
        reply = receiver.message_to(sender.gossip.address)
        reply_body = msgspec.json.encode(reply)
        self.bytes += 2 * (len(reply_body) + MESSAGE_OVERHEAD)
        self.scheduler.call_later(DELAY_SECONDS, sender.receive, reply_body)

    def _add_contacts(self, node: _SimulatedNode) -> None:
        """Add all nodes to a node's contacts, like the platform's host list."""
        for other in self.nodes:
            node.gossip.add_contact(
                other.gossip.address, other.gossip.failure_domain
            )


def measure_membership(nodes: int) -> GossipMeasurement:
    """Measure the gossip of a deployment with this number of nodes."""
    deployment = _SimulatedDeployment(nodes)
    deployment.scheduler.run_until(SETTLE_SECONDS)
    deployment.bytes = 0
    cpu_seconds = time.process_time()
    deployment.scheduler.run_until(SETTLE_SECONDS + MEASURE_SECONDS)
    cpu_seconds = time.process_time() - cpu_seconds
    bytes_per_second = deployment.bytes / nodes / MEASURE_SECONDS
    marking_node, failed_node = deployment.nodes[0], deployment.nodes[1]
    marking_node.marks.merge([EndpointMark('e', MarkState.DRAIN, 1)])
    mark_propagation_seconds = deployment.seconds_until(
        lambda: all(node.marks.marks for node in deployment.nodes),
    )
    failed_node.alive = False
    local_nodes = [
        node
        for node in deployment.nodes
        if node.gossip.failure_domain == failed_node.gossip.failure_domain
        and node is not failed_node
    ]
    peer_removal_seconds = deployment.seconds_until(
        lambda: (
            not any(
                failed_node.name in node.peers.peers for node in local_nodes
            )
        ),
    )
    return GossipMeasurement(
        nodes=nodes,
        bytes_per_second=round(bytes_per_second, 1),
        core_percent=round(100 * cpu_seconds / nodes / MEASURE_SECONDS, 3),
        round_seconds=round(marking_node.round_seconds, 2),
        mark_propagation_seconds=mark_propagation_seconds,
        peer_removal_seconds=peer_removal_seconds,
    )


def _loads(name: str, count: int) -> tuple[EndpointLoad, ...]:
    return tuple(
        EndpointLoad(1000 + number, len(name)) for number in range(count)
    )
