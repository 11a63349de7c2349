"""Tests for the choice of chains by expected times, on a virtual clock."""

import random
from collections import Counter

import msgspec
import pytest

from wigeonspoke.core.chains import (
    ChainSelector,
    PromptPart,
    RequestDemand,
    SuspectRegistry,
    TokenLoad,
    expected_answer_tokens,
)
from wigeonspoke.core.chains.corrections import Corrections
from wigeonspoke.core.chains.estimate import IDLE, ChainEstimate, ChainLoad
from wigeonspoke.core.chains.speed import ChainSpeed
from wigeonspoke.core.fleet import EngineSpeeds, Fleet
from wigeonspoke.core.tests.fleet_examples import PROFILE, make_engine

SPEEDS = EngineSpeeds(
    step_seconds=0.00102,
    read_token_seconds=1 / 164000,
    request_step_seconds=0.00000918,
    context_token_seconds=1.23e-8,
    token_pair_seconds=1.99e-10,
    chunk_tokens=512,
    steps_per_pass=5,
    prompt_tokens=775,
    answer_tokens=221,
)
# Engines with half of the layers have memory for 123,000 tokens.
TIMED = msgspec.structs.replace(
    PROFILE,
    speeds=SPEEDS,
    accelerators=tuple(
        msgspec.structs.replace(kind, memory_mb=143000.0)
        for kind in PROFILE.accelerators
    ),
)
DEMAND = RequestDemand(775, 221, 0.5, 0.25)
# Speed for estimates that are checked by hand.
ROUND = ChainSpeed(
    step_seconds=0.01,
    request_step_seconds=0.001,
    context_token_seconds=0.000001,
    read_token_seconds=0.0001,
    token_pair_seconds=0,
    reach_seconds=0.002,
    token_capacity=10000,
    slots=10,
    engine=EngineSpeeds(
        step_seconds=0.01,
        read_token_seconds=0.0001,
        chunk_tokens=100,
        steps_per_pass=2,
        prompt_tokens=100,
        answer_tokens=100,
    ),
)


def _selector(chains, nodes: int = 1, seed: int = 1) -> ChainSelector:
    """Create a node of domain one; chains maps a name to its accelerator.

    The name of a chain begins with its domain.
    """
    fleet = Fleet()
    for name, accelerator in chains.items():
        domain = name.partition('-')[0]
        for part, layers in enumerate(((0, 40), (40, 80))):
            fleet.put(
                make_engine(f'{name}/{part}', accelerator, layers, domain)
            )
    return ChainSelector(
        fleet,
        SuspectRegistry(),
        'one',
        None,
        random.Random(seed),
        lambda: nodes,
    )


def _select(selector, demand=DEMAND, now: float = 0, profile=TIMED) -> str:
    chain = selector.select('drafting', profile, (), now, demand)
    return chain.head.endpoint_id.partition('/')[0] if chain else ''


def _set_load(selector, name: str, streams: int, tokens: int, unread=(0, 0)):
    head_id = f'{name}/0'
    load = {head_id: TokenLoad(streams, tokens, *unread)}
    selector.peer_load.update(f'peer-{name}', {head_id: streams}, load)


@pytest.mark.parametrize(
    ('load', 'prompt', 'held', 'expected'),
    [
        # Delay, one step and the reading of 200 tokens.
        (IDLE, 200, 0, 0.002 + 0.01 + 0.02),
        (IDLE, 200, 150, 0.002 + 0.01 + 0.005),
        # Step of two others with 1,000 tokens of context: 13 ms.  Half a pass
        # of two steps, then two pieces with a pass before each.
        (ChainLoad(2, 1000), 200, 0, 0.002 + 0.013 + 0.013 + 0.052 + 0.02),
        # Two prompts of 100 tokens wait; nobody generates.
        (ChainLoad(2, 400, 2, 200), 200, 0, 0.002 + 0.01 + 0.0202 + 0.02),
        # All ten slots are taken: a tenth of the time of an answer, 21 ms a
        # token.
        (ChainLoad(10, 1000), 100, 0, 0.002 + 0.021 * 4 + 0.01 + 0.21),
        # 600 tokens are missing to 0.8 of the memory, of which 300 are needed.
        (
            ChainLoad(5, 8300),
            200,
            0,
            0.002 + 0.0233 * 6 + 0.02 + 300 * 2.33 / 8300,
        ),
    ],
)
def test_time_to_the_first_event_follows_from_load(
    load, prompt, held, expected
):
    demand = RequestDemand(prompt, 100, 0.5, 0.25)
    estimate = ChainEstimate(ROUND, load, demand, held_tokens=held)
    seconds = estimate.first_event_seconds()
    assert seconds == pytest.approx(expected, rel=0.01)


