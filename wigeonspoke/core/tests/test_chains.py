"""Tests for the search, selection and silence detection of chains."""

import random

import pytest

from wigeonspoke.core.chains import (
    ChainActivity,
    ChainSelector,
    SuspectRegistry,
    find_chain,
)
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.placement import plan_copy
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    apply_placements,
    domain_engines,
    make_engine,
)


def _loaded_engines(domain: str) -> list:
    engines = domain_engines(domain)
    return apply_placements(engines, plan_copy(engines, PROFILE))


def _selector(domain: str = 'one') -> ChainSelector:
    fleet = Fleet()
    for name in DOMAINS:
        for each in _loaded_engines(name):
            fleet.put(each)
    return ChainSelector(fleet, SuspectRegistry(), domain)


def _assert_covers_model(chain) -> None:
    covered = 0
    for hop in chain.hops:
        assert hop.layers.first == covered
        assert hop.endpoint.layers.first <= hop.layers.first
        assert hop.layers.end <= hop.endpoint.layers.end
        covered = hop.layers.end
    assert covered == PROFILE.layers
    assert len(chain.endpoint_ids) == len(chain.hops)


@pytest.mark.parametrize('seed', range(30))
def test_chain_covers_every_layer_once(seed):
    rng = random.Random(seed)
    engines = []
    for index in range(60):
        first = rng.randrange(78)
        end = min(80, first + rng.randrange(1, 12))
        domain = rng.choice(tuple(DOMAINS))
        engines.append(make_engine(f'e{index}', 'tiny', (first, end), domain))
    chain = find_chain(engines, PROFILE)
    held = {
        layer
        for each in engines
        for layer in range(each.layers.first, each.layers.end)
    }
    assert (chain is not None) == (len(held) == PROFILE.layers)
    if chain is not None:
        _assert_covers_model(chain)


def test_chain_stays_in_one_domain_when_possible():
    engines = [
        *_loaded_engines('one'),
        *_loaded_engines('two'),
        *_loaded_engines('three'),
    ]
    chain = find_chain(engines, PROFILE)
    _assert_covers_model(chain)
    assert len(chain.domains) == 1


