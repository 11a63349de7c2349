"""Domains with memory for several copies of the model serve accordingly."""

import math
import random

import msgspec
import pytest

from wigeonspoke.core.chains import (
    ChainSelector,
    SuspectRegistry,
    estimate_capacities,
    find_chain,
    find_chains,
)
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.placement import PlacementController, divide_engines
from wigeonspoke.core.tests.fleet_examples import (
    ENGINE_SLOTS,
    LARGE_DOMAINS,
    LARGE_PROFILE,
    domain_engines,
    make_engine,
    place_engines,
)

MAX_PARTS = 32
# Requests that a head's slots allow need this many tokens of memory.
FULL_HEAD_TOKENS = ENGINE_SLOTS * LARGE_PROFILE.mean_request_tokens


def _selector(engines, domain: str) -> ChainSelector:
    fleet = Fleet()
    for engine in engines:
        fleet.put(engine)
    return ChainSelector(fleet, SuspectRegistry(), domain)


def _find_chains(engines, domain: str):
    return _selector(engines, domain).chains('drafting', LARGE_PROFILE)


def _copies_that_fit(engines) -> int:
    """Count the copies that leave memory for the requests of a full head."""
    memory_mb = sum(
        LARGE_PROFILE.accelerator(engine.accelerator).memory_mb
        for engine in engines
    )
    request_mb = FULL_HEAD_TOKENS * LARGE_PROFILE.kv_token_bytes / 1000000.0
    copy_mb = LARGE_PROFILE.layers * LARGE_PROFILE.layer_mb + request_mb
    return int(memory_mb // copy_mb)


# Missed the floors of two large deployments: a domain with more engines than
# the platform allows parts had no chain.
@pytest.mark.parametrize('domain', LARGE_DOMAINS)
def test_chain_of_a_large_domain_keeps_to_the_limit_of_parts(domain):
    engines = place_engines(
        PlacementController(LARGE_PROFILE), domain_engines(domain)
    )
    chains = _find_chains(engines, domain)
    assert chains
    assert all(len(chain.hops) <= MAX_PARTS for chain in chains)


# Missed the same floors: a domain had one head, with the slots of one engine,
# however many engines it had.
@pytest.mark.parametrize('domain', LARGE_DOMAINS)
def test_heads_of_a_domain_grow_with_its_memory(domain):
    engines = domain_engines(domain)
    copies = _copies_that_fit(engines)
    assert copies > 1
    engines = place_engines(PlacementController(LARGE_PROFILE), engines)
    heads = {chain.head.endpoint_id for chain in _find_chains(engines, domain)}
    assert len(heads) >= copies


@pytest.mark.parametrize('seed', range(10))
def test_repairs_keep_chains_to_the_limit_of_parts(seed):
    rng = random.Random(seed)
    controller = PlacementController(LARGE_PROFILE)
    engines = place_engines(controller, domain_engines('five'))
    for step in range(1, 7):
        lost = engines.pop(rng.randrange(len(engines)))
        engines = place_engines(controller, engines, step * 1000)
        engines.append(make_engine(lost.endpoint_id, lost.accelerator))
        engines = place_engines(controller, engines, step * 1000 + 500)
        chains = _find_chains(engines, 'five')
        assert chains
        assert all(len(chain.hops) <= MAX_PARTS for chain in chains)


def test_chain_with_fewer_hops_is_found_if_the_cheapest_is_too_long():
    # Two slow engines cost more than forty fast ones.
    cheapest = [
        make_engine(f'large-{index}', 'large', (2 * index, 2 * index + 2))
        for index in range(40)
    ]
    shortest = [
        make_engine('small-1', 'small', (0, 40)),
        make_engine('small-2', 'small', (40, 80)),
    ]
    chain = find_chain([*cheapest, *shortest], LARGE_PROFILE)
    assert chain is not None
    assert len(chain.hops) <= MAX_PARTS


@pytest.mark.parametrize('domain', LARGE_DOMAINS)
def test_copies_of_a_domain_share_no_engine(domain):
    engines = place_engines(
        PlacementController(LARGE_PROFILE), domain_engines(domain)
    )
    chains = _find_chains(engines, domain)
    assert len(chains) == _copies_that_fit(engines)
    used = [each for chain in chains for each in chain.endpoint_ids]
    assert len(used) == len(set(used))


@pytest.mark.parametrize('domain', LARGE_DOMAINS)
def test_loss_of_any_engine_leaves_chains_and_is_repaired(domain):
    controller = PlacementController(LARGE_PROFILE)
    placed = place_engines(controller, domain_engines(domain))
    copies = len(_find_chains(placed, domain))
    for lost in placed:
        left = [engine for engine in placed if engine is not lost]
        assert len(_find_chains(left, domain)) >= copies - 1
        copies_left = min(copies, _copies_that_fit(left))
        repaired = place_engines(PlacementController(LARGE_PROFILE), left)
        chains = _find_chains(repaired, domain)
        assert len(chains) >= copies_left
        used = [each for chain in chains for each in chain.endpoint_ids]
        assert len(used) == len(set(used))


@pytest.mark.parametrize('domain', LARGE_DOMAINS)
def test_new_controller_keeps_the_copies_of_the_previous_one(domain):
    placed = place_engines(
        PlacementController(LARGE_PROFILE), domain_engines(domain)
    )
    assert place_engines(PlacementController(LARGE_PROFILE), placed) == placed


@pytest.mark.parametrize('seed', range(20))
def test_copies_survive_losses_and_returns(seed):
    rng = random.Random(seed)
    domain = rng.choice(tuple(LARGE_DOMAINS))
    controller = PlacementController(LARGE_PROFILE)
    engines = place_engines(controller, domain_engines(domain))
    copies = len(_find_chains(engines, domain))
    now = 0
    for _ in range(6):
        rng.shuffle(engines)
        lost_count = rng.randrange(1, 5)
        lost = engines[:lost_count]
        engines = engines[lost_count:]
        now += 1000
        engines = place_engines(controller, engines, now)
        assert _find_chains(engines, domain)
        now += 1000
        returned = [
            make_engine(each.endpoint_id, each.accelerator, domain=domain)
            for each in lost
        ]
        engines = place_engines(controller, [*engines, *returned], now)
        for engine in engines:
            limit = LARGE_PROFILE.max_layers(engine.accelerator)
            held = engine.layers
            assert held is None or held.end - held.first <= limit
    chains = _find_chains(engines, domain)
    assert len(chains) >= copies
    used = [each for chain in chains for each in chain.endpoint_ids]
    assert len(used) - len(set(used)) <= 1


@pytest.mark.parametrize('seed', range(10))
def test_one_copy_remains_while_the_memory_suffices_for_it(seed):
    rng = random.Random(seed)
    controller = PlacementController(LARGE_PROFILE)
    engines = place_engines(controller, domain_engines('four'))
    rng.shuffle(engines)
    now = 0
    while engines:
        engines.pop()
        now += 1000
        engines = place_engines(controller, engines, now)
        limits = [
            LARGE_PROFILE.max_layers(engine.accelerator) for engine in engines
        ]
        if sum(limits) >= LARGE_PROFILE.layers:
            assert _find_chains(engines, 'four')


@pytest.mark.parametrize('seed', range(20))
def test_division_puts_each_engine_into_one_copy(seed):
    rng = random.Random(seed)
    engines = [
        msgspec.structs.replace(engine, layers=_random_layers(rng))
        for engine in domain_engines(rng.choice(tuple(LARGE_DOMAINS)))
    ]
    division = divide_engines(engines, LARGE_PROFILE)
    divided = sorted(
        engine.endpoint_id
        for part in (*division.copies, division.reserve)
        for engine in part
    )
    assert divided == sorted(engine.endpoint_id for engine in engines)


def _random_layers(rng: random.Random) -> LayerRange | None:
    first = rng.randrange(LARGE_PROFILE.layers)
    end = min(LARGE_PROFILE.layers, first + rng.randrange(1, 9))
    return rng.choice((None, LayerRange(first, end)))


def test_requests_are_spread_over_the_chains_of_a_domain():
    engines = place_engines(
        PlacementController(LARGE_PROFILE), domain_engines('four')
    )
    selector = _selector(engines, 'four')
    for _ in range(30):
        selector.begin(selector.select('drafting', LARGE_PROFILE, (), 0))
    assert len(selector.in_flight) == 3
    assert min(selector.in_flight.values()) >= 6


def test_full_chains_rank_after_other_domains():
    engines = [
        *place_engines(
            PlacementController(LARGE_PROFILE), domain_engines('four')
        ),
        *place_engines(
            PlacementController(LARGE_PROFILE), domain_engines('seven')
        ),
    ]
    selector = _selector(engines, 'four')
    own = [
        chain
        for chain in selector.chains('drafting', LARGE_PROFILE)
        if chain.domains == {'four'}
    ]
    capacities = estimate_capacities(own, LARGE_PROFILE)
    for _ in range(sum(math.ceil(each) for each in capacities.values())):
        chain = selector.select('drafting', LARGE_PROFILE, (), 0)
        assert chain.domains == {'four'}
        selector.begin(chain)
    chain = selector.select('drafting', LARGE_PROFILE, (), 0)
    assert chain.domains == {'seven'}


# Requests were refused for want of memory at an engine of two chains, which
# counted its memory once for each.
def test_chains_divide_the_memory_of_a_shared_engine():
    engines = [
        make_engine('head-1', 'large', (0, 30)),
        make_engine('head-2', 'large', (0, 30)),
        make_engine('shared', 'large', (30, 60)),
        make_engine('rest-1', 'large', (60, 80)),
        make_engine('rest-2', 'large', (60, 80)),
    ]
    chains = find_chains(engines, LARGE_PROFILE)
    capacities = estimate_capacities(chains, LARGE_PROFILE)
    assert capacities.keys() == {'head-1', 'head-2'}
    caches = LARGE_PROFILE.cache_capacity('large', 30)
    per_request = 30 * LARGE_PROFILE.mean_request_tokens
    assert sum(capacities.values()) == pytest.approx(caches / per_request)


def test_less_requests_go_to_a_chain_with_less_memory():
    engines = [
        make_engine('ample-1', 'large', (0, 20)),
        make_engine('ample-2', 'large', (20, 40)),
        make_engine('ample-3', 'large', (40, 60)),
        make_engine('ample-4', 'large', (60, 80)),
        make_engine('scarce-1', 'large', (0, 30)),
        make_engine('scarce-2', 'middle', (30, 49)),
        make_engine('scarce-3', 'large', (49, 80)),
    ]
    selector = _selector(engines, 'one')
    for _ in range(20):
        selector.begin(selector.select('drafting', LARGE_PROFILE, (), 0))
    assert selector.in_flight['scarce-1'] < selector.in_flight['ample-1'] / 2


def test_chain_of_a_broken_copy_uses_an_engine_of_another_copy():
    engines = place_engines(
        PlacementController(LARGE_PROFILE), domain_engines('four')
    )
    selector = _selector(engines, 'four')
    chain = selector.chains('drafting', LARGE_PROFILE)[0]
    lost = chain.hops[3].endpoint
    selector.suspects.suspect(lost, 'silent', 0)
    chains = selector.chains('drafting', LARGE_PROFILE)
    assert len(chains) == 3
    assert all(lost.endpoint_id not in each.endpoint_ids for each in chains)
    # A stream that failed on one of them does not move to an engine of it.
    other = selector.select(
        'drafting', LARGE_PROFILE, chains[0].endpoint_ids, 0
    )
    assert other.domains == {'four'}
    assert other.endpoint_ids.isdisjoint(chains[0].endpoint_ids)
