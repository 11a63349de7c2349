"""Number of requests that the other nodes have on each chain.

When the chain of a failure domain is lost, all nodes send its requests to
the remaining chains.  A node that counted only its own requests would learn
of the load of the others only through refusals.
"""

from collections import Counter
from collections.abc import Collection, Mapping

from wigeonspoke.core.chains.token_load import TokenLoad, add_load

NO_LOADS: Mapping[str, TokenLoad] = {}


class PeerLoad:
    """Requests in flight as reported by the other nodes.

    Counts and loads are keyed by the endpoint id of the chain's head.  Nodes of
    an earlier version report no loads.
    """

    __slots__ = (
        'loads_by_head',
        'loads_by_node',
        'streams_by_head',
        'streams_by_node',
    )

    def __init__(self) -> None:
        self.streams_by_node: dict[str, Mapping[str, int]] = {}
        self.streams_by_head: Counter[str] = Counter()
        self.loads_by_node: dict[str, Mapping[str, TokenLoad]] = {}
        self.loads_by_head: dict[str, TokenLoad] = {}

    def update(
        self,
        node: str,
        streams: Mapping[str, int],
        loads: Mapping[str, TokenLoad] = NO_LOADS,
    ) -> None:
        """Replace the counts and loads reported by one node."""
        self._add_loads(self.loads_by_node.pop(node, NO_LOADS), -1)
        self.loads_by_node[node] = loads
        self._add_loads(loads, 1)
        known = self.streams_by_node.get(node, {})
        self.streams_by_node[node] = streams
        if known != streams:
            self._add(known, -1)
            self._add(streams, 1)

    def retain(self, nodes: Collection[str]) -> None:
        """Drop the counts of all nodes except the given ones."""
        removed = self.streams_by_node.keys() - nodes
        for node in removed:
            self._add(self.streams_by_node.pop(node), -1)
            self._add_loads(self.loads_by_node.pop(node), -1)

    def _add(self, streams: Mapping[str, int], sign: int) -> None:
        for head_id, count in streams.items():
            total = self.streams_by_head[head_id] + sign * count
            if total:
                self.streams_by_head[head_id] = total
            else:
                self.streams_by_head.pop(head_id, None)

    def _add_loads(self, loads: Mapping[str, TokenLoad], sign: int) -> None:
        for head_id, load in loads.items():
            add_load(self.loads_by_head, head_id, load, sign)