def test_arrivals_at_peers_add_to_the_estimate():
    estimate = ChainEstimate(ROUND, ChainLoad(3, 1500), DEMAND)
    times = [estimate.first_event_seconds(each) for each in (0, 5, 30, 60)]
    assert times == sorted(set(times))


@pytest.mark.parametrize(
    ('max_tokens', 'hint', 'expected'),
    [(400, 150, 150), (400, 900, 400), (100, 0, 100), (0, 0, 221), (0, 9, 9)],
)
def test_expected_answer_is_the_hint_within_the_maximum(
    max_tokens, hint, expected
):
    assert expected_answer_tokens(max_tokens, hint, 221.0) == expected


def test_speed_of_a_chain_is_that_of_its_shares_and_links():
    speeds = msgspec.structs.replace(
        SPEEDS,
        link_token_seconds=0.001,
        shared_link_token_seconds=0.01,
        delays={('one', 'two'): 0.004},
    )
    profile = msgspec.structs.replace(TIMED, speeds=speeds)
    fleet = Fleet()
    fleet.put(make_engine('a', 'large', (0, 60), 'two'))
    fleet.put(make_engine('b', 'tiny', (60, 80), 'one'))
    selector = ChainSelector(fleet, SuspectRegistry(), 'one')
    selector.chains('drafting', profile)
    speed = selector.cached_chains['drafting'].known[0].speed
    pace = 0.75 * 1.4 + 0.25 * 15
    read = 0.75 + 0.25 * 15
    assert speed.step_seconds == pytest.approx(0.00102 * pace + 0.004)
    assert speed.request_step_seconds == pytest.approx(9.18e-6 * pace + 0.011)
    assert speed.read_token_seconds == pytest.approx(read / 164000 + 0.011)
    assert speed.reach_seconds == pytest.approx(0.008)
    # Engine a has 38,000 MB free for three quarters of the layers.
    assert speed.token_capacity == pytest.approx(38e9 / 1.18e6 / 0.75)


# Each row is a fault that callers would notice.
@pytest.mark.parametrize(
    ('loads', 'expected'),
    [
        # Without load, requests stay in the own domain, on the faster chain.
        ({}, 'one-a'),
        # The number of streams alone would still name the fast chain.
        ({'one-a': (6, 12000, (6, 4650))}, 'one-b'),
        # The own chains are late; another domain is not, although they are not
        # full.
        (
            {
                'one-a': (50, 50000, (50, 40000)),
                'one-b': (30, 26000, (10, 9000)),
            },
            'two-a',
        ),
        # All are late: the least time counts, of any domain.
        (
            {
                'one-a': (50, 50000, (50, 40000)),
                'one-b': (30, 26000, (10, 9000)),
                'two-a': (60, 60000, (60, 50000)),
            },
            'one-a',
        ),
        # The memory of the fast chain is full of few long requests.
        ({'one-a': (3, 118000, (0, 0))}, 'one-b'),
    ],
)
def test_chain_is_chosen_by_time_and_memory(loads, expected):
    selector = _selector(
        {'one-a': 'large', 'one-b': 'middle', 'two-a': 'large'}
    )
    for name, load in loads.items():
        _set_load(selector, name, *load)
    assert _select(selector) == expected


