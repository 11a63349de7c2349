"""A stand-in for the platform's load balancer."""

import itertools

import eventlet
import msgspec
from returns.result import Success

from wigeonspoke.transport import HttpClient

CHECK_INTERVAL_SECONDS = 0.25
CHECK_TIMEOUT_SECONDS = 1.0


class NodeAddresses(msgspec.Struct, frozen=True):
    """The addresses of a node for callers and for readiness checks."""

    callers_address: str
    admin_address: str


class Balancer:
    """Distributes requests round-robin over the ready nodes.

    A node is ready if its last readiness check passed.  If none is ready,
    all nodes get requests.
    """

    __slots__ = ('client', 'nodes', 'pick_counter', 'ready')

    def __init__(self, nodes: tuple[NodeAddresses, ...]) -> None:
        self.nodes = nodes
        self.ready: list[NodeAddresses] = []
        self.client = HttpClient()
        self.pick_counter = itertools.count()

    def pick(self) -> str:
        """Return the address for callers of the next node."""
        candidates = self.ready or self.nodes
        return candidates[
            next(self.pick_counter) % len(candidates)
        ].callers_address

    def check_forever(self) -> None:
        """Check the readiness of all nodes periodically."""
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
