"""Tests of which connections exceed a limit."""

import pytest

from wigeonspoke.transport import (
    ClientConnection,
    LimitHistory,
    ListenerLimits,
    Phase,
)

LONG = ListenerLimits(idle_seconds=20, head_seconds=8, version=1)
SHORT = ListenerLimits(idle_seconds=2, head_seconds=1, version=2)


def _connection(phase, began_under):
    client = ClientConnection(began_under)
    client.enter(phase)
    client.since = 100.0
    return client


@pytest.mark.parametrize(
    ('before', 'after', 'overdue_at'),
    [
        # A longer idle limit holds at once, a shorter one counts from 110.
        (SHORT, LONG, 120.0),
        (LONG, SHORT, 112.0),
        (LONG, LONG, 120.0),
    ],
)
def test_an_idle_connection_has_the_limit_in_force(before, after, overdue_at):
    history = LimitHistory(before)
    history.replace(after, 110.0)
    client = _connection(Phase.IDLE, before)
    assert not history.is_overdue(client, overdue_at - 0.1)
    assert history.is_overdue(client, overdue_at + 0.1)


@pytest.mark.parametrize(
    ('before', 'after', 'overdue_at'),
    [(SHORT, LONG, 101.0), (LONG, SHORT, 108.0)],
)
def test_a_head_keeps_the_limit_under_which_it_began(before, after, overdue_at):
    history = LimitHistory(before)
    history.replace(after, 100.5)
    client = _connection(Phase.HEAD, before)
    assert not history.is_overdue(client, overdue_at - 0.1)
    assert history.is_overdue(client, overdue_at + 0.1)


@pytest.mark.parametrize('phase', [Phase.BODY, Phase.WAITING, Phase.WRITING])
def test_no_other_phase_is_overdue(phase):
    history = LimitHistory(SHORT)
    assert not history.is_overdue(_connection(phase, SHORT), 1000000.0)
