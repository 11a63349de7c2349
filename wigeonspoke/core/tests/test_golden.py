"""Replaying recorded sessions gives the recorded actions."""

import msgspec
import pytest

from wigeonspoke.core.tests.golden_sessions import (
    SESSIONS,
    SessionEntry,
    encode,
    make_router,
    session_path,
)

NAMES = [session.__name__ for session in SESSIONS]


@pytest.mark.parametrize('name', NAMES)
def test_replay_gives_recorded_actions(name):
    router = make_router()
    for line in session_path(name).read_text().splitlines():
        entry = msgspec.json.decode(line, type=SessionEntry)
        actions = router.handle(entry.event, entry.now)
        assert tuple(actions) == entry.actions


@pytest.mark.parametrize('session', SESSIONS, ids=NAMES)
def test_recorded_file_is_current(session):
    recorded = session_path(session.__name__).read_text()
    assert encode(session().entries) == recorded
