"""How many requests the other nodes have in each chain.

The load pattern it answers: when a domain's chain is lost, every node sends
its requests to the chains that are left.  A node that knows only its own
finds out by refusals what the others fill.
"""

from collections import Counter
from collections.abc import Collection, Mapping


class PeerLoad:
    """Requests in flight by the id of a chain's head, as nodes tell."""

    __slots__ = ('streams_by_head', 'streams_by_node')

    def __init__(self) -> None:
        self.streams_by_node: dict[str, Mapping[str, int]] = {}
        self.streams_by_head: Counter[str] = Counter()

    def update(self, node: str, streams: Mapping[str, int]) -> None:
        """Take in what one node has in flight."""
        self.streams_by_node[node] = streams
        self._recount()

    def retain(self, nodes: Collection[str]) -> None:
        """Forget all nodes but these."""
        removed = self.streams_by_node.keys() - nodes
        for node in removed:
            self.streams_by_node.pop(node)
        if removed:
            self._recount()

    def _recount(self) -> None:
        self.streams_by_head = Counter()
        for streams in self.streams_by_node.values():
            self.streams_by_head.update(streams)
