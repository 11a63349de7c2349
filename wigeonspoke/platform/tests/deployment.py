"""Several nodes at the endpoints and the store of one harness."""

from functools import partial

import eventlet

from wigeonspoke.ingress import IngressNode
from wigeonspoke.platform.tests.harness import (
    ZONES,
    Harness,
    start_node,
    stop_node,
)


class Deployment:
    """Nodes in both domains, in turn, beginning with that of the harness."""

    def __init__(self, harness: Harness, node_count: int) -> None:
        self.harness = harness
        self.nodes = [harness.node]
        for number in range(1, node_count):
            domain = ZONES[number % len(ZONES)]
            name = f'node-{number + 1}'
            node = start_node(harness, name, failure_domain=domain)
            self.nodes.append(node)
        self.registry = eventlet.spawn(harness.follow_engines)

    def wait_until_served(self) -> None:
        """Wait until each node knows the chains of both domains."""
        for node in self.nodes:
            self.harness.wait_until(partial(_knows_all_chains, node))

    def close(self) -> None:
        """Stop all nodes but the first."""
        self.registry.kill()
        for node in self.nodes[1:]:
            stop_node(node)


def _knows_all_chains(node: IngressNode) -> bool:
    service = node.state.routing_table.services.get('drafting')
    if service is None:
        return False
    chains = node.state.chains.chains('drafting', service.engine)
    return len(chains) == len(ZONES)
