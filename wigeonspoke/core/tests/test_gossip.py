"""Choice of gossip peers, message contents and spreading of departures."""

import random

import pytest

from wigeonspoke.core.membership import (
    EndpointMark,
    GossipState,
    MarkRegistry,
    MarkState,
    PeerRegistry,
    PeerReport,
    round_seconds,
)

MARK = EndpointMark('e', MarkState.DRAIN, 1)


def _make_gossip(contacts=()):
    gossip = GossipState(
        'a', 'self', MarkRegistry(), PeerRegistry(), random.Random(1)
    )
    for address, domain in contacts:
        gossip.add_contact(address, domain)
    return gossip


def _report(sequence=1, incarnation='1', node='n2'):
    return PeerReport(node, 'a', incarnation, sequence, 1, ())


def _large_deployment():
    local = [(f'local-{number}', 'a') for number in range(8)]
    remote = [(f'remote-{number}', 'b') for number in range(40)]
    return _make_gossip([*local, *remote])


def test_small_deployment_contacts_all_peers():
    contacts = [(f'p{number}', 'b') for number in range(8)]
    assert len(_make_gossip(contacts).choose_peers()) == 8


def test_local_peers_are_contacted_within_three_rounds():
    gossip = _large_deployment()
    rounds = [gossip.choose_peers() for _ in range(3)]
    assert all(len(chosen) == 4 for chosen in rounds)
    contacted = {peer for chosen in rounds for peer in chosen}
    assert {f'local-{number}' for number in range(8)} <= contacted


def test_urgent_round_contacts_all_local_peers():
    chosen = _large_deployment().choose_peers(urgent=True)
    assert sum(peer.startswith('local') for peer in chosen) == 8


@pytest.mark.parametrize(
    ('digest', 'sent'),
    [('other', (MARK,)), ('same', ()), (None, (MARK,))],
)
def test_marks_are_sent_only_to_peers_without_them(digest, sent):
    gossip = _make_gossip([('p', 'a')])
    gossip.marks.merge([MARK])
    if digest:
        same = gossip.marks.digest
        gossip.peer_digests['p'] = same if digest == 'same' else digest
    assert gossip.message_to('p', _report()).marks == sent


@pytest.mark.parametrize(
    ('size', 'peers', 'seconds'),
    [(100, 1, 0.25), (900, 4, 4), (450, 4, 2), (450, 12, 2)],
)
def test_round_interval_respects_byte_rate(size, peers, seconds):
    assert round_seconds(size, peers) == pytest.approx(seconds, rel=0.01)


def _receive_report(gossip, sequence=1, incarnation='1'):
    other = _make_gossip()
    other.address = 'p'
    report = _report(sequence, incarnation)
    message = other.message_to('self', report)
    gossip.receive(message)
    gossip.peers.update(report, 0)


@pytest.mark.parametrize(
    ('failures', 'unreachable', 'is_departed'),
    [(1, True, True), (1, False, False), (2, False, True)],
)
def test_peer_that_does_not_answer_departs(failures, unreachable, is_departed):
    gossip = _make_gossip()
    _receive_report(gossip)
    for _ in range(failures):
        departure = gossip.record_failure('p', unreachable)
    assert bool(departure) is is_departed


@pytest.mark.parametrize(
    ('sequence', 'incarnation', 'is_live'),
    [(1, '1', False), (3, '1', True), (1, '2', True), (9, '0', False)],
)
def test_only_a_later_report_cancels_a_departure(
    sequence,
    incarnation,
    is_live,
):
    gossip = _make_gossip()
    _receive_report(gossip, sequence=2)
    departure = gossip.peers.departure_of('n2', unreachable=False)
    assert gossip.peers.apply_departures([departure]) == ('n2',)
    gossip.peers.update(_report(sequence, incarnation), 0)
    assert ('n2' in gossip.peers.peers) is is_live


def test_departure_is_sent_with_the_next_message():
    gossip = _make_gossip()
    _receive_report(gossip)
    before = gossip.urgent_version
    gossip.peers.apply_departures(
        [gossip.record_failure('p', unreachable=True)]
    )
    assert gossip.urgent_version != before
    sent = gossip.message_to('q', _report(node='self')).departures
    assert [departure.node for departure in sent] == ['n2']