def test_without_speeds_chains_are_ranked_by_streams():
    selector = _selector({'one-a': 'large', 'one-b': 'tiny'})
    selector.peer_load.update('peer', {'one-a/0': 2, 'one-b/0': 1})
    profile = msgspec.structs.replace(TIMED, speeds=None)
    assert _select(selector, profile=profile) == 'one-b'
    assert _select(selector) == 'one-a'
    assert _select(selector, demand=None) == 'one-b'


def test_request_waits_where_it_would_overfill_memory_or_stretch_gaps():
    selector = _selector({'one-a': 'small'})
    _set_load(selector, 'one-a', 30, 30000)
    assert _select(selector) == 'one-a'
    hurried = msgspec.structs.replace(DEMAND, target_event_gap_seconds=0.14)
    assert not _select(selector, hurried)
    long = msgspec.structs.replace(DEMAND, prompt_tokens=90000)
    assert not _select(selector, long)
    # No load could be moved to serve these sooner.
    impossible = msgspec.structs.replace(hurried, target_event_gap_seconds=0.01)
    assert _select(selector, impossible) == 'one-a'
    selector.peer_load.retain(())
    assert _select(selector, long) == 'one-a'


def test_gap_that_is_observed_corrects_the_expected_one():
    selector = _selector({'one-a': 'small'})
    _set_load(selector, 'one-a', 30, 30000)
    hurried = msgspec.structs.replace(DEMAND, target_event_gap_seconds=0.14)
    chain = selector.chains('drafting', TIMED)[0]
    use = selector.begin(chain, DEMAND, 0)
    for step in range(1, 60):
        selector.times.record_event(use, 0.03, step * 0.03)
    assert _select(selector, hurried, 2) == 'one-a'
    assert not _select(selector, hurried, 20)


# A stall after an engine has failed would otherwise keep requests from a chain
# that has been repaired, for as long as its streams recover.
def test_stall_of_a_chain_does_not_count_as_its_gap():
    selector = _selector({'one-a': 'small'})
    chain = selector.chains('drafting', TIMED)[0]
    use = selector.begin(chain, DEMAND, 0)
    selector.times.record_event(use, 0, 0.1)
    factor = selector.times.event_gaps.factor(use.head_id, 0.1)
    selector.times.record_event(use, 10 * use.expected_gap, 1)
    assert selector.times.event_gaps.factor(use.head_id, 1) == factor


def test_less_urgent_request_leaves_the_fast_chain():
    selector = _selector(
        {'one-a': 'large', 'one-b': 'middle', 'one-c': 'tiny', 'two-a': 'tiny'}
    )
    _set_load(selector, 'one-c', 8, 8000, (8, 6000))
    yielding = msgspec.structs.replace(DEMAND, yields=True)
    assert _select(selector, yielding) == 'one-b'
    assert _select(selector) == 'one-a'


def test_capacity_told_to_admission_counts_tokens():
    selector = _selector({'one-a': 'large', 'one-b': 'large'})
    _set_load(selector, 'one-a', 4, 100000)
    _set_load(selector, 'one-b', 4, 4000)
    free = {}

    def admits(chain, streams, capacity):
        free[chain.head.endpoint_id] = capacity - streams
        return True

    selector.select('drafting', TIMED, (), 0, DEMAND, admits)
    assert free['one-a/0'] < 20
    assert free['one-b/0'] == 92


@pytest.mark.parametrize(
    ('observed', 'after', 'expected'),
    [(0.2, 1, 2), (9, 1, 4), (0.001, 1, 0.25), (0.2, 15, 1)],
)
def test_corrections_are_bounded_and_forgotten(observed, after, expected):
    corrections = Corrections()
    for _ in range(40):
        corrections.record('a', observed, 0.1, 0)
    assert corrections.factor('a', after) == pytest.approx(expected, rel=0.01)
    for index in range(300):
        corrections.record(str(index), 1, 1, 0)
    assert len(corrections.by_head) == 256


