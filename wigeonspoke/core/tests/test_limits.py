"""The requests of all nodes keep within the limit that an endpoint names."""

import itertools

import pytest

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.limits import (
    LimitReport,
    NamedLimits,
    SenderRegistry,
    max_senders,
)

HEAD = Endpoint('head', 'model', '10.0.0.1:80', 'one', born=7)
SPAN_SECONDS = 4.0
STEPS_PER_SECOND = 50
# Nodes know each other from here on.
STARTED = 100.0


def _node(name: str, domain: str, known: dict[str, str]) -> NamedLimits:
    senders = SenderRegistry(name, domain, 0)
    for peer, peer_domain in known.items():
        senders.record(peer, peer_domain, STARTED)
    return NamedLimits(senders)


def _nodes(counts: dict[str, int]) -> dict[str, NamedLimits]:
    """Return nodes that know each other, by name."""
    domains = {
        f'{domain}-{number}': domain
        for domain, count in counts.items()
        for number in range(count)
    }
    return {
        name: _node(name, domain, domains) for name, domain in domains.items()
    }


def _send_all(senders: list[NamedLimits], seconds: float) -> list[float]:
    """Let each node send whenever it may; return the times of the requests."""
    times = []
    for step in range(int(seconds * STEPS_PER_SECOND)):
        now = STARTED + step / STEPS_PER_SECOND
        for node in senders:
            if node.may_send(HEAD, now):
                node.record_sent(HEAD, now)
                times.append(now)
            # Answers go on naming the limit.
            node.record_answer(
                HEAD.start_id, node.limits[HEAD.start_id].limit, now
            )
    return times


def _most_in_span(times: list[float]) -> int:
    return max(
        (
            sum(first <= at < first + SPAN_SECONDS for at in times)
            for first in times
        ),
        default=0,
    )


def _allowed(limit: float) -> float:
    return 1.5 * limit * SPAN_SECONDS + 5


@pytest.mark.parametrize('limit', [0.2, 2.0, 2.4, 10.0, 60.0])
@pytest.mark.parametrize(
    'counts',
    [
        {'one': 1},
        {'one': 2, 'two': 2, 'three': 2},
        {'one': 23, 'two': 23, 'three': 22},
        {'one': 140, 'two': 140},
        {'two': 30},
    ],
    ids=str,
)
def test_nodes_keep_the_limit_and_use_it(counts, limit):
    nodes = list(_nodes(counts).values())
    for node in nodes:
        node.record_answer(HEAD.start_id, limit, STARTED)
    times = _send_all(nodes, 12.0)
    assert _most_in_span(times) <= _allowed(limit)
    assert len(times) >= limit * 12.0 / 2


@pytest.mark.parametrize('limit', [2.0, 10.0])
def test_a_node_that_is_cut_off_does_not_send_the_whole_limit(limit):
    nodes = _nodes({'one': 3, 'two': 3})
    for node in nodes.values():
        node.record_answer(HEAD.start_id, limit, STARTED)
    # No gossip arrives for 12 s.
    alone = _send_all([nodes['one-0']], 12.0)
    assert len(alone) <= 12 * limit / 2


def test_a_node_that_has_just_started_sends_nothing():
    node = NamedLimits(SenderRegistry('one-0', 'one', STARTED))
    node.record_answer(HEAD.start_id, 2.0, STARTED)
    assert not node.may_send(HEAD, STARTED + 4.9)
    assert node.may_send(HEAD, STARTED + 6.0)


def test_nodes_forget_a_node_that_stays_away():
    senders = SenderRegistry('one-0', 'one', 0)
    senders.record('one-1', 'one', STARTED)
    assert senders.share(HEAD.start_id, 'one', 2.0) * 2 == 1
    senders.record('two-0', 'two', STARTED + 61)
    assert senders.share(HEAD.start_id, 'one', 2.0) == 1


@pytest.mark.parametrize(
    ('answers', 'limit'),
    [
        pytest.param([(1, None)], None, id='never named'),
        pytest.param([(1, 2.0)], 2.0, id='named'),
        pytest.param([(1, 2.0), (2, 3.0)], 3.0, id='changed'),
        pytest.param([(1, 2.0), (2, None)], None, id='ended'),
        pytest.param([(1, 2.0), (2, None), (3, 4.0)], 4.0, id='named again'),
    ],
)
@pytest.mark.parametrize('is_reordered', [False, True])
def test_the_newest_answer_holds(answers, limit, is_reordered):
    node = _node('one-0', 'one', {})
    peer = _node('one-1', 'one', {})
    reports: list[LimitReport] = []
    for at, named in answers:
        node.record_answer(HEAD.start_id, named, STARTED + at)
        reports.extend(node.reports(STARTED + 4))
    assert node.find_limit(HEAD, STARTED + 4) == limit
    if is_reordered:
        reports.reverse()
    for report in reports:
        peer.merge(report, STARTED + 4)
    if not is_reordered or limit is not None:
        assert peer.find_limit(HEAD, STARTED + 4) == limit


def test_a_limit_does_not_hold_for_the_next_run_of_the_endpoint():
    node = _node('one-0', 'one', {})
    node.record_answer(HEAD.start_id, 2.0, STARTED)
    next_run = Endpoint('head', 'model', '10.0.0.1:80', 'one', born=8)
    assert not node.may_send(HEAD, STARTED)
    assert node.may_send(next_run, STARTED)


def test_a_limit_that_no_answer_names_any_more_is_forgotten():
    node = _node('one-0', 'one', {})
    node.record_answer(HEAD.start_id, 2.0, STARTED)
    assert node.find_limit(HEAD, STARTED + 29) is not None
    assert node.find_limit(HEAD, STARTED + 31) is None


def test_news_are_news_once():
    node = _node('one-0', 'one', {})
    report = LimitReport(HEAD.start_id, 2.0, 0.5)
    assert node.merge(report, STARTED)
    assert not node.merge(report, STARTED)
    assert not node.record_answer(HEAD.start_id, 2.0, STARTED + 1)
    assert node.record_answer(HEAD.start_id, None, STARTED + 2)


def test_reports_are_bounded():
    node = _node('one-0', 'one', {})
    for number in range(3000):
        node.record_answer(f'endpoint-{number}@1', 2.0, STARTED)
    assert len(node.reports(STARTED)) == 16
    assert len(node.limits) <= 1024


def test_the_number_of_senders_leaves_room_for_what_they_save_up():
    limits = itertools.chain((0.1, 0.5, 1.9), range(1, 400))
    for limit in limits:
        most = SPAN_SECONDS * limit + max_senders(limit)
        assert most <= _allowed(limit)
