"""The header that tells when to come back."""

import pytest

from wigeonspoke.transport import parse_retry_after

DATE = 'Fri, 04 Dec 2026 10:00:00 GMT'


@pytest.mark.parametrize(
    ('text', 'seconds'),
    [
        ('4', 4.0),
        ('0', 0),
        ('2.25', 2.25),
        (' 3 ', 3.0),
        ('Fri, 04 Dec 2026 10:00:07 GMT', 7.0),
        ('Fri, 04 Dec 2026 09:59:00 GMT', 0),
        ('-1', None),
        ('', None),
        ('soon', None),
        ('1e3', None),
        ('99999999999999', None),
        ('inf', None),
    ],
)
def test_it_is_a_number_of_seconds_or_a_date(text, seconds):
    assert parse_retry_after(text, DATE) == seconds


def test_a_date_without_that_of_the_response_is_by_the_own_clock():
    assert parse_retry_after('Fri, 04 Dec 1998 10:00:07 GMT') == 0
