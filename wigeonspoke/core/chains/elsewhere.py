"""How many requests the other nodes have in each chain.

The load pattern it answers: when a domain's chain is lost, every node sends
its requests to the chains that are left.  A node that knows only its own
finds out by refusals what the others fill.
"""

from collections import Counter
from collections.abc import Collection, Mapping


class LoadElsewhere:
    """Requests in flight by the id of a chain's head, as nodes tell."""

    __slots__ = ('by_head', 'by_node')

    def __init__(self) -> None:
        self.by_node: dict[str, Mapping[str, int]] = {}
        self.by_head: Counter[str] = Counter()

    def take(self, node: str, streams: Mapping[str, int]) -> None:
        """Take in what one node has in flight."""
        self.by_node[node] = streams
        self._recount()

    def keep(self, nodes: Collection[str]) -> None:
        """Forget all nodes but these."""
        gone = self.by_node.keys() - nodes
        for node in gone:
            self.by_node.pop(node)
        if gone:
            self._recount()

    def _recount(self) -> None:
        self.by_head = Counter()
        for streams in self.by_node.values():
            self.by_head.update(streams)
