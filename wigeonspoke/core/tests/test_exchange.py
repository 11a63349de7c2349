"""Whom a node speaks to, what it tells, and how a dead node is told of."""

import random

import pytest

from wigeonspoke.core.membership import (
    EndpointMark,
    Exchange,
    MarkBook,
    MarkState,
    PeerBook,
    PeerReport,
    round_seconds,
)

MARK = EndpointMark('e', MarkState.DRAIN, 1)


def _exchange(contacts=()):
    exchange = Exchange('a', 'self', MarkBook(), PeerBook(), random.Random(1))
    for address, domain in contacts:
        exchange.meet(address, domain)
    return exchange


def _report(sequence=1, incarnation='1', node='n2'):
    return PeerReport(node, 'a', incarnation, sequence, 1, ())


def _many():
    near = [(f'near-{number}', 'a') for number in range(8)]
    far = [(f'far-{number}', 'b') for number in range(40)]
    return _exchange([*near, *far])


def test_small_deployment_speaks_to_all():
    contacts = [(f'p{number}', 'b') for number in range(8)]
    assert len(_exchange(contacts).choose_peers()) == 8


def test_own_domain_is_heard_within_three_rounds():
    exchange = _many()
    rounds = [exchange.choose_peers() for _ in range(3)]
    assert all(len(chosen) == 4 for chosen in rounds)
    spoken = {peer for chosen in rounds for peer in chosen}
    assert {f'near-{number}' for number in range(8)} <= spoken


def test_news_goes_to_all_of_the_own_domain_at_once():
    chosen = _many().choose_peers(news=True)
    assert sum(peer.startswith('near') for peer in chosen) == 8


@pytest.mark.parametrize(
    ('digest', 'told'),
    [('other', (MARK,)), ('same', ()), (None, (MARK,))],
)
def test_marks_go_to_peers_that_do_not_have_them(digest, told):
    exchange = _exchange([('p', 'a')])
    exchange.marks.merge([MARK])
    if digest:
        same = exchange.marks.digest
        exchange.digests['p'] = same if digest == 'same' else digest
    assert exchange.message_to('p', _report()).marks == told


@pytest.mark.parametrize(
    ('size', 'peers', 'seconds'),
    [(100, 1, 0.25), (900, 4, 4), (450, 4, 2), (450, 12, 2)],
)
def test_rounds_keep_to_the_budget(size, peers, seconds):
    assert round_seconds(size, peers) == pytest.approx(seconds, rel=0.01)


def _hear(exchange, sequence=1, incarnation='1'):
    other = _exchange()
    other.address = 'p'
    report = _report(sequence, incarnation)
    message = other.message_to('self', report)
    exchange.take(message)
    exchange.peers.take(report, 0)


@pytest.mark.parametrize(
    ('failures', 'sure', 'departs'),
    [(1, True, True), (1, False, False), (2, False, True)],
)
def test_peer_that_does_not_answer_departs(failures, sure, departs):
    exchange = _exchange()
    _hear(exchange)
    for _ in range(failures):
        departure = exchange.note_failure('p', sure)
    assert bool(departure) is departs


@pytest.mark.parametrize(
    ('sequence', 'incarnation', 'lives'),
    [(1, '1', False), (3, '1', True), (1, '2', True), (9, '0', False)],
)
def test_departure_is_refuted_by_a_later_report_only(
    sequence,
    incarnation,
    lives,
):
    exchange = _exchange()
    _hear(exchange, sequence=2)
    departure = exchange.peers.suspect('n2', sure=False)
    assert exchange.peers.depart([departure]) == ('n2',)
    exchange.peers.take(_report(sequence, incarnation), 0)
    assert ('n2' in exchange.peers.peers) is lives


def test_departure_spreads_with_the_next_message():
    exchange = _exchange()
    _hear(exchange)
    before = exchange.news
    exchange.peers.depart([exchange.note_failure('p', sure=True)])
    assert exchange.news != before
    told = exchange.message_to('q', _report(node='self')).departures
    assert [departure.node for departure in told] == ['n2']
