"""Ejection, probing and slow start."""

import pytest

from wigeonspoke.core.health import EndpointHealth, HealthState


def _ejected(times=1):
    health = EndpointHealth(0.01)
    now = 0
    for _ in range(times):
        assert health.note_failure('reset', now)
        now = health.probe_at
        assert health.wants_probe(now)
        assert health.note_probe(healthy=True, now=now)
    return health, now


def test_failure_ejects_once():
    health = EndpointHealth(0.01)
    assert health.note_failure('reset', 0)
    assert not health.note_failure('reset', 0)
    assert health.state is HealthState.EJECTED


@pytest.mark.parametrize(
    ('now', 'wants'),
    [(0.1, False), (0.49, False), (0.5, True), (9, True)],
)
def test_probe_waits(now, wants):
    health = EndpointHealth(0.01)
    health.note_failure('reset', 0)
    assert health.wants_probe(now) is wants


def test_one_probe_at_a_time():
    health = EndpointHealth(0.01)
    health.note_failure('reset', 0)
    assert health.wants_probe(1)
    assert not health.wants_probe(2)
    health.note_probe(healthy=False, now=2)
    assert not health.wants_probe(2.9)
    assert health.wants_probe(3)


@pytest.mark.parametrize(
    ('times', 'wait'),
    [(1, 0.5), (2, 1), (3, 2), (6, 15), (9, 15)],
)
def test_wait_doubles_for_a_flapping_endpoint(times, wait):
    health, now = _ejected(times - 1)
    health.note_failure('reset', now)
    assert health.probe_at - now == pytest.approx(wait)


@pytest.mark.parametrize(
    ('age', 'allowed'),
    [(0, 1), (0.75, 2), (1.5, 4), (3, 8), (100, 8)],
)
def test_slow_start(age, allowed):
    health, now = _ejected()
    assert health.allowed_streams(8, now + age) == allowed


@pytest.mark.parametrize(
    ('latency', 'timeout'),
    [(0.01, 1), (0.5, 4), (5, 10)],
)
def test_timeout_follows_the_usual_latency(latency, timeout):
    health = EndpointHealth(latency)
    assert health.timeout_seconds(1) == pytest.approx(timeout, abs=0.01)
