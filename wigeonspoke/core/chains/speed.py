"""Times of a chain, computed once when chains change."""

from collections import Counter
from collections.abc import Sequence
from itertools import pairwise

import msgspec

from wigeonspoke.core.chains.paths import Chain
from wigeonspoke.core.fleet import Accelerator, EngineProfile, EngineSpeeds

# Speed of an engine whose kind of accelerator the configuration does not list.
USUAL_ACCELERATOR = Accelerator('', 0, 1, 1)


class ChainSpeed(msgspec.Struct, frozen=True):
    """Times in seconds of all engines of a chain together.

    They have the meaning of those in :class:`EngineSpeeds`, with the time to
    forward activations.  ``reach_seconds`` is the delay from the node to the
    head and back, and ``token_capacity`` the least number of tokens that an
    engine has memory for, 0 if it is not known.
    """

    step_seconds: float
    request_step_seconds: float
    context_token_seconds: float
    read_token_seconds: float
    token_pair_seconds: float
    reach_seconds: float
    token_capacity: float
    slots: int
    engine: EngineSpeeds

    @property
    def usual_tokens(self) -> float:
        """Return the mean length of prompt and answer together."""
        return self.engine.prompt_tokens + self.engine.answer_tokens

    def read_seconds(self, tokens: float) -> float:
        """Return the time to read a prompt, without the steps of others."""
        pairs = tokens * tokens / 2
        return (
            tokens * self.read_token_seconds + pairs * self.token_pair_seconds
        )


def compute_speed(
    chain: Chain,
    profile: EngineProfile,
    speeds: EngineSpeeds,
    failure_domain: str,
    token_capacity: float,
) -> ChainSpeed:
    """Compute the speed of a chain for a node of a failure domain."""
    step_factor = 0
    read_factor = 0
    for hop in chain.hops:
        accelerator = (
            profile.accelerator(hop.endpoint.accelerator) or USUAL_ACCELERATOR
        )
        share = (hop.layers.end - hop.layers.first) / profile.layers
        step_factor += share * accelerator.step_time_factor
        read_factor += share * accelerator.read_time_factor
    forward_seconds, delay_seconds = _forwarding(chain, speeds)
    reach = speeds.delay_seconds(failure_domain, chain.head.failure_domain)
    return ChainSpeed(
        step_seconds=speeds.step_seconds * step_factor + delay_seconds,
        request_step_seconds=speeds.request_step_seconds * step_factor
        + forward_seconds,
        context_token_seconds=speeds.context_token_seconds * step_factor,
        read_token_seconds=speeds.read_token_seconds * read_factor
        + forward_seconds,
        token_pair_seconds=speeds.token_pair_seconds * read_factor,
        reach_seconds=2 * reach,
        token_capacity=token_capacity,
        slots=chain.head.slots,
        engine=speeds,
    )


def used_layers_by_engine(chains: Sequence[Chain]) -> Counter[str]:
    """Return how many layers each engine runs for a request of each chain."""
    used_layers: Counter[str] = Counter()
    for chain in chains:
        for hop in chain.hops:
            layers = hop.layers.end - hop.layers.first
            used_layers[hop.endpoint.endpoint_id] += layers
    return used_layers


def token_capacity(
    chain: Chain, used_layers: Counter[str], profile: EngineProfile
) -> float:
    """Return the least number of tokens that an engine has memory for.

    An engine that several chains use divides its memory among them.  The
    capacity that the configuration names is for an engine with all layers; it
    counts where the memory of an accelerator is not known.
    """
    capacities = []
    for hop in chain.hops:
        engine = hop.endpoint
        used = used_layers[engine.endpoint_id]
        held = engine.layers.end - engine.layers.first
        caches = profile.cache_capacity(engine.accelerator, held)
        if profile.accelerator(engine.accelerator) is None and profile.speeds:
            caches = profile.speeds.token_capacity * profile.layers
        capacities.append(max(0, caches) / used)
    return min(capacities)


def _forwarding(chain: Chain, speeds: EngineSpeeds) -> tuple[float, float]:
    """Return the time to forward a token's activations, and the delays."""
    forward_seconds = 0
    delay_seconds = 0
    for one, other in pairwise(hop.endpoint for hop in chain.hops):
        forward_seconds += speeds.link_token_seconds
        if one.failure_domain != other.failure_domain:
            forward_seconds += speeds.shared_link_token_seconds
            delay_seconds += speeds.delay_seconds(
                one.failure_domain, other.failure_domain
            )
    return forward_seconds, delay_seconds
