"""A stand-in for the platform's balancer: it picks a ready node."""

import itertools

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.transport import HttpClient

CHECK_INTERVAL_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 1.0


class NodeAddresses(msgspec.Struct, frozen=True):
    """A node behind the balancer: where callers go, where checks go."""

    callers_address: str
    admin_address: str


class Balancer:
    """Takes turns over the nodes whose last readiness check passed."""

    __slots__ = ('client', 'nodes', 'pick_counter', 'ready')

    def __init__(self, nodes: tuple[NodeAddresses, ...]) -> None:
        self.nodes = nodes
        self.ready: list[NodeAddresses] = []
        self.client = HttpClient()
        self.pick_counter = itertools.count()

    def pick(self) -> str:
        """Give the callers' address of the next ready node."""
        candidates = self.ready or self.nodes
        return candidates[
            next(self.pick_counter) % len(candidates)
        ].callers_address

    def check_forever(self) -> None:
        """Check the nodes again and again."""
        while True:
            self.ready = [
                node for node in self.nodes if self._is_node_ready(node)
            ]
            eventlet.sleep(CHECK_INTERVAL_SECONDS)

    def _is_node_ready(self, node: NodeAddresses) -> bool:
        reply = self.client.get(
            node.admin_address, '/readyz', CHECK_TIMEOUT_SECONDS
        )
        return isinstance(reply, Success) and reply.unwrap().is_ok
