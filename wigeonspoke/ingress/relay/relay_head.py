"""The headers of relayed requests and of their responses.

The head of a relayed request is one header with a JSON object, since the names
of the client's own headers could collide with those between nodes.
"""

import base64
import binascii
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.relay import PeerAnswer, RunCounts
from wigeonspoke.ingress.protocols import ClientRequest, HeaderList
from wigeonspoke.serialization import decode_json, parse_count

RELAY_PATH = '/peers/v1/relay'
RELAY_HEADER = 'Wigeonspoke-Relay'
OUTCOME_HEADER = 'Wigeonspoke-Outcome'
# The request that the outcome is about.
REQUEST_HEADER = 'Wigeonspoke-Request'
REASON_HEADER = 'Wigeonspoke-Reason'
# How often the request has reached an endpoint and may have run, by all nodes.
COUNTS_HEADER = 'Wigeonspoke-Counts'
# The runs of endpoints that said in their answers to the request that they
# leave, as a JSON list of start ids.
LEAVING_HEADER = 'Wigeonspoke-Leaving'
# Begins the names of all headers between nodes.
NODE_PREFIX = 'wigeonspoke-'
# The reason of an answer after which the request must not be sent on: it may
# have ended its endpoint, or was the trial of a quarantined key.
LAST_TRY = 'last-try'
# Other values are JSON in base64.
JSON_BEGINNINGS = (b'{', b'[')

Message = TypeVar('Message')


class RelayHead(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a peer needs to serve a request of another node's client.

    ``account`` is the name of the client account; its key is not passed on.
    ``arrivals`` and ``executions`` count how often the request has reached an
    endpoint and may have run, and ``execution_limit`` is how often it may have
    run in all when the peer has ended.  ``node`` is the sending node.
    ``leaving`` are the start ids of runs of the service that leave, as far as
    their answers have told the sending node.
    """

    node: str
    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    account: str
    kind: str
    service: str
    remaining_seconds: float
    execution_limit: int
    arrivals: int = 0
    executions: int = 0
    last_event_id: str = ''
    tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()

    def to_request(self) -> ClientRequest:
        """Return the client's request without its body and its key."""
        return ClientRequest(
            request_id=self.request_id,
            method=self.method,
            target=self.target,
            host=self.host,
            path=self.path,
            headers=self.headers,
            key='',
            remaining_seconds=self.remaining_seconds,
            last_event_id=self.last_event_id,
            tokens=self.tokens,
            shared_parts=self.shared_parts,
        )


def encode_head(head: RelayHead) -> str:
    """Return the value of the header, in base64 if it is not plain ASCII."""
    return _encode_value(head)


def decode_head(header_value: str) -> RelayHead | None:
    """Decode the value of the header, None if it is not valid."""
    return _decode_value(header_value, RelayHead)


def outcome_headers(
    answer: PeerAnswer,
    reason: str,
    request_id: str,
    leaving: Iterable[str] = (),
) -> HeaderList:
    """Return the headers that a peer adds to a response.

    ``leaving`` are the start ids of the runs that said they leave.
    """
    after = answer.after
    headers = (
        (OUTCOME_HEADER, str(answer.outcome)),
        (REQUEST_HEADER, request_id),
        (REASON_HEADER, reason),
        (COUNTS_HEADER, f'{after.arrivals},{after.executions}'),
    )
    runs = tuple(leaving)
    if runs:
        return (*headers, (LEAVING_HEADER, _encode_value(runs)))
    return headers


def read_outcome(
    headers: HeaderList, request_id: str
) -> tuple[PeerAnswer | None, str]:
    """Return a peer's account of a request and the reason that it names.

    The account is None if the response has no valid one, as that of a program
    which is no node, or one of another request.  A peer of an earlier build
    names no request.  Its account counts, too: a relayed request has a new
    connection, on which no other answer is due.
    """
    header_values = {name.lower(): text for name, text in headers}
    reason = header_values.get(REASON_HEADER.lower(), '')
    texts = header_values.get(COUNTS_HEADER.lower(), '').split(',')
    counts = tuple(map(parse_count, texts))
    outcome_text = header_values.get(OUTCOME_HEADER.lower(), '')
    if None in counts or len(counts) != 2:
        return None, reason
    if header_values.get(REQUEST_HEADER.lower(), request_id) != request_id:
        return None, reason
    if outcome_text not in set(Outcome):
        return None, reason
    after = RunCounts(*counts)
    return PeerAnswer(Outcome(outcome_text), after), reason


def read_leaving(headers: HeaderList) -> tuple[str, ...]:
    """Return the start ids of the runs that a peer was told leave."""
    for name, text in headers:
        if name.lower() == LEAVING_HEADER.lower():
            return _decode_value(text, tuple[str, ...]) or ()
    return ()


def without_node_headers(
    headers: Iterable[tuple[str, str]],
) -> HeaderList:
    """Return headers without those between nodes."""
    return tuple(
        (name, text)
        for name, text in headers
        if not name.lower().startswith(NODE_PREFIX)
    )


def _encode_value(message: object) -> str:
    """Return a message as the value of a header, which is plain ASCII."""
    encoded = msgspec.json.encode(message)
    if encoded.isascii() and b'\x7f' not in encoded:
        return encoded.decode()
    return base64.b64encode(encoded).decode()


def _decode_value(header_value: str, kind: type[Message]) -> Message | None:
    """Decode the value of a header, None if it is not valid."""
    encoded = header_value.encode('latin-1', 'replace')
    try:
        if not encoded.startswith(JSON_BEGINNINGS):
            encoded = base64.b64decode(encoded, validate=True)
    except binascii.Error:
        return None
    return decode_json(encoded, kind).value_or(None)
