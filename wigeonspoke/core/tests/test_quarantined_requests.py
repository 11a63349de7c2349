"""A whole request that ends replicas is told from requests beside it."""

import random

import pytest

from wigeonspoke.core.quarantine import (
    Answer,
    BeginningTracker,
    PartRegistry,
    is_request_key,
    request_key,
)

SERVICE = 'ledger'
REQUEST = {
    'service': SERVICE,
    'method': 'POST',
    'target': '/write/x?y=1',
    'account': 'acme',
    'body': b'content',
}
BAD = request_key(**REQUEST)
POPULAR = request_key(SERVICE, 'GET', '/read/x', 'acme', b'')
PART = 'ledger/part'
SECONDS_PER_HOUR = 3600


@pytest.mark.parametrize(
    'change',
    [
        pytest.param({'service': 'other'}, id='service'),
        pytest.param({'method': 'PUT'}, id='method'),
        pytest.param({'target': '/write/z?y=1'}, id='path'),
        pytest.param({'target': '/write/x?y=2'}, id='query'),
        pytest.param({'account': 'bond'}, id='caller'),
        pytest.param({'account': ''}, id='no caller'),
        pytest.param({'body': b'content!'}, id='body'),
        pytest.param({'body': b''}, id='no body'),
        pytest.param(
            {'account': 'acmec', 'body': b'ontent'}, id='end of the account'
        ),
        pytest.param(
            {'method': 'POST/', 'target': 'write/x?y=1'}, id='end of the method'
        ),
    ],
)
def test_another_request_has_another_key(change):
    other = request_key(**{**REQUEST, **change})
    assert is_request_key(other)
    assert other != BAD


def test_a_repeated_request_has_the_same_key_without_its_body():
    assert request_key(**REQUEST) == BAD
    assert len(BAD) == len('ledger/request:') + 32
    assert 'content' not in BAD
    assert not is_request_key('ledger/request')
    assert not is_request_key(PART)


def test_bytes_that_are_no_text_have_a_key():
    target = b'/write/\xff'.decode('utf-8', 'surrogateescape')
    assert is_request_key(request_key(SERVICE, 'GET', target, '', b'\xff'))


def _registry_after(events) -> PartRegistry:
    """Return a registry after ``(time, start, keys)``; start '' is sound."""
    registry = PartRegistry()
    for at, start, keys in events:
        if start:
            registry.record_crash(keys, start, at)
        else:
            registry.record_sound(keys, at)
    return registry


@pytest.mark.parametrize(
    ('events', 'keys', 'is_refused'),
    [
        pytest.param(
            [(at, f'r{at}', (BAD,)) for at in range(3)],
            (BAD,),
            True,
            id='three replicas end',
        ),
        pytest.param(
            [(0, f'r{number}', (BAD,)) for number in range(3)],
            (BAD,),
            True,
            id='all three replicas end at one moment',
        ),
        pytest.param(
            [(at, f'r{at}', (BAD,)) for at in range(2)],
            (BAD,),
            False,
            id='two replicas end',
        ),
        pytest.param(
            [(at, 'r0', (BAD,)) for at in range(9)],
            (BAD,),
            False,
            id='one crash seen nine times',
        ),
        pytest.param(
            [(0, '', (BAD,)), *((at, f'r{at}', (BAD,)) for at in range(3))],
            (BAD,),
            True,
            id='it was served well before',
        ),
        pytest.param(
            [
                *((at, f'r{at}', (POPULAR,)) for at in range(2)),
                (2, '', (POPULAR,)),
                *((at, f'r{at}', (POPULAR,)) for at in range(3, 5)),
            ],
            (POPULAR,),
            False,
            id='a sound answer between the crashes',
        ),
        pytest.param(
            [
                event
                for at in range(0, 9, 2)
                for event in (
                    (at, f'r{at}', (BAD,)),
                    (at, f'r{at}', (POPULAR,)),
                    (at + 1, '', (POPULAR,)),
                )
            ],
            (POPULAR,),
            False,
            id='a popular request beside five crashes of another',
        ),
        pytest.param(
            [(at, f'r{at}', (PART, BAD)) for at in range(3)],
            (PART, POPULAR),
            True,
            id='the part of a repeated prompt',
        ),
        pytest.param(
            [
                (0, '', (PART,)),
                *((at, f'r{at}', (PART, BAD)) for at in range(1, 4)),
            ],
            (PART, POPULAR),
            False,
            id='a served part beside a whole request',
        ),
        pytest.param(
            [
                (0, '', (PART,)),
                *((at, f'r{at}', (PART, BAD)) for at in range(1, 4)),
            ],
            (PART, BAD),
            True,
            id='a whole request with a served part',
        ),
        pytest.param(
            [(at, f'r{at}', (PART, BAD)) for at in range(3)],
            ('ledger/other', BAD),
            False,
            id='the same request without the part of each crash',
        ),
    ],
)
def test_a_request_is_refused_only_on_sufficient_evidence(
    events, keys, is_refused
):
    registry = _registry_after(events)
    assert (registry.find_refusal(keys, 9.0) is not None) is is_refused


