"""Placement covers all layers, repairs gaps and respects memory limits."""

import random

import msgspec
import pytest

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.placement import (
    Placement,
    PlacementController,
    balance_copy,
    balanced_capacity,
    find_gaps,
    plan_copy,
    repair_copy,
    token_capacity,
)
from wigeonspoke.core.placement.repair import releases_layers
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    apply_placements,
    domain_engines,
    make_engine,
)


def _count(layers) -> int:
    return layers.end - layers.first if layers else 0


def _assert_fits(engines) -> None:
    for engine in engines:
        held = _count(engine.layers)
        assert held <= PROFILE.max_layers(engine.accelerator)


@pytest.mark.parametrize('domain', DOMAINS)
def test_plan_covers_every_layer_once_with_balanced_capacity(domain):
    engines = domain_engines(domain)
    placed = apply_placements(engines, plan_copy(engines, PROFILE))
    assert not find_gaps(placed, PROFILE.layers)
    assert sum(_count(engine.layers) for engine in placed) == PROFILE.layers
    _assert_fits(placed)
    capacities = [
        token_capacity(engine, _count(engine.layers), PROFILE)
        for engine in placed
    ]
    assert min(capacities) > 80000


@pytest.mark.parametrize('domain', DOMAINS)
def test_loss_of_any_engine_is_repaired(domain):
    engines = domain_engines(domain)
    placed = apply_placements(engines, plan_copy(engines, PROFILE))
    for lost in placed:
        left = [engine for engine in placed if engine is not lost]
        repaired = apply_placements(left, repair_copy(left, PROFILE))
        assert not find_gaps(repaired, PROFILE.layers)
        _assert_fits(repaired)


@pytest.mark.parametrize('seed', range(40))
def test_successive_losses_are_repaired_while_memory_suffices(seed):
    rng = random.Random(seed)
    engines = domain_engines('two')
    engines = apply_placements(engines, plan_copy(engines, PROFILE))
    while engines:
        engines.pop(rng.randrange(len(engines)))
        capacity = sum(
            PROFILE.max_layers(engine.accelerator) for engine in engines
        )
        engines = apply_placements(engines, repair_copy(engines, PROFILE))
        _assert_fits(engines)
        assert bool(find_gaps(engines, PROFILE.layers)) == (capacity < 80)


def test_both_neighbours_extend_into_a_gap():
    engines = [
        make_engine('a', 'large', (0, 36)),
        make_engine('b', 'small', (36, 42)),
        make_engine('d', 'small', (46, 52)),
        make_engine('e', 'large', (52, 80)),
    ]
    placements = repair_copy(engines, PROFILE)
    shown = {
        placement.endpoint.endpoint_id: placement.layers.describe()
        for placement in placements
    }
    assert shown == {'b': '[36, 44)', 'd': '[44, 52)'}


def test_engine_without_layers_fills_a_gap():
    engines = [
        make_engine('a', 'large', (0, 36)),
        make_engine('b', 'small', (36, 42)),
        make_engine('n', 'small'),
        make_engine('d', 'small', (48, 54)),
        make_engine('e', 'large', (54, 80)),
    ]
    placements = repair_copy(engines, PROFILE)
    assert [placement.endpoint.endpoint_id for placement in placements] == ['n']
    assert not find_gaps(apply_placements(engines, placements), PROFILE.layers)


def test_no_orders_until_registrations_settle():
    controller = PlacementController(PROFILE)
    engines = domain_engines('two')
    assert not controller.decide(engines[:4], (), 0)
    assert not controller.decide(engines, (), 1.0)
    assert not controller.decide(engines, (), 2.1)
    assert len(controller.decide(engines, (), 2.3)) == len(engines)


