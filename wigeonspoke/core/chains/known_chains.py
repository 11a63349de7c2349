"""What is computed of the chains of a service once when they change."""

import msgspec

from wigeonspoke.core.chains.capacity import estimate_capacities
from wigeonspoke.core.chains.paths import Chain
from wigeonspoke.core.chains.speed import (
    ChainSpeed,
    compute_speed,
    token_capacity,
    used_layers_by_engine,
)
from wigeonspoke.core.chains.suspicion import SuspectRegistry
from wigeonspoke.core.fleet import EngineProfile


class KnownChain(msgspec.Struct, frozen=True):
    """A chain with what is computed once of it.

    ``capacity`` is the number of requests that it has slots and memory for.
    ``speed`` is None if the configuration does not name the speeds of engines.
    ``run`` names the runs of all its engines, which hold the prompts together.
    """

    chain: Chain
    head_id: str
    endpoint_ids: frozenset[str]
    capacity: float
    has_slow_engine: bool
    is_own_domain: bool
    speed: ChainSpeed | None
    run: str


class CachedChains(msgspec.Struct, frozen=True):
    """The chains of a service and the inputs that they depend on.

    ``domains`` is the number of failure domains with a head.
    """

    fleet_revision: int
    suspects_revision: int
    profile: EngineProfile
    chains: tuple[Chain, ...]
    known: tuple[KnownChain, ...]
    domains: int

    def find(self, chain: Chain) -> KnownChain | None:
        """Return what is known of a chain, if it still exists."""
        for known in self.known:
            if known.chain == chain:
                return known
        return None


def describe_chains(
    chains: tuple[Chain, ...],
    profile: EngineProfile,
    suspects: SuspectRegistry,
    failure_domain: str,
) -> tuple[KnownChain, ...]:
    """Compute what a node of a failure domain needs of chains."""
    capacities = estimate_capacities(chains, profile)
    used_layers = used_layers_by_engine(chains)
    speeds = profile.speeds
    return tuple(
        KnownChain(
            chain=chain,
            head_id=chain.head.endpoint_id,
            endpoint_ids=chain.endpoint_ids,
            capacity=capacities[chain.head.endpoint_id],
            has_slow_engine=any(
                suspects.is_slow(hop.endpoint) for hop in chain.hops
            ),
            is_own_domain=chain.head.failure_domain == failure_domain,
            speed=speeds
            and compute_speed(
                chain,
                profile,
                speeds,
                failure_domain,
                token_capacity(chain, used_layers, profile),
            ),
            run=','.join(hop.endpoint.start_id for hop in chain.hops),
        )
        for chain in chains
    )
