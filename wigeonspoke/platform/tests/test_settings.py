"""Validation and reloading of the platform's settings file."""

import msgspec
import pytest

from wigeonspoke.decisions import DecisionLog
from wigeonspoke.platform.settings import decode_settings
from wigeonspoke.platform.settings_watcher import SettingsWatcher

VALID_SETTINGS = """
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


def test_a_valid_file():
    settings = decode_settings(VALID_SETTINGS).unwrap()
    assert settings.failure_domains == ('one', 'two')
    assert settings.metrics_port == 7355
    assert settings.retry_extra == 196


@pytest.mark.parametrize(
    ('toml_text', 'prefixes'),
    [
        ('not toml', ['not TOML']),
        (
            VALID_SETTINGS.replace('node = "edge-1"', '').replace(
                '"10.0.0.9:1"', '7'
            ),
            ['node: is missing', 'platform: '],
        ),
        (VALID_SETTINGS.replace('[7340, 7355]', '"x"'), ['internal-ports: ']),
    ],
)
def test_every_error_is_reported(toml_text, prefixes):
    errors = decode_settings(toml_text).failure()
    assert len(errors) == len(prefixes)
    for error, prefix in zip(errors, prefixes, strict=True):
        assert error.startswith(prefix)


@pytest.mark.parametrize('trigger', ['changed', 'requested'])
def test_the_file_is_reloaded(tmp_path, trigger):
    path = tmp_path / 'boot.toml'
    path.write_text(VALID_SETTINGS)
    applied = []
    lines = []
    watcher = SettingsWatcher(
        path,
        DecisionLog('n', lines.append),
        lambda settings: applied.append(settings) or ('retry_extra',),
    )
    watcher.check()
    assert not applied
    if trigger == 'changed':
        path.write_text(VALID_SETTINGS.replace('extra = 196', 'extra = 1960'))
    else:
        watcher.request_reload()
    watcher.check()
    assert len(applied) == 1
    assert '"changed":["retry_extra"]' in lines[0]


def test_an_invalid_file_changes_nothing(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text(VALID_SETTINGS)
    lines = []
    watcher = SettingsWatcher(path, DecisionLog('n', lines.append), pytest.fail)
    path.write_text('node = 7')
    watcher.check()
    assert 'reload-refused' in lines[0]
    assert 'zone: is missing' in lines[0]


def test_changed_settings_apply_to_retry_budgets(harness):
    state = harness.node.state
    budget = state.budget('ledger')
    settings = msgspec.structs.replace(state.settings, retry_ratio=0.5)
    assert harness.node.apply(settings) == ('retry_ratio',)
    assert budget.ratio * 2 == 1
