"""Names of the platform's wire format occur in its package only."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
WIRE_NAMES = re.compile(
    'Hop-Count|Expect-Instance|Not-Executed|Response-Signature|At-Server|'
    'Token-Usage|Prompt-Prefix|Deadline-Ms|rows-tx|rows-feed|rows-get|'
    '(?<!-)Request-Id|Credential|Weight-Versions|Request-Urgency|Length-Hint|'
    'Server-Limit|Server-Leaving|path-prefix|target-latency-ms|'
    'WIGEONSPOKE_CONFIG|drain-mode',
)
SOURCE_FILES = sorted(
    source
    for source in PACKAGE.rglob('*.py')
    if 'platform' not in source.relative_to(PACKAGE).parts
)


@pytest.mark.parametrize('source', SOURCE_FILES, ids=str)
def test_no_wire_name_outside_the_platform_package(source):
    assert not WIRE_NAMES.findall(source.read_text())
