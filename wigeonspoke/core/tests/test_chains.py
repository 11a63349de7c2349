"""Chains: every layer once and in order, and the choice among them."""

import random

import pytest

from wigeonspoke.core.chains import (
    ChainActivity,
    ChainChooser,
    SuspectBook,
    find_chain,
)
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.placement import plan_domain
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    apply_placements,
    domain_engines,
    make_engine,
)


def _placed(domain: str) -> list:
    engines = domain_engines(domain)
    return apply_placements(engines, plan_domain(engines, PROFILE))


def _chooser(domain: str = 'one') -> ChainChooser:
    fleet = Fleet()
    for name in DOMAINS:
        for each in _placed(name):
            fleet.put(each)
    return ChainChooser(fleet, SuspectBook(), domain)


def _assert_tiles(chain) -> None:
    covered = 0
    for hop in chain.hops:
        assert hop.layers.first == covered
        assert hop.endpoint.layers.first <= hop.layers.first
        assert hop.layers.end <= hop.endpoint.layers.end
        covered = hop.layers.end
    assert covered == PROFILE.layers
    assert len(chain.endpoint_ids) == len(chain.hops)


@pytest.mark.parametrize('seed', range(30))
def test_chains_run_every_layer_once_whatever_the_ranges(seed):
    source = random.Random(seed)
    engines = []
    for index in range(60):
        first = source.randrange(78)
        end = min(80, first + source.randrange(1, 12))
        domain = source.choice(tuple(DOMAINS))
        engines.append(make_engine(f'e{index}', 'tiny', (first, end), domain))
    chain = find_chain(engines, PROFILE)
    held = {
        layer
        for each in engines
        for layer in range(each.layers.first, each.layers.end)
    }
    assert (chain is not None) == (len(held) == PROFILE.layers)
    if chain is not None:
        _assert_tiles(chain)


def test_a_chain_stays_in_its_domain_if_it_can():
    engines = [*_placed('one'), *_placed('two'), *_placed('three')]
    chain = find_chain(engines, PROFILE)
    _assert_tiles(chain)
    assert len(chain.domains) == 1


def test_without_its_own_chain_a_node_goes_where_all_nodes_have_least():
    chooser = _chooser('one')
    heads = {
        chain.head.failure_domain: chain.head.endpoint_id
        for chain in chooser.chains('drafting', PROFILE)
    }
    avoided = {heads['one']}
    chooser.in_flight[heads['two']] = 2
    assert (
        chooser.choose('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'three'
    )
    chooser.elsewhere.take('peer', {heads['three']: 7})
    assert (
        chooser.choose('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'two'
    )
    chooser.elsewhere.keep(())
    assert (
        chooser.choose('drafting', PROFILE, avoided, 0).head.failure_domain
        == 'three'
    )


def test_room_counts_what_all_nodes_have():
    chooser = _chooser('one')
    chain = chooser.choose('drafting', PROFILE, (), 0)
    head_id = chain.head.endpoint_id
    chooser.in_flight[head_id] = 5
    chooser.elsewhere.take('peer', {head_id: 20})
    chooser.note_refusal(chain, 0)
    assert not chooser.has_room(chain, 0)
    # The peer's requests have ended: there is room for ours.
    chooser.elsewhere.take('peer', {head_id: 10})
    assert chooser.has_room(chain, 0)


@pytest.mark.parametrize('domain', DOMAINS)
def test_own_domain_first(domain):
    chooser = _chooser(domain)
    chain = chooser.choose('drafting', PROFILE, (), 0)
    assert chain.domains == {domain}


@pytest.mark.parametrize('how', ['suspect', 'doubt', 'leaving', 'avoided'])
def test_a_broken_chain_is_left_for_another_domain(how):
    chooser = _chooser('one')
    chain = chooser.choose('drafting', PROFILE, (), 0)
    avoided = set()
    middle = chain.hops[4].endpoint
    if how == 'suspect':
        chooser.suspects.suspect(middle, 'silent', 0)
    elif how == 'doubt':
        chooser.suspects.doubt(chain.head.endpoint_id, 0)
    elif how == 'leaving':
        chooser.fleet.drop(middle.endpoint_id)
    else:
        avoided.add(chain.head.endpoint_id)
    other = chooser.choose('drafting', PROFILE, avoided, 0.1)
    assert other.domains != chain.domains
    _assert_tiles(other)


def test_a_doubt_passes_and_trust_ends_it():
    chooser = _chooser('one')
    head = chooser.choose('drafting', PROFILE, (), 0).head
    chooser.suspects.doubt(head.endpoint_id, 0)
    assert chooser.choose('drafting', PROFILE, (), 9.0).head == head
    chooser.suspects.doubt(head.endpoint_id, 10.0)
    chooser.suspects.trust(head.endpoint_id)
    assert chooser.choose('drafting', PROFILE, (), 10.0).head == head


def test_work_of_a_lost_domain_is_split_over_the_others():
    chooser = _chooser('one')
    lost = chooser.choose('drafting', PROFILE, (), 0)
    chooser.suspects.suspect(lost.head, 'silent', 0)
    taken = set()
    for _ in range(2):
        chain = chooser.choose('drafting', PROFILE, (), 0)
        chooser.begin(chain)
        taken |= chain.domains
    assert taken == {'two', 'three'}


def test_a_suspicion_is_of_one_start_of_an_engine():
    book = SuspectBook()
    first = make_engine('a', born=1)
    again = make_engine('a', born=2)
    assert book.suspect(first, 'silent', 0)
    assert book.is_suspect(first)
    assert not book.is_suspect(again)


def test_a_chain_with_a_slow_engine_comes_after_other_domains():
    chooser = _chooser('one')
    chain = chooser.choose('drafting', PROFILE, (), 0)
    slow = chain.hops[3].endpoint
    assert chooser.suspects.note_pace(slow, 4.0, 0)
    other = chooser.choose('drafting', PROFILE, (), 0)
    assert other.domains != chain.domains
    avoided = {
        each.head.endpoint_id
        for each in chooser.chains('drafting', PROFILE)
        if each.domains != chain.domains
    }
    last = chooser.choose('drafting', PROFILE, avoided, 0)
    assert last.domains == chain.domains
    chooser.suspects.note_pace(slow, 1.1, 1)
    assert chooser.choose('drafting', PROFILE, (), 1) == chain


@pytest.mark.parametrize(
    ('gap', 'streams', 'after', 'is_silent'),
    [
        (0.02, 5, 0.05, False),
        (0.02, 5, 0.1, True),
        # One stream alone may be late by itself.
        (0.02, 1, 0.1, False),
        (0.02, 1, 0.2, True),
        # On a slow chain such gaps are usual.
        (0.1, 5, 0.2, False),
        (0.1, 5, 0.4, True),
    ],
)
def test_silence_is_judged_by_the_usual_rhythm(gap, streams, after, is_silent):
    activity = ChainActivity()
    for index in range(200):
        activity.note_event('h', gap, index * gap)
    assert activity.is_silent('h', streams, 199 * gap + after) == is_silent


def test_a_chain_that_never_gave_an_event_is_silent():
    assert ChainActivity().is_silent('h', 5, 0)
