"""Short replays of load patterns in virtual time."""

import functools

import msgspec
import pytest
from click.testing import CliRunner

from wigeonspoke.bench.line import (
    POLICIES,
    LineReplay,
    LineResults,
    read_patterns,
)
from wigeonspoke.bench.line.chain import ChainSpeed
from wigeonspoke.cli import main

# The least share in time of urgent streams, and of a small account.
LEAST_SHARE = 0.95
PATTERNS = {pattern.name: pattern for pattern in read_patterns()}


def _replay(name, policy, seed=1, hosts=6, seconds=8):
    return LineReplay(PATTERNS[name], policy, seed, hosts, seconds)


# A model whose chains have another capacity than that of the targets would
# make them too easy or impossible.
def test_two_chains_serve_eighteen_streams_per_second():
    total = _replay('two-ranks', 'polling', hosts=1, seconds=30).run().total
    rate = total.served * total.streams / 27
    assert rate == pytest.approx(18, abs=1)


# Times of the configuration's formula, for 6 requests of 1,000 tokens each.
def test_times_of_a_chain():
    speed = ChainSpeed(hops=1)
    step = (1.02 + 0.00918 * 6 + 0.0123 * 6) * 2.25 / 1000
    assert speed.step_seconds(6, 6000) == pytest.approx(step)
    read = 2.7 * (1000 / 164000 + 0.199 * 1000**2 / 2_000_000 / 1000)
    assert speed.read_seconds(1000, 0) == pytest.approx(read)


# Unordered collections would give other figures at each run of the same seed.
@pytest.mark.parametrize('policy', POLICIES)
def test_a_seed_gives_the_same_figures(policy):
    first = _replay('chain-vanishes', policy, hosts=3, seconds=14).run()
    assert first == _replay('chain-vanishes', policy, hosts=3, seconds=14).run()
    other = _replay('chain-vanishes', policy, 2, hosts=3, seconds=14).run()
    assert first != other


# A stream that is lost by the model would count as one that is not served.
@pytest.mark.parametrize('policy', POLICIES)
@pytest.mark.parametrize('name', PATTERNS)
def test_every_stream_ends(name, policy):
    replay = _replay(name, policy, seconds=12)
    replay.run()
    assert replay.counters['faults'] == len(replay.pattern.faults)
    assert all(stream.is_ended for stream in replay.streams)
    assert not any(chain.runs for chain in replay.chains.values())
    for host in replay.hosts:
        assert not host.is_alive or not +host.selector.in_flight
        assert not host.is_alive or not host.policy.queue_length()


def test_command_writes_the_figures(tmp_path):
    path = tmp_path / 'line.json'
    command = ['bench', 'line', 'waves', '--hosts', '3', '--seconds', '5']
    printed = CliRunner().invoke(main, [*command, '--json', str(path)])
    assert printed.exit_code == 0
    written = msgspec.json.decode(path.read_bytes(), type=LineResults)
    assert [each.policy for each in written.lines] == list(POLICIES)
    assert printed.output.count('| waves |') == len(POLICIES)
    assert set(written.lines[0].by_domain) == {'a', 'b', 'c'}
    assert CliRunner().invoke(main, ['bench', 'line', 'x']).exit_code == 2


@functools.cache
def _figures(name, hosts):
    return _replay(name, 'queue', hosts=hosts, seconds=15).run()


# The targets of docs/design/uneven_load.md, "Replay of load patterns".
@pytest.mark.parametrize('hosts', [1, 6, 100])
def test_urgent_streams_are_served_at_too_little_capacity(hosts):
    assert _figures('two-ranks', hosts).by_rank['0'].in_time >= LEAST_SHARE


@pytest.mark.parametrize('hosts', [1, 6, 100])
def test_a_small_account_is_served_beside_a_large_one(hosts):
    small = _figures('large-account', hosts).by_account['small']
    assert small.in_time >= LEAST_SHARE


@pytest.mark.parametrize('name', PATTERNS)
def test_no_rank_account_or_size_class_starves(name):
    figures = _figures(name, 6)
    mean = figures.total.in_time
    for share in (*figures.by_rank.values(), *figures.by_account.values()):
        assert share.in_time >= mean / 4
    assert all(each.in_time >= mean / 2 for each in figures.by_size.values())


@pytest.mark.parametrize('name', PATTERNS)
def test_nothing_is_refused_while_unreserved_capacity_is_free(name):
    assert not _figures(name, 6).refused_with_room
