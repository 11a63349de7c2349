"""Configuration of the tests.

Sockets are patched as in the daemons.  Tests listed in ``KNOWN-RED.txt`` at
the root of the repository are run, but their failures do not fail the run.
Several processes may share the tests: with ``--part=2/4``, a run takes the
second of four disjoint parts, which together are all the tests.
"""

import warnings

warnings.simplefilter('ignore')

import eventlet

eventlet.monkey_patch()

from wigeonspoke.observe import configure_logs

configure_logs('ERROR', as_json=False)

import pathlib
import zlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '
# The only part, which has all tests.
WHOLE = (1, 1)


def _parse_part(text: str) -> tuple[int, int]:
    """Return the number of a part, from 1, and the count of parts."""
    number, count = map(int, text.split('/'))
    if not 1 <= number <= count:
        raise ValueError(text)
    return number, count


def _known_red_tests() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }


def pytest_addoption(parser: pytest.Parser) -> None:
    """Define the option that selects a part of the tests."""
    parser.addoption(
        '--part',
        type=_parse_part,
        default=WHOLE,
        metavar='NUMBER/COUNT',
        help='run this one of several disjoint parts of the tests',
    )


def pytest_collection_modifyitems(session: pytest.Session) -> None:
    """Keep the tests of the selected part.

    The name of a test alone decides on its part, so that each test is in
    exactly one, whatever else is collected.
    """
    number, count = session.config.getoption('--part')
    kept: list[pytest.Item] = []
    others: list[pytest.Item] = []
    for test in session.items:
        is_kept = zlib.crc32(test.nodeid.encode()) % count == number - 1
        (kept if is_kept else others).append(test)
    session.items.clear()
    session.items.extend(kept)
    if others:
        session.config.hook.pytest_deselected(items=others)


def pytest_collection_finish(session: pytest.Session) -> None:
    """Mark the tests that are listed as known to fail."""
    known = _known_red_tests()
    for test in session.items:
        if test.nodeid in known:
            test.add_marker(pytest.mark.xfail(reason=KNOWN_RED.name))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the tests that are listed as known to fail, and how they ended."""
    for outcome in ('xfailed', 'xpassed'):
        for report in terminalreporter.stats.get(outcome, ()):
            terminalreporter.line(f'KNOWN-RED {outcome}: {report.nodeid}')
