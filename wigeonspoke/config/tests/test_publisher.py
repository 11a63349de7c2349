"""Concurrent publications, and store replies that are lost.

Exactly one of several concurrent publications succeeds.  A lost reply must
not make a publication that took effect look like a failed one.
"""

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
    ('write_outcomes', 'expected'),
    [
        ([], 1),
        (['lost'], 1),
        (['down'], 1),
        (['down', 'lost'], 1),
        (['lost', 'down', 'down', 'down'], 'uncertain'),
        (['down'] * 4, 'unavailable'),
    ],
)
def test_publish_with_store_faults(write_outcomes, expected):
    fake = FakeStore()
    fake.write_outcomes = list(write_outcomes)
    assert _publish(ConfigStore(fake)) == expected


@pytest.mark.parametrize(
    ('base', 'expected'),
    [(0, 'conflict'), (1, 2), (2, 'conflict')],
)
def test_base_must_be_current_generation(base, expected):
    store = ConfigStore(FakeStore())
    _publish(store)
    assert _publish(store, base) == expected


@pytest.mark.parametrize('operators', [2, 10])
def test_one_of_concurrent_publications_succeeds(operators):
    fake = FakeStore()
    store = ConfigStore(fake)
    results = []
    waiting_operators = [f'operator-{number}' for number in range(1, operators)]

    def publish_concurrently():
        # Runs after the interrupted publication has read the head and before
        # it writes, so every operator starts from the same generation.
        if waiting_operators:
            results.append(_publish(store, 0, waiting_operators.pop()))

    fake.before_write = publish_concurrently
    results.append(_publish(store, 0, 'first'))
    assert results.count(1) == 1
    assert results.count('conflict') == operators - 1
    assert store.read_head().unwrap().head.generation == 1


def test_lost_reply_is_resolved_after_a_later_revision():
    fake = FakeStore()
    store = ConfigStore(fake)
    fake.write_outcomes = ['lost']
    writes = []

    def publish_other():
        writes.append(1)
        if len(writes) == 2:
            assert _publish(store, 1, 'other') == 2

    fake.before_write = publish_other
    assert _publish(store) == 1
    assert store.read_head().unwrap().head.generation == 2


def test_body_with_wrong_digest_is_rejected():
    fake = FakeStore()
    store = ConfigStore(fake)
    _publish(store)
    head = store.read_head().unwrap().head
    fake.objects[head.body_hash] = b'{}'
    assert not isinstance(store.read_body(head), Success)