def _quarantined_registry() -> PartRegistry:
    return _registry_after([(at, f'r{at}', (BAD,)) for at in range(3)])


def test_the_first_trial_comes_soon():
    registry = _quarantined_registry()
    assert 1 <= registry.find_refusal((BAD,), 2.0).retry_after <= 2


def test_at_most_three_requests_are_tried_within_hours():
    registry = _quarantined_registry()
    tried_at = []
    now = 2.0
    for number in range(5):
        now += registry.find_refusal((BAD,), now).retry_after
        tried_at.append(now)
        registry.suspicions[BAD].trial_at = now
        now += 0.05
        # Every second trial shows nothing, as if its connection broke.
        if number % 2:
            assert registry.record_failed_trial(BAD)
        else:
            registry.record_crash((BAD,), f'trial-{number}', now)
            assert not registry.record_failed_trial(BAD)
    assert sum(at < 2 * SECONDS_PER_HOUR for at in tried_at) == 3


def test_a_trial_without_a_result_is_told_to_other_nodes():
    registry = _quarantined_registry()
    for trial_at in (4.0, 5.0):
        registry.suspicions[BAD].trial_at = trial_at
        registry.record_failed_trial(BAD)
    other = PartRegistry()
    for report in registry.reports(5.0):
        other.merge(report, 5.0)
    assert other.find_refusal((BAD,), 5.0).retry_after == pytest.approx(60)


def test_only_the_first_trial_that_shows_nothing_is_let_pass():
    registry = _quarantined_registry()
    registry.suspicions[BAD].trial_at = 4.0
    assert not registry.record_failed_trial(BAD)
    assert registry.find_refusal((BAD,), 4.0).retry_after <= 2
    registry.suspicions[BAD].trial_at = 6.0
    assert registry.record_failed_trial(BAD)
    assert registry.find_refusal((BAD,), 6.0).retry_after == pytest.approx(60)


def test_a_failed_trial_of_a_cleared_request_counts_nothing():
    registry = _quarantined_registry()
    registry.suspicions[BAD].trial_at = 5.0
    registry.record_sound((BAD,), 5.1)
    assert not registry.record_failed_trial(BAD)
    assert not registry.record_failed_trial('ledger/unknown')


@pytest.mark.parametrize(('key', 'is_suspected'), [(BAD, True), (PART, False)])
def test_only_a_suspected_request_makes_its_service_look_for_keys(
    key, is_suspected
):
    registry = PartRegistry()
    registry.record_crash((key,), 'r0', 0)
    assert registry.suspects_requests(SERVICE) is is_suspected
    assert not registry.suspects_requests('other')
    registry.record_sound((key,), 1.0)
    assert not registry.suspects_requests(SERVICE)


def test_an_old_suspicion_ends():
    registry = _registry_after([(0, 'r0', (BAD,))])
    registry.expire(599.0)
    assert registry.suspects_requests(SERVICE)
    registry.expire(601.0)
    assert not registry.suspects_requests(SERVICE)


def test_served_requests_are_not_recorded():
    registry = PartRegistry()
    for number in range(100):
        target = f'/read/{number}'
        key = request_key(SERVICE, 'GET', target, 'acme', b'')
        registry.record_sound((key,), 1.0)
    assert not registry.sound.served_at
    assert not registry.sound.recent_news(1.0)


def _made_up(prefix: str, number: int) -> str:
    return request_key(SERVICE, 'POST', f'/{prefix}{number}', 'evil', b'')


