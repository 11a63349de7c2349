"""How long endpoints are kept whose registry entries are missing."""

import math

import pytest

from wigeonspoke.core.fleet import (
    RETENTION_SECONDS,
    MissingEntries,
    StoreOutages,
)

FAILURE = 'failure'
SILENCE = 'silence'
ANSWER = 'answer'


# A refused call, or news of another entry, kept a removed endpoint in use.
@pytest.mark.parametrize(
    ('calls', 'kept_seconds'),
    [
        ((), 0),
        ((FAILURE,), 0),
        ((FAILURE, ANSWER, FAILURE, ANSWER, FAILURE, ANSWER), 0),
        ((FAILURE, FAILURE, ANSWER), RETENTION_SECONDS),
        ((FAILURE, FAILURE, FAILURE, ANSWER), RETENTION_SECONDS),
        ((SILENCE, ANSWER), RETENTION_SECONDS),
        ((FAILURE, FAILURE), RETENTION_SECONDS),
        ((FAILURE, FAILURE, ANSWER, ANSWER, FAILURE), RETENTION_SECONDS - 2),
    ],
)
def test_only_an_outage_keeps_missing_entries(calls, kept_seconds):
    outages = StoreOutages()
    for now, call in enumerate(calls):
        if call == ANSWER:
            outages.record_answer(now)
        else:
            outages.record_failure(now, 1.0 if call == SILENCE else 0)
    now = max(0, len(calls) - 1)
    assert outages.retention_seconds(now) == kept_seconds


@pytest.mark.parametrize(
    ('seconds', 'kept_seconds'),
    [(0, RETENTION_SECONDS), (1, RETENTION_SECONDS - 1), (3, 0)],
)
def test_entries_are_kept_for_a_time_after_an_outage(seconds, kept_seconds):
    outages = StoreOutages()
    outages.record_return(10)
    outages.record_return(9)
    assert outages.retention_seconds(10 + seconds) == kept_seconds


def test_a_store_that_never_failed_was_never_away():
    assert StoreOutages().seconds_since(5) == math.inf


# The time of all missing entries moved on with each new one.
def test_the_time_of_an_entry_is_its_own():
    missing = MissingEntries()
    missing.keep('first', 2.0)
    missing.keep('second', 5.0)
    missing.keep('first', 6.0)
    assert missing.next_due_at == pytest.approx(2)
    assert missing.remaining(1.0) == {'first': 1.0, 'second': 4.0}
    assert not missing.take_due(1.9)
    assert missing.take_due(2.0) == ('first',)
    missing.discard('second')
    assert missing.next_due_at == math.inf
