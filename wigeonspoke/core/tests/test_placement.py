"""Placement: whole copies, repairs, and never more than fits."""

import random

import pytest

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.placement import (
    Placing,
    Steward,
    balance_domain,
    even_room,
    find_gaps,
    free_tokens,
    plan_domain,
    repair_domain,
)
from wigeonspoke.core.placement.repair import lets_go
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    apply_placings,
    domain_engines,
    engine,
)


def _count(layers) -> int:
    return layers.end - layers.first if layers else 0


def _assert_fits(engines) -> None:
    for each in engines:
        held = _count(each.layers)
        assert held <= PROFILE.most_layers(each.accelerator)


@pytest.mark.parametrize('domain', DOMAINS)
def test_plan_tiles_all_layers_with_even_room(domain):
    engines = domain_engines(domain)
    placed = apply_placings(engines, plan_domain(engines, PROFILE))
    assert not find_gaps(placed, PROFILE.layers)
    assert sum(_count(each.layers) for each in placed) == PROFILE.layers
    _assert_fits(placed)
    rooms = [free_tokens(each, _count(each.layers), PROFILE) for each in placed]
    assert min(rooms) > 80000


@pytest.mark.parametrize('domain', DOMAINS)
def test_loss_of_any_one_engine_is_repaired_at_once(domain):
    engines = domain_engines(domain)
    placed = apply_placings(engines, plan_domain(engines, PROFILE))
    for lost in placed:
        left = [each for each in placed if each is not lost]
        repaired = apply_placings(left, repair_domain(left, PROFILE))
        assert not find_gaps(repaired, PROFILE.layers)
        _assert_fits(repaired)


@pytest.mark.parametrize('seed', range(40))
def test_losses_in_a_row_are_repaired_while_memory_lasts(seed):
    source = random.Random(seed)
    engines = domain_engines('two')
    engines = apply_placings(engines, plan_domain(engines, PROFILE))
    while engines:
        engines.pop(source.randrange(len(engines)))
        room = sum(PROFILE.most_layers(each.accelerator) for each in engines)
        engines = apply_placings(engines, repair_domain(engines, PROFILE))
        _assert_fits(engines)
        assert bool(find_gaps(engines, PROFILE.layers)) == (room < 80)


def test_neighbours_share_a_gap():
    engines = [
        engine('a', 'large', (0, 36)),
        engine('b', 'small', (36, 42)),
        engine('d', 'small', (46, 52)),
        engine('e', 'large', (52, 80)),
    ]
    placings = repair_domain(engines, PROFILE)
    shown = {
        placing.endpoint.endpoint_id: placing.layers.describe()
        for placing in placings
    }
    assert shown == {'b': '[36, 44)', 'd': '[44, 52)'}


def test_an_empty_engine_closes_a_gap():
    engines = [
        engine('a', 'large', (0, 36)),
        engine('b', 'small', (36, 42)),
        engine('n', 'small'),
        engine('d', 'small', (48, 54)),
        engine('e', 'large', (54, 80)),
    ]
    placings = repair_domain(engines, PROFILE)
    assert [placing.endpoint.endpoint_id for placing in placings] == ['n']
    assert not find_gaps(apply_placings(engines, placings), PROFILE.layers)


def test_nothing_is_ordered_before_the_list_is_settled():
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    assert not steward.decide(engines[:4], (), 0)
    assert not steward.decide(engines, (), 1.0)
    assert not steward.decide(engines, (), 2.1)
    assert len(steward.decide(engines, (), 2.3)) == len(engines)


@pytest.mark.parametrize(
    ('accepted', 'at', 'orders'),
    [
        # An order without an answer may yet be carried out: it counts for
        # a moment, then it is given again.
        (False, 2.0, 0),
        (False, 3.5, 14),
        # A load that was begun counts as long as it may take.
        (True, 3.5, 0),
        (True, 60.0, 14),
    ],
)
def test_orders_on_their_way_are_not_given_twice(accepted, at, orders):
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    steward.decide(engines, (), 0)
    placings = steward.decide(engines, (), 2.0)
    for placing in placings:
        steward.note_sent(placing, 2.0)
        if accepted:
            steward.note_accepted(placing, 2.0)
    assert len(steward.decide(engines, (), at)) == orders


@pytest.mark.parametrize(
    ('at', 'is_awaited'),
    [
        (2.5, True),
        # A second, and three times what the load should take.
        (60.0, False),
    ],
)
def test_nobody_waits_for_an_order_for_ever(at, is_awaited):
    # A steward that has lost its lease decides nothing any more.
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    steward.decide(engines, (), 0)
    placing = steward.decide(engines, (), 2.0)[0]
    steward.note_sent(placing, 2.0)
    steward.note_accepted(placing, 2.0)
    assert steward.is_awaited(placing, at) == is_awaited