@pytest.mark.parametrize('has_event', [True, False])
def test_chain_that_is_slower_than_expected_is_left(has_event):
    selector = _selector({'one-a': 'large', 'one-b': 'middle'})
    for start in range(4):
        chain = selector.select('drafting', TIMED, (), start, DEMAND)
        use = selector.begin(chain, DEMAND, start)
        if has_event:
            ratio = selector.times.record_event(use, 0, start + 0.6)
            assert ratio > 2
        selector.end(chain, use, start + 0.6)
    assert not selector.in_flight
    assert not selector.times.loads
    assert selector.times.corrections.factor('one-a/0', 5) > 1
    # A chain of other engines under the same head is judged anew.
    selector.fleet.drop('one-a/1')
    selector.fleet.put(make_engine('new', 'large', (40, 80)))
    selector.chains('drafting', TIMED)
    assert selector.times.corrections.factor('one-a/0', 5) == 1


def test_reports_of_nodes_add_up_and_end_with_them():
    selector = _selector({'one-a': 'large'})
    selector.chains('drafting', TIMED)
    speed = selector.cached_chains['drafting'].known[0].speed
    # A node of an earlier version tells streams only: they count as usual.
    selector.peer_load.update('old', {'one-a/0': 2})
    _set_load(selector, 'one-a', 3, 600, (1, 100))
    _set_load(selector, 'one-a', 3, 700, (2, 200))
    chain = selector.select('drafting', TIMED, (), 0, DEMAND)
    selector.begin(chain, DEMAND, 0)
    assert selector.times.load_at('one-a/0', speed) == ChainLoad(
        6, 700 + 996 + 2 * 996, 3, 975
    )
    selector.peer_load.retain(())
    assert selector.times.load_at('one-a/0', speed) == ChainLoad(1, 996, 1, 775)


def test_nodes_do_not_all_take_a_chain_that_returns():
    """All nodes see an idle chain beside busy ones, and none hears the others.

    They must not all choose it, or its first events come late.
    """
    chosen = Counter()
    for seed in range(60):
        selector = _selector(
            {'one-a': 'large', 'one-b': 'large', 'one-c': 'large'},
            nodes=60,
            seed=seed,
        )
        _set_load(selector, 'one-a', 12, 12000)
        _set_load(selector, 'one-b', 12, 12000)
        chain = selector.chains('drafting', TIMED)[0]
        for start in range(20):
            selector.end(chain, selector.begin(chain, DEMAND, start / 2))
        chosen[_select(selector, now=10)] += 1
    assert len(chosen) == 3
    assert 20 < chosen['one-c'] < 50


def test_equal_chains_are_chosen_at_random():
    chosen = {
        _select(_selector({'one-a': 'large', 'one-b': 'large'}, seed=seed))
        for seed in range(12)
    }
    assert chosen == {'one-a', 'one-b'}


def _hold_prompt(selector, name: str, shared: int = 400):
    """Let a request run on a chain and return one with the same beginning."""
    demands = [
        msgspec.structs.replace(
            DEMAND,
            parts=(PromptPart('sys', shared), PromptPart(own, 775 - shared)),
        )
        for own in 'ab'
    ]
    chain = next(
        each
        for each in selector.chains('drafting', TIMED)
        if each.head.endpoint_id.startswith(name)
    )
    use = selector.begin(chain, demands[0], 0)
    selector.times.record_event(use, 0, use.expected_seconds)
    return chain, use, demands[1]


def _restart_second(selector, chain) -> None:
    again = msgspec.structs.replace(chain.hops[1].endpoint, born=9)
    selector.fleet.put(again)


def _suspect(selector, chain) -> None:
    selector.suspects.suspect(chain.head, 'silent', 0)


def _deprioritize(selector, chain) -> None:
    selector.suspects.deprioritize(chain.head.endpoint_id, 0)


def _leave(selector, chain) -> None:
    selector.fleet.record_leaving(chain.head.start_id, 0)


def _back_off(selector, chain) -> None:
    selector.record_refusal(chain, 0.1)


