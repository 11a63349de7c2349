"""Errors for invalid settings name the setting and the allowed values."""

import msgspec
import pytest
from returns.result import Success

from wigeonspoke.node import NodeSettings, check_settings

VALID_SETTINGS = NodeSettings(
    'n1', 'a', '127.0.0.1:1', 'admin-key', 'cluster-key'
)


@pytest.mark.parametrize(
    ('name', 'invalid'),
    [
        ('name', ''),
        ('name', 'Has Spaces'),
        ('failure_domain', 'x/y'),
        ('platform', 'localhost'),
        ('platform', 'a.example:80'),
        ('admin_key', 'short'),
        ('cluster_key', ''),
        ('callers_port', 65536),
        ('admin_port', -1),
        ('peers_port', 70000),
        ('seeds', ('127.0.0.1',)),
        ('look_away_seconds', -1),
        ('log_level', 'LOUD'),
    ],
)
def test_invalid_setting_is_reported(name, invalid):
    settings = msgspec.structs.replace(VALID_SETTINGS, **{name: invalid})
    error = check_settings(settings).failure()[0]
    assert error.name == name
    flag = name.replace('_', '-')
    assert f'--{flag} (WIGEONSPOKE_NODE_{name.upper()})' in error.describe()
    assert error.allowed in error.describe()


def test_keys_are_not_shown():
    settings = msgspec.structs.replace(VALID_SETTINGS, admin_key='secret')
    assert 'secret' not in check_settings(settings).failure()[0].describe()


def test_all_errors_are_reported_together():
    settings = NodeSettings('', '', '', '', '')
    names = [error.name for error in check_settings(settings).failure()]
    assert len(names) == 5


def test_valid_settings_are_accepted():
    assert isinstance(check_settings(VALID_SETTINGS), Success)