def test_only_the_last_order_to_an_engine_is_waited_for():
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    steward.decide(engines, (), 0)
    placing = steward.decide(engines, (), 2.0)[0]
    steward.note_sent(placing, 2.0)
    later = Placing(placing.endpoint, LayerRange(0, 1))
    steward.note_sent(later, 2.1)
    assert not steward.is_awaited(placing, 2.2)
    assert steward.is_awaited(later, 2.2)


def test_an_order_ends_when_the_engine_holds_the_layers():
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    steward.decide(engines, (), 0)
    placings = steward.decide(engines, (), 2.0)
    for placing in placings:
        steward.note_sent(placing, 2.0)
    placed = apply_placings(engines, placings)
    assert not steward.decide(placed, (), 2.1)
    assert not steward.pending
    repairs = steward.decide(placed[:-1], (), 2.2)
    repaired = apply_placings(placed[:-1], repairs)
    assert repairs
    assert not find_gaps(repaired, PROFILE.layers)


@pytest.mark.parametrize('domain', DOMAINS)
@pytest.mark.parametrize('seed', range(10))
def test_a_repair_leaves_every_engine_room_for_requests(domain, seed):
    source = random.Random(seed)
    engines = domain_engines(domain)
    engines = apply_placings(engines, plan_domain(engines, PROFILE))
    for _ in range(3):
        engines.pop(source.randrange(len(engines)))
        engines = apply_placings(engines, repair_domain(engines, PROFILE))
        even = even_room(engines, PROFILE)
        rooms = [
            free_tokens(each, _count(each.layers), PROFILE)
            for each in engines
            if each.layers
        ]
        assert min(rooms) >= 0.3 * even
        assert not find_gaps(engines, PROFILE.layers)


@pytest.mark.parametrize('seed', range(20))
def test_moves_even_out_a_copy_that_stays_whole(seed):
    source = random.Random(seed)
    engines = domain_engines('three')
    engines = apply_placings(engines, plan_domain(engines, PROFILE))
    for _ in range(source.randrange(1, 4)):
        lost = engines.pop(source.randrange(len(engines)))
        engines = apply_placings(engines, repair_domain(engines, PROFILE))
        engines.append(engine(lost.endpoint_id, lost.accelerator))
    for _ in range(40):
        moves = balance_domain(engines, PROFILE)
        if not moves:
            break
        engines = apply_placings(engines, moves)
        _assert_fits(engines)
        assert not find_gaps(engines, PROFILE.layers)
    assert not balance_domain(engines, PROFILE)
    rooms = [
        free_tokens(each, _count(each.layers), PROFILE)
        for each in engines
        if each.layers
    ]
    assert min(rooms) >= 0.5 * even_room(engines, PROFILE)


def test_a_steward_that_begins_waits_for_the_whole_list():
    engines = domain_engines('two')
    placed = apply_placings(engines, plan_domain(engines, PROFILE))
    steward = Steward(PROFILE)
    assert not steward.decide(placed[:5], (), 0)
    assert not steward.decide(placed, (), 0.5)
    assert not steward.decide(placed, (), 3.0)
    assert steward.decide(placed[:-1], (), 3.1)


def test_the_work_of_a_slow_engine_is_taken_over_without_a_gap():
    engines = [
        engine('a', 'large', (0, 30)),
        engine('b', 'small', (30, 36)),
        engine('c', 'small', (36, 42)),
        engine('d', 'large', (42, 66)),
        engine('e', 'middle', (66, 80)),
    ]
    steward = Steward(PROFILE)
    steward.decide(engines, (), 0)
    placings = steward.decide(engines, {'c'}, 5.0)
    assert placings
    for placing in placings:
        held = placing.endpoint.layers
        assert placing.layers.first <= held.first
        assert placing.layers.end >= held.end
    fast = [each for each in engines if each.endpoint_id != 'c']
    assert not find_gaps(apply_placings(fast, placings), PROFILE.layers)


def test_a_slow_engine_stays_where_others_would_have_to_let_go():
    engines = domain_engines('one')[:9]
    engines = apply_placings(engines, plan_domain(engines, PROFILE))
    steward = Steward(PROFILE)
    steward.decide(engines, (), 0)
    slow = {engines[3].endpoint_id}
    assert not any(
        lets_go(placing) for placing in steward.decide(engines, slow, 5.0)
    )
