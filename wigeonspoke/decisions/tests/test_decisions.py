"""Decision lines: bounded, and honest about what was left out."""

import msgspec
import pytest

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.decisions import decision_log as decisions


class StandingClock:
    """A clock that stands still until it is moved."""

    now = 100.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    """Put a standing clock in place of the library's."""
    standing = StandingClock()
    monkeypatch.setattr(decisions, 'time', standing)
    return standing


def test_a_burst_is_cut_and_the_rest_is_counted(clock):
    lines = []
    log = DecisionLog('n', lines.append)
    for index in range(decisions.BURST_LINES + 25):
        log.write('refused', request=str(index))
    assert len(lines) == decisions.BURST_LINES
    clock.now += 1
    log.write('refused', request='last')
    assert msgspec.json.decode(lines[-1])['left_out'] == 25


def test_kinds_do_not_take_lines_from_each_other(clock):
    lines = []
    log = DecisionLog('n', lines.append)
    for index in range(decisions.BURST_LINES * 2):
        log.write('refused', request=str(index))
    log.write('start', version=3)
    last = msgspec.json.decode(lines[-1])
    assert last['kind'] == 'start'
    assert last['version'] == 3
    assert last['node'] == 'n'
