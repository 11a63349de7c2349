"""The headers between nodes survive the way, and odd ones are rejected."""

import msgspec
import pytest

from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.relay import PeerAnswer, RunCounts
from wigeonspoke.ingress.relay.relay_head import (
    RelayHead,
    decode_head,
    encode_head,
    outcome_headers,
    read_outcome,
)

HEAD = RelayHead(
    node='entry-1',
    request_id='id1',
    method='POST',
    target='/write/a%20b?q=1',
    host='shop.example',
    path='/write/a%20b',
    headers=(('X-Other', 'kept'),),
    account='acme',
    kind='unsafe',
    service='ledger',
    remaining_seconds=1.5,
    execution_limit=1,
    shared_parts=('p1',),
)


@pytest.mark.parametrize('text', ['kept', 'caf\xe9', '\u20ac', '"\x7f'])
def test_a_head_is_decoded_as_it_was(text):
    """Guards against bytes that a header must not have."""
    head = msgspec.structs.replace(HEAD, headers=(('X-Other', text),))
    encoded = encode_head(head)
    assert encoded.isascii()
    assert encoded.isprintable()
    assert decode_head(encoded) == head


@pytest.mark.parametrize('text', ['', '{}', '{"node":1}', 'e30=', '%%', '\xe9'])
def test_an_invalid_head_is_rejected(text):
    """Guards against an error of the node at what others send."""
    assert decode_head(text) is None


def test_an_outcome_is_read_as_it_was_written():
    """Guards against counts that are lost, and runs beyond the limit."""
    answer = PeerAnswer(Outcome.UNKNOWN, RunCounts(3, 2))
    assert read_outcome(outcome_headers(answer, 'why', 'id1'), 'id1') == (
        answer,
        'why',
    )


@pytest.mark.parametrize(
    ('outcome', 'counts'),
    [('', '1,1'), ('done', '1,1'), ('completed', ''), ('completed', '1,-1')],
)
def test_an_answer_that_no_node_gave_has_no_outcome(outcome, counts):
    """Guards against a program that answers at the address of a peer."""
    headers = (
        ('Wigeonspoke-Outcome', outcome),
        ('Wigeonspoke-Counts', counts),
        ('Wigeonspoke-Request', 'id1'),
    )
    assert read_outcome(headers, 'id1')[0] is None
