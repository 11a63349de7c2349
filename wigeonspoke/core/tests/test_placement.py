"""Placement: whole copies, repairs, and never more than fits."""

import random

import pytest

from wigeonspoke.core.placement import (
    Steward,
    find_gaps,
    free_tokens,
    plan_domain,
    repair_domain,
)
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


def test_an_empty_engine_takes_part_in_closing_a_gap():
    engines = [
        engine('a', 'large', (0, 36)),
        engine('b', 'small', (36, 42)),
        engine('n', 'small'),
        engine('d', 'small', (48, 54)),
        engine('e', 'large', (54, 80)),
    ]
    placings = repair_domain(engines, PROFILE)
    assert {_count(placing.layers) for placing in placings} == {2, 8}
    assert not find_gaps(apply_placings(engines, placings), PROFILE.layers)


def test_nothing_is_ordered_before_the_list_is_settled():
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    assert not steward.decide(engines[:4], 0)
    assert not steward.decide(engines, 1.0)
    assert not steward.decide(engines, 2.1)
    assert len(steward.decide(engines, 2.3)) == len(engines)


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
    steward.decide(engines, 0)
    placings = steward.decide(engines, 2.0)
    for placing in placings:
        steward.note_sent(placing, 2.0)
        if accepted:
            steward.note_accepted(placing, 2.0)
    assert len(steward.decide(engines, at)) == orders


def test_an_order_ends_when_the_engine_holds_the_layers():
    steward = Steward(PROFILE)
    engines = domain_engines('two')
    steward.decide(engines, 0)
    placings = steward.decide(engines, 2.0)
    for placing in placings:
        steward.note_sent(placing, 2.0)
    placed = apply_placings(engines, placings)
    assert not steward.decide(placed, 2.1)
    assert not steward.pending
    assert len(steward.decide(placed[:-1], 2.2)) == 1
