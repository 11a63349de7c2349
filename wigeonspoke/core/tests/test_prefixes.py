"""Tests for the index of held prompts, on a virtual clock."""

import random

import msgspec
import pytest

from wigeonspoke.core.outcomes import Reason
from wigeonspoke.core.prefixes import (
    CacheEvent,
    PrefixIndex,
    block_prefixes,
    part_prefixes,
)
from wigeonspoke.core.prefixes.index import MAX_ENTRIES
from wigeonspoke.core.routes.planner import _PartialRoute
from wigeonspoke.core.tests.examples import (
    MODEL,
    make_configuration,
    make_engine,
)
from wigeonspoke.core.view import ClusterView

PROMPT = tuple(range(256))

PARTS = part_prefixes([('sys', 40), ('tool', 60), ('own', 700)])
OTHER = part_prefixes([('sys', 40), ('tool', 60), ('other', 500)])
# The same parts after another one: nothing of it can be used again.
MOVED = part_prefixes([('new', 10), ('sys', 40), ('tool', 60)])


def _event(sequence, *, is_stored=True, age=0, run='e@1', prefix=None):
    return CacheEvent(run, sequence, age, prefix or PARTS[1], is_stored)


@pytest.mark.parametrize(
    ('prefixes', 'run', 'held'),
    [(OTHER, 'e@1', 100), (MOVED, 'e@1', 0), (OTHER, 'e@2', 0)],
)
def test_only_the_common_beginning_at_the_same_run_is_held(prefixes, run, held):
    index = PrefixIndex()
    index.record_begin('e@1', PARTS, 0)
    assert index.held_tokens(run, prefixes, 1) == held


@pytest.mark.parametrize(
    ('retention', 'at', 'held'), [(0, 1, 0), (5, 5.9, 100), (5, 6, 0)]
)
def test_prompt_is_held_while_it_runs_and_for_the_retention(
    retention, at, held
):
    index = PrefixIndex()
    for start in range(2):
        index.record_begin('e', PARTS, start)
    index.record_end('e', PARTS, 0.5, retention)
    assert index.held_tokens('e', OTHER, 100) == 100
    index.record_end('e', PARTS, 1, retention)
    assert index.held_tokens('e', OTHER, at) == held
    assert bool(index.entries) == bool(retention)


# An index that trusts any of these sends requests where nothing is held.
@pytest.mark.parametrize(
    ('events', 'held'),
    [
        ([_event(1)], 100),
        ([_event(1), _event(2, is_stored=False)], 0),
        # Events that come twice or in another order.
        ([_event(2, is_stored=False), _event(1)], 0),
        ([_event(1), _event(1, is_stored=False)], 100),
        # The removal of this entry may be among the missing events.
        ([_event(1), _event(3, prefix=PARTS[0])], 40),
        # The event came after the retention had passed.
        ([_event(1, age=30)], 0),
        ([_event(1, age=-5)], 100),
        ([_event(1, run='e@0')], 0),
    ],
)
def test_late_and_missing_events(events, held):
    index = PrefixIndex()
    for event in events:
        index.record_event(event, 10, 5)
    assert index.held_tokens('e@1', OTHER, 11) == held


@pytest.mark.parametrize(('age', 'held'), [(3, 100), (0.5, 40)])
def test_late_removal_does_not_undo_a_later_use(age, held):
    index = PrefixIndex()
    index.record_begin('e@1', PARTS, 0)
    index.record_event(_event(1, is_stored=False), 0, 5)
    assert index.held_tokens('e@1', OTHER, 0) == 100
    index.record_end('e@1', PARTS, 8, 5)
    index.record_event(_event(2, is_stored=False, age=age), 10, 5)
    assert index.held_tokens('e@1', OTHER[:2], 10) == held


def test_entries_end_with_the_run():
    index = PrefixIndex()
    for run in ('e@1', 'f@1'):
        index.record_begin(run, PARTS, 0)
    index.end_run('e@1')
    # Its requests end afterwards.
    index.record_end('e@1', PARTS, 1, 60)
    assert not index.held_tokens('e@1', PARTS, 2)
    assert index.holders(PARTS) == {'f@1'}
    index.end_run('f@1')
    assert not index.runs_by_name


def test_index_is_bounded_and_drops_the_least_recently_used():
    index = PrefixIndex()
    rng = random.Random(1)
    kept = part_prefixes([('kept', 40)])
    for number in range(2 * MAX_ENTRIES):
        prefixes = part_prefixes([(f'p{number}', 9)])
        index.record_begin(f'e{rng.randrange(9)}', prefixes, number)
        if not number % 1000:
            index.record_begin('e', kept, number)
        index.record_event(_event(1, run=f'r{number}'), number, 5)
    assert len(index.entries) == MAX_ENTRIES
    assert len(index.sequences) == 1024
    assert sum(map(len, index.runs_by_name.values())) == MAX_ENTRIES
    assert index.held_tokens('e', kept, 0) == 40


def test_blocks_of_tokens_share_their_beginning():
    one = block_prefixes(tuple(range(200)))
    other = block_prefixes((*range(130), *range(70)))
    assert [each.tokens for each in one] == [64, 128, 192]
    assert one[:2] == other[:2]
    assert one[2] != other[2]
    assert len(block_prefixes(tuple(range(9999)))) == 16


def _load_holders(view, streams: int) -> None:
    for name in ('x2', 'y2'):
        view.endpoint(name).streams = streams


def _eject_one(view) -> None:
    view.eject(view.endpoint('y2'), Reason.RESET, 10)


# Requests follow a kept prompt only where this does not make them late.
@pytest.mark.parametrize(
    ('retention', 'at', 'hinder', 'expected'),
    [
        (60, 10, None, {'x2', 'y2'}),
        (60, 71, None, set()),
        (0, 10, None, set()),
        # As many streams as queue for each other: the wait is longer.
        (60, 10, lambda view: _load_holders(view, 8), set()),
        (60, 10, _eject_one, set()),
    ],
)
def test_route_follows_a_kept_prompt(retention, at, hinder, expected):
    engines = tuple(
        make_engine(f'{stage}{number}', 'a', first, first + 2)
        for stage, first in (('x', 0), ('y', 2))
        for number in range(8)
    )
    model = msgspec.structs.replace(MODEL, prompt_retention_seconds=retention)
    view = ClusterView('n1', 'a', random.Random(3))
    view.adopt(make_configuration(1, engines))
    held = view.planner.held_prompts
    held.record_read('r1', model, PROMPT, ('x2', 'y2'), 5)
    held.record_end('r1', model, 10)
    if hinder:
        hinder(view)
    demand = held.demand(model, PROMPT, 20)
    always = {'x2', 'y2'}
    for _ in range(20):
        route = view.planner.choose_route(model, at, prompt=demand)
        always &= {engine.name for engine in route.stages}
    assert always == expected


def test_stage_that_holds_less_ends_the_saving_of_those_before():
    """Its engine needs the activations of the tokens that it does not hold."""
    engines = tuple(
        make_engine(name, 'a', first, first + 2)
        for name, first in (('x2', 0), ('y1', 2))
    )
    view = ClusterView('n1', 'a', random.Random(3))
    view.adopt(make_configuration(1, engines))
    state = view.endpoint('x2')
    stage = _PartialRoute(0, ()).extended_with(state, 0.02, 256, 0.1)
    assert stage.total_cost < stage.cost
    whole = stage.extended_with(view.endpoint('y1'), 0.04, 0, 0.1)
    assert not whole.saved
    half = stage.extended_with(view.endpoint('y1'), 0.04, 128, 0.1)
    assert half.saved == pytest.approx(stage.saved)