def _do_nothing(selector, chain) -> None:
    """Leave the chain as it is."""


# A held prompt saves some milliseconds; each of these costs callers more.
@pytest.mark.parametrize(
    ('load', 'hinder', 'expected'),
    [
        ((0, 0), _do_nothing, 'one-b'),
        # One more request is no reason, three prompts before it are.
        ((1, 996), _do_nothing, 'one-b'),
        ((9, 9000, (4, 3000)), _do_nothing, 'one-a'),
        ((9, 116000), _do_nothing, 'one-a'),
        ((0, 0), _leave, 'one-a'),
        ((0, 0), _suspect, 'one-a'),
        ((0, 0), _deprioritize, 'one-a'),
        ((0, 0), _back_off, 'one-a'),
        ((1, 996), _restart_second, 'one-a'),
    ],
)
def test_held_prompt_is_weighed_against_wait_and_memory(load, hinder, expected):
    selector = _selector({'one-a': 'large', 'one-b': 'large'})
    chain, _, demand = _hold_prompt(selector, 'one-b', 770)
    _set_load(selector, 'one-a', 1, 996)
    _set_load(selector, 'one-b', *load)
    hinder(selector, chain)
    assert _select(selector, demand, 0.1) == expected
    is_held = hinder in {_do_nothing, _deprioritize, _back_off}
    assert bool(selector.times.prefixes.entries) == is_held


def test_no_prompt_is_held_after_its_request():
    selector = _selector({'one-a': 'large', 'one-b': 'large'})
    chain, use, demand = _hold_prompt(selector, 'one-b', 770)
    selector.end(chain, use, 1)
    assert not selector.times.prefixes.entries
    _set_load(selector, 'one-a', 1, 996)
    _set_load(selector, 'one-b', 2, 1992)
    assert _select(selector, demand, 1) == 'one-a'


@pytest.mark.parametrize('seed', range(40))
def test_choice_keeps_its_rules_under_any_load(seed):
    """Guards the order of domains, and memory and gaps of what runs there."""
    rng = random.Random(seed)
    names = ['one-a', 'one-b', 'one-c', 'two-a', 'two-b', 'two-c']
    kinds = {name: rng.choice(('large', 'middle', 'small')) for name in names}
    selector = _selector(kinds, nodes=rng.randrange(1, 80), seed=seed)
    for name in names:
        streams = rng.randrange(1, 90)
        unread = rng.randrange(streams // 4 + 1)
        tokens = streams * rng.randrange(300, 2000)
        _set_load(selector, name, streams, tokens, (unread, unread * 300))
    selector.chains('drafting', TIMED)
    ranks = {}
    for known in selector.cached_chains['drafting'].known:
        estimate = selector.times.estimate(known, DEMAND, (), 0)
        seconds = estimate.first_event_seconds()
        is_late = 4 * seconds > 1
        is_foreign = not (is_late or known.is_own_domain)
        gap = estimate.gap_seconds()
        if estimate.has_memory() and 4 * gap <= 1:
            head = known.head_id.partition('/')[0]
            ranks[head] = (is_late, is_foreign, seconds)
    assert _select(selector) == min(ranks, key=ranks.get, default='')


def test_target_that_no_chain_meets_does_not_spread_requests():
    """Speeds that are configured too low would make every chain late."""
    selector = _selector({'one-a': 'middle', 'two-a': 'middle'})
    _set_load(selector, 'one-a', 1, 996)
    hurried = msgspec.structs.replace(DEMAND, target_latency_seconds=0.01)
    assert _select(selector, hurried) == 'two-a'
    _set_load(selector, 'one-a', 0, 0)
    for _ in range(10):
        assert _select(selector, hurried) == 'one-a'


def test_correction_of_gaps_keeps_peaks():
    gaps = Corrections(keeps_peaks=True)
    for number in range(20):
        gaps.record('a', 0.04 if number % 5 else 0.2, 0.1, 0)
    assert gaps.factor('a', 1) * 5 > 6
