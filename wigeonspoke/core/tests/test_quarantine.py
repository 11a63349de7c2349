"""Evidence tells a part that ends engines from a part that was unlucky."""

import random

import pytest

from wigeonspoke.core.quarantine import (
    BEGINNING_SECONDS,
    Answer,
    BeginningTracker,
    PartRegistry,
)

BAD = 'model/bad'
FIRST = 'model/first'
RARE = 'model/rare'


def _registry_after(events) -> PartRegistry:
    """Return a registry after ``(time, engine, parts)``; engine '' is sound."""
    registry = PartRegistry()
    for at, engine, parts in events:
        if engine:
            registry.record_crash(parts, engine, at)
        else:
            registry.record_sound(parts, at)
    return registry


@pytest.mark.parametrize(
    ('events', 'parts', 'is_refused'),
    [
        pytest.param(
            [(0, 'e1', (BAD,)), (1, 'e2', (BAD,)), (2, 'e3', (BAD,))],
            (BAD,),
            True,
            id='three engines end under one part',
        ),
        pytest.param(
            [(0, 'e1', (RARE,)), (1, 'e2', (RARE,))],
            (RARE,),
            False,
            id='a new part was unlucky twice',
        ),
        pytest.param(
            [(at, 'e1', (BAD,)) for at in range(9)],
            (BAD,),
            False,
            id='one crash seen nine times',
        ),
        pytest.param(
            [(0, f'e{number}', (RARE,)) for number in range(9)],
            (RARE,),
            False,
            id='a rack of engines ends at one moment',
        ),
        pytest.param(
            [
                (0, 'e1', (RARE,)),
                (1, 'e2', (RARE,)),
                (2, '', (RARE,)),
                (3, 'e3', (RARE,)),
                (4, 'e4', (RARE,)),
            ],
            (RARE,),
            False,
            id='a sound answer between the crashes',
        ),
        pytest.param(
            [
                (0, '', (FIRST,)),
                *((number, f'e{number}', (FIRST,)) for number in range(1, 5)),
            ],
            (FIRST,),
            False,
            id='a popular part beside four crashes of another cause',
        ),
        pytest.param(
            [
                (0, '', (FIRST,)),
                *((number, f'e{number}', (FIRST,)) for number in range(1, 6)),
            ],
            (FIRST,),
            True,
            id='a popular part that begins to end engines',
        ),
        pytest.param(
            [(at, f'e{at}', (FIRST, BAD)) for at in range(3)],
            (FIRST, 'model/other'),
            False,
            id='the first part of a caller whose other part ends engines',
        ),
        pytest.param(
            [(at, f'e{at}', (FIRST, BAD)) for at in range(3)],
            (FIRST, BAD),
            True,
            id='both parts that stood in each crash',
        ),
        pytest.param(
            [(at, f'e{at}', (f'model/first-{at}', BAD)) for at in range(3)],
            (FIRST, BAD),
            True,
            id='the part beside other first parts',
        ),
        pytest.param(
            [
                *((at, f'e{at}', (FIRST, BAD)) for at in range(3)),
                (4, '', (FIRST, 'model/other')),
            ],
            ('model/new', BAD),
            True,
            id='the other part was served well afterwards',
        ),
        pytest.param(
            [(at, f'e{at}', (BAD,)) for at in range(3)],
            (),
            False,
            id='a request without shared parts',
        ),
    ],
)
def test_a_part_is_refused_only_on_sufficient_evidence(
    events, parts, is_refused
):
    registry = _registry_after(events)
    assert (registry.find_refusal(parts, 5.0) is not None) is is_refused


def _quarantined_registry() -> PartRegistry:
    return _registry_after([(at, f'e{at}', (BAD,)) for at in range(3)])


def test_trials_become_rare_while_engines_end_under_them():
    registry = _quarantined_registry()
    now = 2.0
    waits = []
    for number in range(6):
        wait = registry.find_refusal((BAD,), now).retry_after
        waits.append(wait)
        now += wait
        assert registry.find_refusal((BAD,), now).retry_after <= 0
        registry.suspicions[BAD].trial_at = now
        assert registry.find_refusal((BAD,), now).retry_after > 0
        registry.record_crash((BAD,), f'trial-{number}', now + 0.1)
        now += 0.1
    assert 2 <= waits[0] <= 4
    assert waits[1:] == pytest.approx([60, 900, 13500, 86400, 86400])


def test_a_sound_trial_ends_the_quarantine():
    registry = _quarantined_registry()
    assert registry.record_sound((BAD,), 6.0)
    assert registry.find_refusal((BAD,), 6.0) is None
    assert not registry.suspicions[BAD].crashes


def test_only_one_part_of_a_service_is_tried_at_a_time():
    registry = _registry_after(
        [(at, f'e{at}', (part,)) for at in range(3) for part in (BAD, RARE)]
    )
    registry.suspicions[BAD].trial_at = 5.0
    assert not registry.may_try(RARE, 5.5)
    assert registry.may_try(BAD, 5.5)
    assert registry.may_try('other-model/part', 5.5)
    assert registry.may_try(RARE, 7.0)