def test_fallback_selects_least_loaded_domain_across_nodes():
    selector = _selector('one')
    heads = {
        chain.head.failure_domain: chain.head.endpoint_id
        for chain in selector.chains('drafting', PROFILE)
    }
    avoided = {heads['one']}
    selector.in_flight[heads['two']] = 2
    assert (
        selector.select('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'three'
    )
    selector.peer_load.update('peer', {heads['three']: 7})
    assert (
        selector.select('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'two'
    )
    selector.peer_load.retain(())
    assert (
        selector.select('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'three'
    )


def test_concurrency_limit_counts_requests_of_all_nodes():
    selector = _selector('one')
    chain = selector.select('drafting', PROFILE, (), 0)
    head_id = chain.head.endpoint_id
    selector.in_flight[head_id] = 5
    selector.peer_load.update('peer', {head_id: 20})
    selector.record_refusal(chain, 0)
    assert not selector.has_capacity(chain, 0)
    # Requests of the peer have ended, so the chain is below its limit again.
    selector.peer_load.update('peer', {head_id: 10})
    assert selector.has_capacity(chain, 0)


def test_chain_that_does_not_admit_a_request_is_not_selected():
    selector = _selector('one')
    own = selector.select('drafting', PROFILE, (), 0)
    selector.in_flight[own.head.endpoint_id] = 2
    selector.peer_load.update('peer', {own.head.endpoint_id: 3})
    asked = {}

    def admits(chain, streams, capacity):
        asked[chain.head.failure_domain] = (streams, capacity > streams)
        return chain != own

    other = selector.select('drafting', PROFILE, (), 0, admits=admits)
    assert other not in {None, own}
    assert asked['one'] == (5, True)
    assert not selector.select('drafting', PROFILE, (), 0, None, lambda *_: 0)


@pytest.mark.parametrize('domain', DOMAINS)
def test_own_domain_is_preferred(domain):
    selector = _selector(domain)
    chain = selector.select('drafting', PROFILE, (), 0)
    assert chain.domains == {domain}


@pytest.mark.parametrize(
    'condition', ['suspect', 'deprioritized', 'leaving', 'avoided']
)
def test_unusable_chain_falls_back_to_another_domain(condition):
    selector = _selector('one')
    chain = selector.select('drafting', PROFILE, (), 0)
    avoided = set()
    middle = chain.hops[4].endpoint
    if condition == 'suspect':
        selector.suspects.suspect(middle, 'silent', 0)
    elif condition == 'deprioritized':
        selector.suspects.deprioritize(chain.head.endpoint_id, 0)
    elif condition == 'leaving':
        selector.fleet.drop(middle.endpoint_id)
    else:
        avoided.add(chain.head.endpoint_id)
    other = selector.select('drafting', PROFILE, avoided, 0.1)
    assert other.domains != chain.domains
    _assert_covers_model(other)


def test_deprioritization_expires_and_can_be_restored():
    selector = _selector('one')
    head = selector.select('drafting', PROFILE, (), 0).head
    selector.suspects.deprioritize(head.endpoint_id, 0)
    assert selector.select('drafting', PROFILE, (), 9.0).head == head
    selector.suspects.deprioritize(head.endpoint_id, 10.0)
    selector.suspects.restore(head.endpoint_id)
    assert selector.select('drafting', PROFILE, (), 10.0).head == head


def test_load_of_a_lost_domain_is_split_over_the_others():
    selector = _selector('one')
    lost = selector.select('drafting', PROFILE, (), 0)
    selector.suspects.suspect(lost.head, 'silent', 0)
    taken = set()
    for _ in range(2):
        chain = selector.select('drafting', PROFILE, (), 0)
        selector.begin(chain)
        taken |= chain.domains
    assert taken == {'two', 'three'}


def test_suspicion_applies_to_one_start_of_an_engine():
    registry = SuspectRegistry()
    first = make_engine('a', born=1)
    again = make_engine('a', born=2)
    assert registry.suspect(first, 'silent', 0)
    assert registry.is_suspect(first)
    assert not registry.is_suspect(again)


def test_chain_with_slow_engine_ranks_after_other_domains():
    selector = _selector('one')
    chain = selector.select('drafting', PROFILE, (), 0)
    slow = chain.hops[3].endpoint
    assert selector.suspects.record_slowdown(slow, 4.0, 0)
    other = selector.select('drafting', PROFILE, (), 0)
    assert other.domains != chain.domains
    avoided = {
        each.head.endpoint_id
        for each in selector.chains('drafting', PROFILE)
        if each.domains != chain.domains
    }
    last = selector.select('drafting', PROFILE, avoided, 0)
    assert last.domains == chain.domains
    selector.suspects.record_slowdown(slow, 1.1, 1)
    assert selector.select('drafting', PROFILE, (), 1) == chain


@pytest.mark.parametrize(
    ('gap', 'streams', 'after', 'is_silent'),
    [
        (0.02, 5, 0.05, False),
        (0.02, 5, 0.1, True),
        # The timeout is doubled for a single stream, where one late event
        # would look like silence.
        (0.02, 1, 0.1, False),
        (0.02, 1, 0.2, True),
        # On a slow chain the mean gap, and so the timeout, is longer.
        (0.1, 5, 0.2, False),
        (0.1, 5, 0.4, True),
    ],
)
def test_silence_timeout_follows_mean_event_gap(gap, streams, after, is_silent):
    activity = ChainActivity()
    for index in range(200):
        activity.record_event('h', gap, index * gap)
    assert activity.is_silent('h', streams, 199 * gap + after) == is_silent


def test_chain_without_events_is_silent():
    assert ChainActivity().is_silent('h', 5, 0)
