"""The throughput that the engines of a model could give at most.

Layer boundaries are the vertices of a graph and engines its edges, each
with the rate of its engine as capacity.  The maximum flow from layer 0 to
the last layer is the bound: no choice of routes can pass more tokens.
"""

from collections import deque
from collections.abc import Iterable

from wigeonspoke.core.deployment import Engine

Capacities = dict[int, dict[int, float]]
MIN_CAPACITY = 1e-9


def engine_rate(engine: Engine) -> float:
    """Give the tokens a second that an engine's layers can pass."""
    return engine.max_batch / engine.step_seconds


def throughput_bound(engines: Iterable[Engine], layers: int) -> float:
    """Give the greatest tokens a second that the engines can pass."""
    residual = _capacities(engines)
    total = 0
    while path := _find_path(residual, layers):
        flow = min(residual[tail][head] for tail, head in path)
        for tail, head in path:
            residual[tail][head] -= flow
            reverse = residual.setdefault(head, {})
            reverse[tail] = reverse.get(tail, 0) + flow
        total += flow
    return total


def _capacities(engines: Iterable[Engine]) -> Capacities:
    capacities: Capacities = {}
    for engine in engines:
        heads = capacities.setdefault(engine.layers.first, {})
        rate = heads.get(engine.layers.end, 0)
        heads[engine.layers.end] = rate + engine_rate(engine)
    return capacities


def _find_path(residual: Capacities, layers: int) -> list[tuple[int, int]]:
    """Find a shortest path with capacity left, by breadth first."""
    predecessors: dict[int, int] = {0: 0}
    frontier = deque([0])
    while frontier and layers not in predecessors:
        tail = frontier.popleft()
        for head, capacity in residual.get(tail, {}).items():
            if capacity > MIN_CAPACITY and head not in predecessors:
                predecessors[head] = tail
                frontier.append(head)
    if layers not in predecessors:
        return []
    return _reconstruct_path(predecessors, layers)


def _reconstruct_path(
    predecessors: dict[int, int], end: int
) -> list[tuple[int, int]]:
    path: list[tuple[int, int]] = []
    while end:
        path.append((predecessors[end], end))
        end = predecessors[end]
    return path
