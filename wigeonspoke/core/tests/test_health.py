"""Tests of endpoint ejection, probing, slow start and timeouts."""

import pytest

from wigeonspoke.core.health import EndpointHealth, HealthState


def _recovered_health(ejections=1):
    health = EndpointHealth(0.01)
    now = 0
    for _ in range(ejections):
        assert health.record_failure('reset', now)
        now = health.next_probe_at
        assert health.start_probe_if_due(now)
        assert health.record_probe(healthy=True, now=now)
    return health, now


def test_failure_ejects_once():
    health = EndpointHealth(0.01)
    assert health.record_failure('reset', 0)
    assert not health.record_failure('reset', 0)
    assert health.state is HealthState.EJECTED


@pytest.mark.parametrize(
    ('now', 'is_due'),
    [(0.1, False), (0.49, False), (0.5, True), (9, True)],
)
def test_first_probe_is_delayed(now, is_due):
    health = EndpointHealth(0.01)
    health.record_failure('reset', 0)
    assert health.start_probe_if_due(now) is is_due


def test_one_probe_at_a_time():
    health = EndpointHealth(0.01)
    health.record_failure('reset', 0)
    assert health.start_probe_if_due(1)
    assert not health.start_probe_if_due(2)
    health.record_probe(healthy=False, now=2)
    assert not health.start_probe_if_due(2.9)
    assert health.start_probe_if_due(3)


@pytest.mark.parametrize(
    ('ejections', 'delay'),
    [(1, 0.5), (2, 1), (3, 2), (6, 15), (9, 15)],
)
def test_probe_delay_doubles_with_each_ejection(ejections, delay):
    health, now = _recovered_health(ejections - 1)
    health.record_failure('reset', now)
    assert health.next_probe_at - now == pytest.approx(delay)


@pytest.mark.parametrize(
    ('age', 'allowed'),
    [(0, 1), (0.75, 2), (1.5, 4), (3, 8), (100, 8)],
)
def test_slow_start(age, allowed):
    health, now = _recovered_health()
    assert health.allowed_streams(8, now + age) == allowed


@pytest.mark.parametrize(
    ('latency', 'timeout'),
    [(0.01, 1), (0.5, 4), (5, 10)],
)
def test_timeout_follows_latency(latency, timeout):
    health = EndpointHealth(latency)
    assert health.timeout_seconds(1) == pytest.approx(timeout, abs=0.01)
