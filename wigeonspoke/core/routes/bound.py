"""The throughput that the engines of a model could give at most.

Layer boundaries are the vertices of a graph and engines its edges, each
with the rate of its engine as capacity.  The maximum flow from layer 0 to
the last layer is the bound: no choice of routes can pass more tokens.
"""

from collections import deque
from collections.abc import Iterable

from wigeonspoke.core.deployment import Engine

Edges = dict[int, dict[int, float]]
EPSILON = 1e-9


def engine_rate(engine: Engine) -> float:
    """Give the tokens a second that an engine's layers can pass."""
    return engine.max_batch / engine.step_seconds


def throughput_bound(engines: Iterable[Engine], layers: int) -> float:
    """Give the greatest tokens a second that the engines can pass."""
    residual = _edges(engines)
    total = 0
    while path := _find_path(residual, layers):
        flow = min(residual[tail][head] for tail, head in path)
        for tail, head in path:
            residual[tail][head] -= flow
            back = residual.setdefault(head, {})
            back[tail] = back.get(tail, 0) + flow
        total += flow
    return total


def _edges(engines: Iterable[Engine]) -> Edges:
    edges: Edges = {}
    for engine in engines:
        heads = edges.setdefault(engine.layers.first, {})
        rate = heads.get(engine.layers.end, 0)
        heads[engine.layers.end] = rate + engine_rate(engine)
    return edges


def _find_path(residual: Edges, layers: int) -> list[tuple[int, int]]:
    """Find a shortest path with capacity left, by breadth first."""
    came_from: dict[int, int] = {0: 0}
    frontier = deque([0])
    while frontier and layers not in came_from:
        tail = frontier.popleft()
        for head, capacity in residual.get(tail, {}).items():
            if capacity > EPSILON and head not in came_from:
                came_from[head] = tail
                frontier.append(head)
    if layers not in came_from:
        return []
    return _walk_back(came_from, layers)


def _walk_back(came_from: dict[int, int], end: int) -> list[tuple[int, int]]:
    path: list[tuple[int, int]] = []
    while end:
        path.append((came_from[end], end))
        end = came_from[end]
    return path