@pytest.mark.parametrize(
    ('accepted', 'now', 'orders'),
    [
        # An order without an answer may still be carried out.  It stays
        # pending for a second and is then sent again.
        (False, 2.0, 0),
        (False, 3.5, 14),
        # An accepted order stays pending for as long as the load may take.
        (True, 3.5, 0),
        (True, 60.0, 14),
    ],
)
def test_pending_orders_are_not_repeated_before_they_expire(
    accepted, now, orders
):
    controller = PlacementController(PROFILE)
    engines = domain_engines('two')
    controller.decide(engines, (), 0)
    placements = controller.decide(engines, (), 2.0)
    for placement in placements:
        controller.record_sent(placement, 2.0)
        if accepted:
            controller.record_accepted(placement, 2.0)
    assert len(controller.decide(engines, (), now)) == orders


@pytest.mark.parametrize(
    ('now', 'is_outstanding'),
    [
        (2.5, True),
        # After more than a second plus three times the estimated load time.
        (60.0, False),
    ],
)
def test_accepted_order_expires_without_further_decisions(now, is_outstanding):
    # A node that has lost its lease stops calling decide(), so the expiry of
    # orders must not depend on it.
    controller = PlacementController(PROFILE)
    engines = domain_engines('two')
    controller.decide(engines, (), 0)
    placement = controller.decide(engines, (), 2.0)[0]
    controller.record_sent(placement, 2.0)
    controller.record_accepted(placement, 2.0)
    assert controller.is_outstanding(placement, now) == is_outstanding


def test_only_the_latest_order_to_an_engine_is_outstanding():
    controller = PlacementController(PROFILE)
    engines = domain_engines('two')
    controller.decide(engines, (), 0)
    placement = controller.decide(engines, (), 2.0)[0]
    controller.record_sent(placement, 2.0)
    later = Placement(placement.endpoint, LayerRange(0, 1))
    controller.record_sent(later, 2.1)
    assert not controller.is_outstanding(placement, 2.2)
    assert controller.is_outstanding(later, 2.2)


def test_order_is_complete_once_the_engine_holds_its_layers():
    controller = PlacementController(PROFILE)
    engines = domain_engines('two')
    controller.decide(engines, (), 0)
    placements = controller.decide(engines, (), 2.0)
    for placement in placements:
        controller.record_sent(placement, 2.0)
    placed = apply_placements(engines, placements)
    assert not controller.decide(placed, (), 2.1)
    assert not controller.pending
    repairs = controller.decide(placed[:-1], (), 2.2)
    repaired = apply_placements(placed[:-1], repairs)
    assert repairs
    assert not find_gaps(repaired, PROFILE.layers)


@pytest.mark.parametrize('domain', DOMAINS)
@pytest.mark.parametrize('seed', range(10))
def test_repair_leaves_every_engine_token_capacity(domain, seed):
    rng = random.Random(seed)
    engines = domain_engines(domain)
    engines = apply_placements(engines, plan_copy(engines, PROFILE))
    for _ in range(3):
        engines.pop(rng.randrange(len(engines)))
        engines = apply_placements(engines, repair_copy(engines, PROFILE))
        even = balanced_capacity(engines, PROFILE)
        capacities = [
            token_capacity(engine, _count(engine.layers), PROFILE)
            for engine in engines
            if engine.layers
        ]
        assert min(capacities) >= 0.3 * even
        assert not find_gaps(engines, PROFILE.layers)


@pytest.mark.parametrize('seed', range(20))
def test_balancing_converges_and_keeps_every_layer_held(seed):
    rng = random.Random(seed)
    engines = domain_engines('three')
    engines = apply_placements(engines, plan_copy(engines, PROFILE))
    for _ in range(rng.randrange(1, 4)):
        lost = engines.pop(rng.randrange(len(engines)))
        engines = apply_placements(engines, repair_copy(engines, PROFILE))
        engines.append(make_engine(lost.endpoint_id, lost.accelerator))
    for _ in range(40):
        moves = balance_copy(engines, PROFILE)
        if not moves:
            break
        engines = apply_placements(engines, moves)
        _assert_fits(engines)
        assert not find_gaps(engines, PROFILE.layers)
    assert not balance_copy(engines, PROFILE)
    capacities = [
        token_capacity(engine, _count(engine.layers), PROFILE)
        for engine in engines
        if engine.layers
    ]
    assert min(capacities) >= 0.5 * balanced_capacity(engines, PROFILE)


