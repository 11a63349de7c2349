"""Odd numbers in the headers of clients, and in answers of endpoints."""

import pytest

from wigeonspoke.platform import headers
from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import send_request
from wigeonspoke.platform.tests.stream_requests import request_stream

NUMBERS = {'400 digits': '9' * 400, '5,000 digits': '9' * 5000, 'none': '-5'}
NAMES = (
    headers.DEADLINE_HEADER,
    headers.TOKEN_USAGE_HEADER,
    headers.LENGTH_HINT_HEADER,
)


# A number with very many digits cost its client a clear answer: 500.
@pytest.mark.parametrize('number', NUMBERS)
@pytest.mark.parametrize('name', NAMES)
@pytest.mark.parametrize('path', ['/read/x', '/draft/x'])
def test_a_number_of_any_length_in_a_header_is_no_error(
    placed_harness, path, name, number
):
    odd = {name.replace('-', '_'): NUMBERS[number]}
    options = {'Model': 'm'} | odd
    status = send_request(
        placed_harness, 'POST', path, 'id1', body=b'p', **options
    )[0]
    assert status == 200


@pytest.mark.parametrize(
    ('path', 'status'), [('/read/x', 200), ('/draft/x', 400)]
)
def test_a_position_that_no_event_has_is_refused(placed_harness, path, status):
    found = send_request(
        placed_harness, 'POST', path, 'id1', body=b'p', Last_Event_Id='9' * 5000
    )
    assert found[0] == status


# An event with such an id ended the request with an unforeseen error.
def test_an_event_id_of_any_length_is_passed_on(placed_harness, monkeypatch):
    monkeypatch.setattr(
        EngineStandin,
        '_format_token',
        lambda _engine, number: f'token\nid: {"9" * 5000}',
    )
    monkeypatch.setattr(
        'wigeonspoke.platform.standins.engine.EVENT_FORMAT',
        'data: {token}\n\n',
    )
    status, _, body = request_stream(placed_harness)
    assert status == 200
    assert body.count(b'9' * 5000) == 20
