"""Messages and stored rows of earlier builds are read as they were meant.

Nodes of two builds run side by side while hosts are replaced, and a field that
one of them requires and the other does not send loses the whole message.
"""

import json
import pathlib
from typing import Any

import msgspec
import pytest

from wigeonspoke.core.leases import LeaseRow
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.relay import PeerAnswer, RunCounts
from wigeonspoke.ingress.peers.connection_witness import (
    ConnectAnswer,
    ConnectQuestion,
)
from wigeonspoke.ingress.peers.peer_gossip import PeerUpdate
from wigeonspoke.ingress.relay.relay_head import RelayHead, read_outcome
from wigeonspoke.ingress.tables.part_table import PartRow
from wigeonspoke.ingress.tables.table_copy import RelayedTable
from wigeonspoke.ingress.tables.table_relay import WatcherAnswer
from wigeonspoke.serialization import decode_json

GOLDEN = pathlib.Path(__file__).parent / 'golden'
KINDS = {
    'gossip': PeerUpdate,
    'table': RelayedTable,
    'watcher-answer': WatcherAnswer,
    'relay-head': RelayHead,
    'lease-row': LeaseRow,
    'part-row': PartRow,
    'connect-question': ConnectQuestion,
    'connect-answer': ConnectAnswer,
}
OUTCOME = 'relay-outcome'
RECORDED = {
    path.stem.removeprefix('messages-'): json.loads(path.read_text())
    for path in sorted(GOLDEN.glob('messages-*.json'))
}
CASES = [
    (build, name)
    for build, messages in RECORDED.items()
    for name in messages
    if name != OUTCOME
]


def _holds(read: Any, sent: Any) -> bool:
    """Return whether what was read has all that was sent, and maybe more."""
    if isinstance(sent, dict):
        return all(
            name in read and _holds(read[name], part)
            for name, part in sent.items()
        )
    if isinstance(sent, list):
        pairs = zip(read, sent, strict=False)
        return len(read) >= len(sent) and all(_holds(*pair) for pair in pairs)
    return read == sent


def _read(name: str, message: Any) -> Any:
    """Return what a message is read as, in the form in which it is sent."""
    decoded = decode_json(json.dumps(message).encode(), KINDS[name]).unwrap()
    return json.loads(msgspec.json.encode(decoded))


@pytest.mark.parametrize(('build', 'name'), CASES)
def test_a_message_of_an_earlier_build_is_read(build, name):
    message = RECORDED[build][name]
    assert _holds(_read(name, message), message)


@pytest.mark.parametrize(('build', 'name'), CASES)
def test_what_a_later_build_adds_is_ignored(build, name):
    message = RECORDED[build][name]
    if isinstance(message, list):
        later = [*_read(name, message), {'unknown': 1}]
    else:
        later = {**message, 'unknown': 1}
    assert _holds(_read(name, later), message)


@pytest.mark.parametrize('build', RECORDED)
def test_an_outcome_of_an_earlier_build_is_read(build):
    headers = tuple(map(tuple, RECORDED[build][OUTCOME]))
    answer = PeerAnswer(Outcome.COMPLETED, RunCounts(2, 1))
    assert read_outcome(headers, 'id1') == (answer, 'done')
