"""The platform's settings file: every fault named, unknown fields ignored."""

import pytest

from wigeonspoke.platform.settings import decode_settings

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
