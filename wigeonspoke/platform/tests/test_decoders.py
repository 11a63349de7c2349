"""No decoder of what other programs send raises, whatever the bytes are."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspoke.config.questionnaire import read_answers
from wigeonspoke.core.leases import LeaseRow
from wigeonspoke.core.store_version import StoreVersion
from wigeonspoke.ingress.fleet.lease_loop import _decode_rows
from wigeonspoke.ingress.peers.connection_witness import (
    ConnectAnswer,
    ConnectQuestion,
)
from wigeonspoke.ingress.peers.peer_gossip import PeerUpdate
from wigeonspoke.ingress.relay.relay_head import decode_head, read_outcome
from wigeonspoke.ingress.streams.event_cursor import EventCursor
from wigeonspoke.ingress.streams.event_splitter import EventSplitter
from wigeonspoke.ingress.tables.part_table import PartRow, _decode_crashes
from wigeonspoke.ingress.tables.table_copy import RelayedTable
from wigeonspoke.ingress.tables.table_relay import WatcherAnswer
from wigeonspoke.platform import headers, records
from wigeonspoke.platform.settings import decode_settings
from wigeonspoke.platform.speeds import decode_speeds
from wigeonspoke.platform.store_client import _decode_reply
from wigeonspoke.serialization import decode_json
from wigeonspoke.store import RowPage, TableRow
from wigeonspoke.transport import HttpReply, parse_retry_after

EXAMPLES = 200
MANY_DIGITS = b'9' * 5000


def _row(content: bytes) -> TableRow:
    return TableRow('key', 1, msgspec.Raw(content))


def _read_events(content: bytes) -> None:
    cursor = EventCursor(_text(content))
    cursor.take_new(EventSplitter().feed(b'id: %s\n\n' % content))


def _text(content: bytes) -> str:
    return content.decode('latin-1')


def _decode_request(content: bytes) -> None:
    names = (
        headers.DEADLINE_HEADER,
        headers.LAST_EVENT_ID_HEADER,
        headers.TOKEN_USAGE_HEADER,
        headers.LENGTH_HINT_HEADER,
        headers.PROMPT_PARTS_HEADER,
        'Connection',
    )
    text = _text(content)
    headers.decode_request('GET', '/x', [(name, text) for name in names])


def _read_markers(content: bytes) -> None:
    names = (
        headers.LIMIT_HEADER,
        headers.LEAVING_HEADER,
        headers.FAULT_ADDRESS_HEADER,
        'Retry-After',
        'Date',
        'Content-Type',
    )
    text = _text(content)
    headers.read_response_markers(503, [(name, text) for name in names])


def _read_outcome(content: bytes) -> None:
    text = _text(content)
    for counts in (text, f'{text},1'):
        read_outcome(
            (
                ('Wigeonspoke-Outcome', 'not-run'),
                ('Wigeonspoke-Counts', counts),
            ),
            'id1',
        )


DECODERS = {
    'configuration': records.decode_configuration,
    'entry': lambda content: records.decode_endpoint('id', content),
    'report': records.decode_report,
    'speeds': decode_speeds,
    'settings': lambda content: decode_settings(_text(content)),
    'store page': lambda content: _decode_reply(
        'read', HttpReply(200, '', content)
    ),
    'lease': lambda content: _decode_rows(
        RowPage((_row(content),), StoreVersion(1, 1), 0)
    ),
    'lease row': lambda content: decode_json(content, LeaseRow),
    'part': lambda content: _decode_crashes(_row(content)),
    'part row': lambda content: decode_json(content, PartRow),
    'gossip': lambda content: decode_json(content, PeerUpdate),
    'relayed table': lambda content: decode_json(content, RelayedTable),
    'question': lambda content: decode_json(content, ConnectQuestion),
    'sight': lambda content: decode_json(content, ConnectAnswer),
    'watcher': lambda content: decode_json(content, WatcherAnswer),
    'relay head': lambda content: decode_head(_text(content)),
    'relay outcome': _read_outcome,
    'answers': read_answers,
    'events': _read_events,
    'request': _decode_request,
    'response': _read_markers,
    'retry-after': lambda content: parse_retry_after(_text(content)),
}
# Fields that the decoders know, so that odd values reach them.
FIELDS = (
    b'version',
    b'service',
    b'address',
    b'born',
    b'slots',
    b'sequence',
    b'layers',
    b'models',
    b'rows',
    b'ver',
    b'holder',
    b'until',
    b'crashes',
    b'gossip',
    b'services',
    b'routes',
    b'note',
)
VALUES = {
    'nested': b'[' * 100_000 + b']' * 100_000,
    'nested objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'many digits': MANY_DIGITS,
    'negative': b'-' + MANY_DIGITS,
    'exponent': b'1e400',
    'not UTF-8': b'"\xff\xfe"',
    'half a pair': b'"\x5cud800"',
    'open': b'[',
    'line break': rb'"\r\n"',
}
TEXTS = {
    'empty': b'',
    'zero byte': b'\x00',
    'many digits': MANY_DIGITS,
    'negative': b'-5',
    'exponent': b'1e400',
    'other digits': '\u0661\u0662'.encode(),
    'fraction': b'0.' + MANY_DIGITS,
    'nested': VALUES['nested'],
    'nested table': b'a=' + VALUES['nested'],
    'long number in a table': b'a=' + MANY_DIGITS,
}


@pytest.mark.parametrize('decoder', DECODERS)
@pytest.mark.parametrize('text', TEXTS)
def test_odd_texts_raise_nothing(decoder, text):
    DECODERS[decoder](TEXTS[text])


@pytest.mark.parametrize('decoder', DECODERS)
@pytest.mark.parametrize('odd', VALUES)
def test_odd_values_of_any_field_raise_nothing(decoder, odd):
    for field in FIELDS:
        DECODERS[decoder](b'{"%s": %s}' % (field, VALUES[odd]))


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
_OBJECTS = st.dictionaries(
    st.sampled_from([field.decode() for field in FIELDS]), _VALUES
)


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
@given(content=st.binary() | _OBJECTS.map(msgspec.json.encode))
def test_no_bytes_raise_anything(content):
    for decode in DECODERS.values():
        decode(content)
