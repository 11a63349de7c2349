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
def test_session_plays_back(name):
    router = make_router()
    for line in session_path(name).read_text().splitlines():
        entry = msgspec.json.decode(line, type=SessionEntry)
        actions = router.handle(entry.event, entry.now)
        assert tuple(actions) == entry.actions


@pytest.mark.parametrize('session', SESSIONS, ids=NAMES)
def test_file_is_what_its_session_records(session):
    recorded = session_path(session.__name__).read_text()
    assert encode(session().entries) == recorded