def test_made_up_requests_displace_neither_strong_evidence_nor_parts():
    registry = _quarantined_registry()
    registry.record_crash((PART,), 'r1', 2.5)
    twice = _made_up('twice', 0)
    registry.record_crash((twice,), 'r1', 2.5)
    registry.record_crash((twice,), 'r2', 2.6)
    for number in range(2000):
        made_up = _made_up('x', number)
        registry.record_crash((made_up,), f'x{number // 50}', 3.0)
    assert registry.find_refusal((BAD,), 3.0)
    assert len(registry.suspicions) <= 512
    told = [report.part for report in registry.reports(3.0)]
    assert told[:2] == [PART, BAD]
    assert twice in told
    assert len(told) <= 40


def test_a_cleared_quarantine_is_told_beside_fresh_suspicions():
    registry = _quarantined_registry()
    other = PartRegistry()
    for report in registry.reports(3.0):
        other.merge(report, 3.0)
    assert other.find_refusal((BAD,), 3.0)
    registry.record_sound((BAD,), 4.0)
    for number in range(100):
        registry.record_crash((_made_up('x', number),), 'x', 5.0)
    for report in registry.reports(5.0):
        other.merge(report, 5.0)
    assert other.find_refusal((BAD,), 5.0) is None


def _gossip(nodes: list[PartRegistry], now: float) -> None:
    for sender in nodes:
        for receiver in nodes:
            for report in sender.reports(now):
                receiver.merge(report, now)


@pytest.mark.parametrize('seed', range(10))
def test_nodes_reach_the_same_verdict_beside_requests_in_flight(seed):
    rng = random.Random(seed)
    nodes = [PartRegistry() for _ in range(6)]
    for at in range(3):
        for beside in range(18):
            made_up = _made_up(f'{seed}-{at}-', beside)
            rng.choice(nodes).record_crash((made_up,), f'r{at}', float(at))
        rng.choice(nodes).record_crash((BAD,), f'r{at}', float(at))
        _gossip(nodes, at + 0.2)
    assert all(node.find_refusal((BAD,), 3.0) for node in nodes)
    assert [len(node.quarantined(3.0)) for node in nodes] == [1] * 6


def _call(key: str, *starts: str) -> Answer:
    return Answer((key,), frozenset(starts))


class _Recorder:
    def __init__(self) -> None:
        self.crashed: list[tuple[str, str]] = []
        self.sound: list[str] = []
        self.tracker = BeginningTracker(
            lambda answer, start, _at: self.crashed.append(
                (*answer.parts, start)
            ),
            lambda answer, _now: self.sound.extend(answer.parts),
        )


def test_all_calls_in_flight_at_a_crash_are_suspected():
    recorder = _Recorder()
    recorder.tracker.record_broken(_call(BAD, 'r0'), 1.0)
    recorder.tracker.record_broken(_call(POPULAR, 'r0'), 1.0)
    recorder.tracker.record_engine_end('r0', 1.1)
    late = request_key(SERVICE, 'GET', '/late', '', b'')
    recorder.tracker.record_broken(_call(late, 'r0'), 1.2)
    recorder.tracker.record_broken(_call(BAD, 'r1'), 1.2)
    assert recorder.crashed == [(BAD, 'r0'), (POPULAR, 'r0'), (late, 'r0')]


def test_a_reset_alone_is_no_evidence():
    recorder = _Recorder()
    recorder.tracker.record_broken(_call(BAD, 'r0'), 1.0)
    recorder.tracker.record_engine_alive('r0', 1.01)
    recorder.tracker.record_engine_end('r0', 2.0)
    assert not recorder.crashed


def test_an_answer_breaks_only_once():
    recorder = _Recorder()
    for start in ('head', 'second'):
        recorder.tracker.record_engine_end(start, 1.0)
    recorder.tracker.record_broken(_call(BAD, 'head', 'second'), 1.1)
    assert recorder.crashed == [(BAD, 'head')]


def test_a_complete_answer_to_a_call_is_sound_at_once():
    recorder = _Recorder()
    recorder.tracker.record_whole(_call(POPULAR, 'r0'), 1.0)
    recorder.tracker.record_engine_end('r0', 1.1)
    assert recorder.sound == [POPULAR]
    assert not recorder.crashed
