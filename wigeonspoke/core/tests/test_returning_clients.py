"""Tests of the refusal of waiting requests and of clients that return."""

import pytest

from wigeonspoke.core.admission import (
    ReturningClients,
    SizeClasses,
    StartRate,
)
from wigeonspoke.core.admission.returning_clients import MAX_ENTRIES

KEY = ('acme', 'id1')


@pytest.mark.parametrize(
    ('returns_at', 'place'),
    [
        # In time: the place of the first arrival.
        (12, (0, 10.3)),
        (13.9, (0, 10.3)),
        # At once: behind the others of its account.
        (10.1, (1, 20)),
        # Much later, or after the clock has stepped back: as a new one.
        (14.1, (0, 20)),
        (5, (0, 20)),
    ],
)
def test_place_of_a_client_that_returns(returns_at, place):
    returning = ReturningClients()
    returning.record_refusal(KEY, 2, (0, 10.3), 10)
    assert returning.place(('bond', 'id1'), 20, returns_at) == (0, 20)
    assert returning.place(KEY, 20, returns_at) == place
    # It returns once.
    assert returning.place(KEY, 20, returns_at) == (0, 20)


def test_a_bounded_number_of_refusals_is_remembered():
    returning = ReturningClients()
    for number in range(MAX_ENTRIES + 1):
        returning.record_refusal(('acme', f'{number}'), 1, (0, 1), 1)
    assert len(returning.refused) == MAX_ENTRIES
    assert returning.place(('acme', '0'), 9, 2) == (0, 9)
    assert returning.place(('acme', '1'), 9, 2) == (0, 1)


def test_the_expected_wait_is_that_at_the_rate_while_requests_waited():
    rate = StartRate()
    assert rate.expected_wait((0, 1), 1, 0) is None
    rate.record_length(1, 1)
    for number in range(10):
        rate.record_start(number % 2, 1.1 + number / 10)
    rate.record_length(0, 2)
    # Nothing waits from 2 to 6, which says nothing of the capacity.
    assert rate.expected_wait((4, 0), 1, 6) == pytest.approx(0.4)
    assert rate.expected_wait((4, 3), 1, 6) == pytest.approx(1)
    assert rate.expected_wait((0, 3), 5, 6) == pytest.approx(0.3)
    # Too long ago.
    assert rate.expected_wait((4, 0), 1, 13) is None


def test_size_classes_are_the_largest_tenth_and_the_fifth_below_it():
    classes = SizeClasses()
    assert not any(map(classes.classify, range(20)))
    for number in range(20, 1000):
        classes.classify(number % 100)
    found = [classes.classify(tokens) for tokens in range(100)]
    assert len(classes.in_order) == len(classes.recent) == 200
    assert sum(each == 'large' for each in found) == 10
    assert sum(each == 'medium' for each in found) == 20
    assert found[:70] == ['small'] * 70
