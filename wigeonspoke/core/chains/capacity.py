"""Estimate of how many requests a chain can serve at once.

A request takes a slot of the chain's head, and memory for its tokens on every
engine.  An engine that several chains use divides its memory among them.
"""

from collections import Counter
from collections.abc import Sequence

from wigeonspoke.core.chains.paths import Chain
from wigeonspoke.core.fleet import Endpoint, EngineProfile


def estimate_capacities(
    chains: Sequence[Chain],
    profile: EngineProfile,
) -> dict[str, float]:
    """Return the number of requests by the endpoint id of a chain's head.

    Requests are assumed to have the mean length, and the chains to be used in
    equal parts.
    """
    used_layers: Counter[str] = Counter()
    for chain in chains:
        used_layers.update(_layers_by_engine(chain))
    return {
        each.head.endpoint_id: _chain_capacity(each, used_layers, profile)
        for each in chains
    }


def _layers_by_engine(chain: Chain) -> dict[str, int]:
    return {
        hop.endpoint.endpoint_id: hop.layers.end - hop.layers.first
        for hop in chain.hops
    }


def _chain_capacity(
    chain: Chain,
    used_layers: Counter[str],
    profile: EngineProfile,
) -> float:
    memory_capacity = min(
        _memory_capacity(hop.endpoint, used_layers, profile)
        for hop in chain.hops
    )
    return min(chain.head.slots, memory_capacity)


def _memory_capacity(
    engine: Endpoint,
    used_layers: Counter[str],
    profile: EngineProfile,
) -> float:
    held = engine.layers.end - engine.layers.first
    caches = profile.cache_capacity(engine.accelerator, held)
    request_layers = used_layers[engine.endpoint_id]
    return caches / (request_layers * max(1, profile.mean_request_tokens))
