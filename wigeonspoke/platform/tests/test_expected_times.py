"""A stream's lengths and times where the configuration names speeds."""

import time

import msgspec
import pytest

from wigeonspoke.core.chains import TokenLoad
from wigeonspoke.ingress.peers.peer_gossip import PeerUpdate
from wigeonspoke.platform.tests.harness import Client, make_configuration
from wigeonspoke.platform.tests.stream_requests import head_engine

SPEEDS = {'step_ms': 1.0, 'read_per_s': 10000, 'stride': 2}


def _name_speeds(harness, speeds) -> None:
    configuration = make_configuration(2)
    configuration['services'][1]['engine'].update(speeds)
    harness.store.put('op', 'config', configuration)
    harness.wait_until(lambda: harness.node.state.routing_table.version == 2)


def _own_update(harness) -> PeerUpdate:
    update = harness.node.gossip.build_update('127.0.0.1:1')
    return msgspec.json.decode(msgspec.json.encode(update), type=PeerUpdate)


# Without the tokens of each other's streams, nodes overfill the engines.
@pytest.mark.parametrize('speeds', [SPEEDS, {}])
def test_tokens_and_first_events_of_streams_are_counted(placed_harness, speeds):
    _name_speeds(placed_harness, speeds)
    head_id = head_engine(placed_harness, 'one').endpoint_id
    client = Client(placed_harness)
    client.send(
        'POST',
        '/draft/x',
        'id1',
        body=b'p',
        Token_Usage='120,100',
        Length_Hint='30',
    )
    client.read_head()
    chunks = client.read_chunks()
    next(chunks)
    update = _own_update(placed_harness)
    assert update.streams == {head_id: 1}
    load = TokenLoad(1, 150, 0, 0)
    expected = {head_id: load} if speeds else {}
    assert update.loads == expected
    list(chunks)
    client.close()
    state = placed_harness.node.state
    placed_harness.wait_until(lambda: not state.chains.in_flight)
    assert not _own_update(placed_harness).loads
    seen = {
        reason
        for (kind, reason), _ in state.counters.items()
        if kind == 'first-event'
    }
    assert len(seen) == bool(speeds)
    assert (state.counters['first-event-ms', 'expected'] > 0) == bool(speeds)


def test_message_of_an_earlier_version_is_read(placed_harness):
    update = msgspec.to_builtins(_own_update(placed_harness))
    decoded = msgspec.convert(update[:-1], PeerUpdate)
    assert not decoded.loads


def test_time_left_is_counted_from_the_arrival(placed_harness, monkeypatch):
    _name_speeds(placed_harness, SPEEDS)
    demands = []
    chains = placed_harness.node.state.chains
    select = chains.select

    def refuse(*arguments, **options):
        demands.append((time.monotonic(), arguments[4]))
        return None if len(demands) < 4 else select(*arguments, **options)

    monkeypatch.setattr(type(chains), 'select', staticmethod(refuse))
    client = Client(placed_harness)
    client.send('POST', '/draft/x', 'id1', body=b'p')
    client.read_head()
    client.close()
    (first_at, first), (last_at, last) = demands[0], demands[3]
    assert first.prompt_tokens == 100
    assert first.output_tokens == 100
    elapsed = first.target_latency_seconds - last.target_latency_seconds
    assert elapsed == pytest.approx(last_at - first_at, abs=0.02)
    assert 1 >= 2 * first.target_latency_seconds
