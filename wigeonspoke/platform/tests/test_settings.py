"""The platform's settings file: every fault named, unknown fields ignored."""

import msgspec
import pytest

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.platform.settings import decode_settings
from wigeonspoke.platform.settings_watcher import SettingsWatch

GOOD = """
node = "edge-1"
zone = "one"
ip = "10.0.0.1"
internal-ports = [7340, 7355]
some-new-field = { a = 1 }
[zones]
one = "r"
two = "r"
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
address = "10.0.0.9:1"
[bounds]
grace-s = 8
retry-budget-extra = 196
"""


def test_a_whole_file():
    settings = decode_settings(GOOD).unwrap()
    assert settings.failure_domains == ('one', 'two')
    assert settings.metrics_port == 7355
    assert settings.retry_extra == 196


@pytest.mark.parametrize(
    ('text', 'faults'),
    [
        ('not toml', ['not TOML']),
        (
            GOOD.replace('node = "edge-1"', '').replace('"10.0.0.9:1"', '7'),
            ['node: is missing', 'platform: '],
        ),
        (GOOD.replace('[7340, 7355]', '"x"'), ['internal-ports: ']),
    ],
)
def test_every_fault_is_named(text, faults):
    found = decode_settings(text).failure()
    assert len(found) == len(faults)
    for line, start in zip(found, faults, strict=True):
        assert line.startswith(start)


@pytest.mark.parametrize('how', ['changed', 'asked'])
def test_the_file_is_read_again(tmp_path, how):
    path = tmp_path / 'boot.toml'
    path.write_text(GOOD)
    taken = []
    lines = []
    watch = SettingsWatch(
        path,
        DecisionLog('n', lines.append),
        lambda settings: taken.append(settings) or ('retry_extra',),
    )
    watch.look()
    assert not taken
    if how == 'changed':
        path.write_text(GOOD.replace('extra = 196', 'extra = 1960'))
    else:
        watch.ask()
    watch.look()
    assert len(taken) == 1
    assert '"changed":["retry_extra"]' in lines[0]


def test_a_file_with_faults_changes_nothing(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text(GOOD)
    lines = []
    watch = SettingsWatch(path, DecisionLog('n', lines.append), pytest.fail)
    path.write_text('node = 7')
    watch.look()
    assert 'reload-refused' in lines[0]
    assert 'zone: is missing' in lines[0]


def test_changed_settings_reach_the_budgets(world):
    state = world.node.state
    budget = state.budget('ledger')
    settings = msgspec.structs.replace(state.settings, retry_ratio=0.5)
    assert world.node.apply(settings) == ('retry_ratio',)
    assert budget.ratio * 2 == 1