def test_new_controller_waits_for_registrations_to_settle():
    engines = domain_engines('two')
    placed = apply_placements(engines, plan_copy(engines, PROFILE))
    controller = PlacementController(PROFILE)
    assert not controller.decide(placed[:5], (), 0)
    assert not controller.decide(placed, (), 0.5)
    assert not controller.decide(placed, (), 3.0)
    assert controller.decide(placed[:-1], (), 3.1)


def test_layers_of_a_slow_engine_are_loaded_elsewhere_without_releases():
    engines = [
        make_engine('a', 'large', (0, 30)),
        make_engine('b', 'small', (30, 36)),
        make_engine('c', 'small', (36, 42)),
        make_engine('d', 'large', (42, 66)),
        make_engine('e', 'middle', (66, 80)),
    ]
    controller = PlacementController(PROFILE)
    controller.decide(engines, (), 0)
    placements = controller.decide(engines, {'c'}, 5.0)
    assert placements
    for placement in placements:
        held = placement.endpoint.layers
        assert placement.layers.first <= held.first
        assert placement.layers.end >= held.end
    fast = [engine for engine in engines if engine.endpoint_id != 'c']
    assert not find_gaps(apply_placements(fast, placements), PROFILE.layers)


def test_slow_engine_is_kept_if_others_would_have_to_release_layers():
    engines = domain_engines('one')[:9]
    engines = apply_placements(engines, plan_copy(engines, PROFILE))
    controller = PlacementController(PROFILE)
    controller.decide(engines, (), 0)
    slow = {engines[3].endpoint_id}
    assert not any(
        releases_layers(placement)
        for placement in controller.decide(engines, slow, 5.0)
    )


# Never returned, which would have stopped the lease holder's node: an engine
# within the range of another one was taken for the next one in the chain.
def test_repair_ends_if_an_engine_lies_within_the_range_of_another():
    held = [
        ('middle', (0, 15)),
        ('tiny', (15, 21)),
        ('small', (21, 30)),
        ('small', (30, 40)),
        ('middle', (43, 59)),
        ('tiny', (58, 64)),
        ('tiny', (64, 70)),
        ('tiny', (70, 75)),
        ('tiny', (75, 80)),
        ('small', (10, 16)),
        ('tiny', (49, 54)),
    ]
    engines = [
        make_engine(f'e{index}', accelerator, layers)
        for index, (accelerator, layers) in enumerate(held)
    ]
    profile = msgspec.structs.replace(PROFILE, kv_token_bytes=786000.0)
    placements = repair_copy(engines, profile)
    repaired = apply_placements(engines, placements)
    assert placements
    assert not find_gaps(repaired, profile.layers)


@pytest.mark.parametrize('seed', range(60))
def test_repair_completes_any_ranges_that_have_the_memory(seed):
    rng = random.Random(seed)
    engines = []
    for each in domain_engines(rng.choice(tuple(DOMAINS))):
        first = rng.randrange(PROFILE.layers)
        size = rng.randrange(1, PROFILE.max_layers(each.accelerator) + 1)
        layers = LayerRange(first, min(PROFILE.layers, first + size))
        if rng.randrange(5):
            each = msgspec.structs.replace(each, layers=layers)
        engines.append(each)
    placements = repair_copy(engines, PROFILE)
    repaired = apply_placements(engines, placements)
    assert not find_gaps(repaired, PROFILE.layers)
    _assert_fits(repaired)


# Ended the placement loop of a lease holder that knew no engine yet.
@pytest.mark.parametrize('now', [0, 5.0, 10.0])
def test_no_orders_without_engines(now):
    controller = PlacementController(PROFILE)
    assert not controller.decide([], (), 0)
    assert not controller.decide([], (), now)
