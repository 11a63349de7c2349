"""The platform's names on the wire stand in its folder alone."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
NAMES = re.compile(
    'Hop-Count|Expect-Instance|Not-Executed|Response-Signature|At-Server|'
    'Token-Usage|Prompt-Prefix|Deadline-Ms|rows-tx|rows-feed|rows-get|'
    '(?<!-)Request-Id|Credential|Weight-Versions|Request-Urgency|Length-Hint|'
    'path-prefix|target-latency-ms|WIGEONSPOKE_CONFIG|drain-mode',
)
SOURCES = sorted(
    source
    for source in PACKAGE.rglob('*.py')
    if 'platform' not in source.relative_to(PACKAGE).parts
)


@pytest.mark.parametrize('source', SOURCES, ids=str)
def test_no_wire_name_outside(source):
    assert not NAMES.findall(source.read_text())
