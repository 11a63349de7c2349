"""A stream that is lost although one of its two chains would have served it."""

import eventlet
import pytest

from wigeonspoke.platform.standins import EngineStandin
from wigeonspoke.platform.tests.harness import Client, make_configuration
from wigeonspoke.platform.tests.stream_requests import (
    ALL_EVENTS,
    event_ids,
    head_engine,
    silence_engines,
)

ROUTE_MS = 9000
SILENT_EVENT = 6


def _configure(harness):
    """Give streams more time, and three attempts."""
    configuration = make_configuration(version=2)
    for route in configuration['routes']:
        route |= {'timeout-ms': ROUTE_MS, 'max-attempts': 3}
    harness.configure(configuration)


def _request(harness):
    client = Client(harness)
    client.send('POST', '/draft/x', 'id1', body=b'p', Deadline_Ms='9000')
    body = client.read_response()[2]
    client.close()
    return event_ids(body)


def test_half_an_event_of_the_silent_chain_does_not_end_the_other(
    placed_harness, monkeypatch
):
    """The silent engine breaks off inside an event, as the other one works."""
    _configure(placed_harness)
    one = head_engine(placed_harness, 'one')
    two = head_engine(placed_harness, 'two')
    silence_engines(monkeypatch, {two: 1.3}, SILENT_EVENT)
    wait_for_hops = EngineStandin._wait_for_hops
    writes = []

    def wait_or_break(self, received, hops, connection):
        if self is not one:
            return wait_for_hops(self, received, hops, connection)
        writes.append(received)
        if len(writes) < SILENT_EVENT:
            return True
        eventlet.sleep(1.0)
        connection.write(b'18\r\nid: 99\nda')
        connection.reset()
        return False

    monkeypatch.setattr(EngineStandin, '_wait_for_hops', wait_or_break)
    assert _request(placed_harness) == ALL_EVENTS


def test_a_chain_left_for_one_that_went_on_may_be_used_again(
    placed_harness, monkeypatch
):
    _configure(placed_harness)
    one = head_engine(placed_harness, 'one')
    two = head_engine(placed_harness, 'two')
    silence_engines(monkeypatch, {one: 1.0, two: 1.2}, SILENT_EVENT)
    one.reset_at_event = SILENT_EVENT + 1
    assert _request(placed_harness) == ALL_EVENTS


@pytest.mark.parametrize('has_room_after', [2.0])
def test_refusals_of_a_full_chain_do_not_use_up_the_attempts(
    placed_harness, monkeypatch, has_room_after
):
    _configure(placed_harness)
    one = head_engine(placed_harness, 'one')
    two = head_engine(placed_harness, 'two')
    silence_engines(monkeypatch, {one: 3.0}, SILENT_EVENT)
    one.reset_at_event = SILENT_EVENT + 1
    two.is_full = True
    eventlet.spawn_after(has_room_after, setattr, two, 'is_full', False)
    assert _request(placed_harness) == ALL_EVENTS
