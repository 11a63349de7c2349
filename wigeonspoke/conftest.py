"""Configuration of the tests.

Sockets are patched as in the daemons.  Tests listed in ``KNOWN-RED.txt`` at
the root of the repository are run, but their failures do not fail the run.
Several processes may share the tests: with ``--part=2/4``, a run takes the
second of four disjoint parts, which together are all the tests but those that
are marked to run alone.  ``--alone`` takes these.
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
    parser.addoption(
        '--alone',
        action='store_true',
        help='run the tests that must run apart from other load',
    )


def pytest_configure(config: pytest.Config) -> None:
    """Define the mark of tests that run alone."""
    config.addinivalue_line('markers', 'alone: runs apart from other load')


def pytest_collection_modifyitems(session: pytest.Session) -> None:
    """Keep the tests of the selected part.

    The name of a test alone decides on its part, so that each test is in
    exactly one, whatever else is collected.
    """
    kept: list[pytest.Item] = []
    others: list[pytest.Item] = []
    for test in session.items:
        (kept if _is_kept(test) else others).append(test)
    session.items.clear()
    session.items.extend(kept)
    if others:
        session.config.hook.pytest_deselected(items=others)


def _is_kept(test: pytest.Item) -> bool:
    """Return whether the options select a test."""
    number, count = test.config.getoption('--part')
    runs_alone = test.get_closest_marker('alone') is not None
    if test.config.getoption('--alone'):
        return runs_alone
    if count == 1:
        return True
    is_in_part = zlib.crc32(test.nodeid.encode()) % count == number - 1
    return is_in_part and not runs_alone


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