@pytest.mark.parametrize('seed', range(20))
def test_nodes_reach_the_same_verdict_in_any_order_of_gossip(seed):
    rng = random.Random(seed)
    nodes = [PartRegistry() for _ in range(6)]
    for number in range(3):
        rng.choice(nodes).record_crash(
            (BAD, f'model/first-{number}'), f'e{number}', float(number)
        )
    for _ in range(400):
        sender, receiver = rng.sample(nodes, 2)
        reports = list(sender.reports(3.0))
        rng.shuffle(reports)
        for report in reports:
            receiver.merge(report, 3.0)
    assert all(node.find_refusal((BAD,), 3.0) for node in nodes)
    # A node that starts now learns of the quarantine from any other one.
    fresh = PartRegistry()
    for report in rng.choice(nodes).reports(4.0):
        fresh.merge(report, 4.0)
    assert fresh.find_refusal((BAD,), 4.0)
    rng.choice(nodes).record_sound((BAD,), 5.0)
    for _ in range(400):
        sender, receiver = rng.sample(nodes, 2)
        for report in sender.reports(5.0):
            receiver.merge(report, 5.0)
    assert not any(node.find_refusal((BAD,), 5.0) for node in nodes)


def test_news_that_are_known_are_no_news():
    registry = _quarantined_registry()
    other = PartRegistry()
    reports = registry.reports(3.0)
    assert [other.merge(report, 3.0) for report in reports] == [True]
    assert [other.merge(report, 3.5) for report in reports] == [False]


def test_made_up_parts_do_not_displace_a_quarantine():
    registry = _quarantined_registry()
    for number in range(5000):
        part = f'model/made-up-{number}'
        registry.record_sound((part,), 3.0)
        registry.record_crash((f'{part}-bad',), f'x{number}', 3.0)
    assert registry.find_refusal((BAD,), 3.0)
    assert len(registry.suspicions) <= 256
    assert len(registry.sound.served_at) <= 4096
    assert len(registry.reports(3.0)) <= 8
    assert len(registry.sound.recent_news(3.0)) <= 24


class _Recorder:
    def __init__(self) -> None:
        self.crashed: list[tuple[str, ...]] = []
        self.sound: list[tuple[str, ...]] = []
        self.tracker = BeginningTracker(
            lambda answer, _engine, _at: self.crashed.append(answer.parts),
            lambda answer, _now: self.sound.append(answer.parts),
        )


def _answer(*parts: str) -> Answer:
    return Answer(parts, frozenset(('head', 'second')))


@pytest.mark.parametrize(
    ('events_at', 'broken_at', 'is_suspected'),
    [
        pytest.param([], 0.1, True, id='before the first event'),
        pytest.param([0.1, 0.15], 0.2, True, id='just begun'),
        pytest.param([0.1, 0.4, 0.7], 0.8, False, id='well under way'),
    ],
)
@pytest.mark.parametrize('is_end_known_first', [True, False])
def test_only_answers_in_their_beginning_are_suspected(
    events_at, broken_at, is_suspected, is_end_known_first
):
    recorder = _Recorder()
    answer = _answer(BAD)
    for at in events_at:
        recorder.tracker.record_event(answer, at)
    if is_end_known_first:
        recorder.tracker.record_engine_end('head', broken_at)
    recorder.tracker.record_broken(answer, broken_at)
    recorder.tracker.record_engine_end('head', broken_at)
    assert bool(recorder.crashed) is is_suspected
    assert bool(recorder.sound) is not is_suspected


@pytest.mark.parametrize(
    ('engine', 'ends_after', 'is_suspected'),
    [
        pytest.param('head', 0.1, True, id='right after the answer'),
        pytest.param('head', 2.0, False, id='later'),
        pytest.param('other', 0.1, False, id='another engine'),
    ],
)
def test_a_short_complete_answer_counts_when_its_engine_lives_on(
    engine, ends_after, is_suspected
):
    recorder = _Recorder()
    answer = _answer(BAD)
    recorder.tracker.record_event(answer, 1.0)
    recorder.tracker.record_complete(answer, 1.05)
    recorder.tracker.expire(1.05)
    assert not recorder.sound
    recorder.tracker.record_engine_end(engine, 1.05 + ends_after)
    recorder.tracker.expire(1.05 + BEGINNING_SECONDS + ends_after)
    assert bool(recorder.crashed) is is_suspected
    assert bool(recorder.sound) is not is_suspected


def test_a_connection_that_breaks_at_a_living_engine_is_no_evidence():
    recorder = _Recorder()
    single = Answer((BAD,), frozenset(('head',)))
    recorder.tracker.record_broken(single, 1.0)
    recorder.tracker.record_engine_alive('head', 1.1)
    recorder.tracker.record_engine_end('head', 2.0)
    assert not recorder.crashed


def test_an_engine_that_ends_much_later_is_no_evidence():
    recorder = _Recorder()
    recorder.tracker.record_broken(_answer(BAD), 1.0)
    recorder.tracker.record_engine_end('head', 20.0)
    assert not recorder.crashed
