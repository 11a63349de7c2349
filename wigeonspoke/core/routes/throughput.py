"""Upper bound on the throughput of a model's engines.

The bound is the maximum flow in a graph whose vertices are layer boundaries
and whose edges are engines, each with its token rate as capacity.  No choice
of routes generates more tokens per second than the maximum flow from layer 0
to the last layer.  It is computed by the Edmonds-Karp algorithm.
"""

from collections import deque
from collections.abc import Iterable

from wigeonspoke.core.deployment import Engine

Capacities = dict[int, dict[int, float]]
# Residual capacities up to this are rounding errors of the flow.
MIN_CAPACITY = 1e-9


def engine_rate(engine: Engine) -> float:
    """Return the tokens per second that a fully batched engine processes."""
    return engine.max_batch / engine.step_seconds


def throughput_bound(engines: Iterable[Engine], layers: int) -> float:
    """Return the maximum tokens per second of the engines together."""
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
    """Return a shortest augmenting path, found by breadth-first search."""
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
