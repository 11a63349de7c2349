"""Of racing operators one wins; lost answers are resolved to the truth."""

import pytest
from returns.result import Success

from wigeonspoke.config import ConfigStore, Questionnaire
from wigeonspoke.config.tests.fake_store import FakeStore

ANSWERS = Questionnaire('d', 'r', ('a',))


def _publish(store, base=0, who='one'):
    published = store.publish(ANSWERS, base, who)
    if isinstance(published, Success):
        return published.unwrap().generation
    return published.failure().problem.value


@pytest.mark.parametrize(
    ('fates', 'ended'),
    [
        ([], 1),
        (['lost'], 1),
        (['down'], 1),
        (['down', 'lost'], 1),
        (['lost', 'down', 'down', 'down'], 'uncertain'),
        (['down'] * 4, 'unavailable'),
    ],
)
def test_answers_of_the_store(fates, ended):
    fake = FakeStore()
    fake.fates = list(fates)
    assert _publish(ConfigStore(fake)) == ended


@pytest.mark.parametrize(
    ('base', 'ended'),
    [(0, 'conflict'), (1, 2), (2, 'conflict')],
)
def test_base_must_be_in_force(base, ended):
    store = ConfigStore(FakeStore())
    _publish(store)
    assert _publish(store, base) == ended


@pytest.mark.parametrize('racers', [2, 10])
def test_of_racing_operators_one_wins(racers):
    fake = FakeStore()
    store = ConfigStore(fake)
    ends = []
    waiting = [f'racer-{number}' for number in range(1, racers)]

    def race():
        # Each racer has read the head before the one it interrupts writes.
        if waiting:
            ends.append(_publish(store, 0, waiting.pop()))

    fake.before_write = race
    ends.append(_publish(store, 0, 'first'))
    assert ends.count(1) == 1
    assert ends.count('conflict') == racers - 1
    assert store.read_head().unwrap().head.generation == 1


def test_lost_answer_is_resolved_even_if_others_came_after():
    fake = FakeStore()
    store = ConfigStore(fake)
    fake.fates = ['lost']
    tries = []

    def overtake():
        tries.append(1)
        if len(tries) == 2:
            assert _publish(store, 1, 'other') == 2

    fake.before_write = overtake
    assert _publish(store) == 1
    assert store.read_head().unwrap().head.generation == 2


def test_body_that_is_not_what_the_head_names_is_refused():
    fake = FakeStore()
    store = ConfigStore(fake)
    _publish(store)
    head = store.read_head().unwrap().head
    fake.objects[head.body_hash] = b'{}'
    assert not isinstance(store.read_body(head), Success)
