"""Recorded sessions play back to the same actions."""

import msgspec
import pytest

from wigeonspoke.core.tests.golden_sessions import (
    SESSIONS,
    Exchange,
    encode,
    make_router,
    path_of,
)

NAMES = [session.__name__ for session in SESSIONS]


@pytest.mark.parametrize('name', NAMES)
def test_session_plays_back(name):
    router = make_router()
    for line in path_of(name).read_text().splitlines():
        exchange = msgspec.json.decode(line, type=Exchange)
        actions = router.handle(exchange.event, exchange.now)
        assert tuple(actions) == exchange.actions


@pytest.mark.parametrize('session', SESSIONS, ids=NAMES)
def test_file_is_what_its_session_records(session):
    recorded = path_of(session.__name__).read_text()
    assert encode(session().exchanges) == recorded
