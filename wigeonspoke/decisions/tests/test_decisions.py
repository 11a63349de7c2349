"""Tests of the decision log: rate limits and counts of dropped lines."""

import msgspec
import pytest

from wigeonspoke.decisions import DecisionLog, decision_log


class ManualClock:
    """A clock that advances only when a test sets it."""

    now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    """Replace the clock of the decision log by a manual one."""
    manual_clock = ManualClock()
    monkeypatch.setattr(decision_log, 'time', manual_clock)
    return manual_clock


def test_limits_a_burst_and_counts_dropped_lines(clock):
    lines = []
    log = DecisionLog('n', lines.append)
    for index in range(decision_log.BURST_LINES + 25):
        log.write('refused', request=str(index))
    assert len(lines) == decision_log.BURST_LINES
    clock.now += 1
    log.write('refused', request='last')
    assert msgspec.json.decode(lines[-1])['left_out'] == 25


def test_kinds_have_separate_budgets(clock):
    lines = []
    log = DecisionLog('n', lines.append)
    for index in range(decision_log.BURST_LINES * 2):
        log.write('refused', request=str(index))
    log.write('start', version=3)
    last = msgspec.json.decode(lines[-1])
    assert last['kind'] == 'start'
    assert last['version'] == 3
    assert last['node'] == 'n'
