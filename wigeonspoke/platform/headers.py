"""Request and response headers of the platform's wire format."""

import hashlib
from collections.abc import Mapping

from wigeonspoke.core.chains import Chain, PromptPart
from wigeonspoke.ingress.protocols import (
    ClientRequest,
    ForwardContext,
    HeaderList,
    ResponseMarkers,
)
from wigeonspoke.ingress.requests.responses import HOP_BY_HOP_HEADERS
from wigeonspoke.serialization import parse_count
from wigeonspoke.transport import parse_decimal, parse_retry_after

MILLISECONDS_PER_SECOND = 1000
EVENT_STREAM_TYPE = 'text/event-stream'

REQUEST_ID_HEADER = 'Request-Id'
LAST_EVENT_ID_HEADER = 'Last-Event-Id'
DEADLINE_HEADER = 'Deadline-Ms'
CREDENTIAL_HEADER = 'Credential'
ACCOUNT_HEADER = 'Tenant'
INSTANCE_HEADER = 'Expect-Instance'
CHAIN_HEADER = 'Hop-Count'
TOKEN_USAGE_HEADER = 'Token-Usage'
LENGTH_HINT_HEADER = 'Length-Hint'
PROMPT_PARTS_HEADER = 'Prompt-Prefix'
URGENCY_HEADER = 'Request-Urgency'
NOT_EXECUTED_HEADER = 'Not-Executed'
SIGNATURE_HEADER = 'Response-Signature'
FAULT_ADDRESS_HEADER = 'At-Server'
LIMIT_HEADER = 'Server-Limit'
LEAVING_HEADER = 'Server-Leaving'

MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503

# Clients choose the ids of the parts of their prompts, and the node keeps
# some of them, so that both length and number are limited.
MAX_PART_ID_LENGTH = 32
MAX_SHARED_PARTS = 16
# Greater counts of tokens are ignored: no model reads so many.
MAX_TOKENS = 99999999

# Headers that are not copied from a client's request to an endpoint:
# hop-by-hop headers, those that the node sets itself, and ``Expect``, which
# the listener has already handled.
_NOT_FORWARDED = HOP_BY_HOP_HEADERS.union(
    (
        'expect',
        DEADLINE_HEADER.lower(),
        CREDENTIAL_HEADER.lower(),
        ACCOUNT_HEADER.lower(),
        INSTANCE_HEADER.lower(),
        CHAIN_HEADER.lower(),
        LAST_EVENT_ID_HEADER.lower(),
        URGENCY_HEADER.lower(),
    ),
)


def decode_request(
    method: str,
    target: str,
    headers: HeaderList,
) -> ClientRequest:
    """Decode a client's request line and headers."""
    header_values = {
        name.lower(): header_value for name, header_value in headers
    }
    connection_options = {
        option.strip().lower()
        for option in header_values.get('connection', '').split(',')
    }
    path = target.partition('?')[0]
    prompt_tokens, output_tokens = _parse_token_usage(
        header_values.get(TOKEN_USAGE_HEADER.lower(), '')
    )
    prompt_parts = header_values.get(PROMPT_PARTS_HEADER.lower(), '')
    return ClientRequest(
        request_id=header_values.get(REQUEST_ID_HEADER.lower(), ''),
        method=method,
        target=target,
        host=header_values.get('host', '').partition(':')[0].lower(),
        path=path,
        headers=tuple(
            (name, header_value)
            for name, header_value in headers
            if name.lower() not in _NOT_FORWARDED
            and name.lower() not in connection_options
        ),
        key=header_values.get(CREDENTIAL_HEADER.lower(), ''),
        remaining_seconds=_parse_milliseconds(
            header_values.get(DEADLINE_HEADER.lower(), '')
        ),
        last_event_id=header_values.get(LAST_EVENT_ID_HEADER.lower(), ''),
        tokens=prompt_tokens + output_tokens,
        shared_parts=_parse_shared_parts(prompt_parts),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        length_hint=_parse_count(
            header_values.get(LENGTH_HINT_HEADER.lower(), '')
        ),
        prompt_parts=_parse_prompt_parts(prompt_parts),
    )


def encode_headers(
    request: ClientRequest, forward_context: ForwardContext
) -> HeaderList:
    """Return the headers to send to an endpoint with a request."""
    remaining_milliseconds = max(
        1, int(forward_context.remaining_seconds * MILLISECONDS_PER_SECOND)
    )
    added_headers = [
        (DEADLINE_HEADER, str(remaining_milliseconds)),
        (INSTANCE_HEADER, forward_context.endpoint.endpoint_id),
    ]
    if forward_context.account:
        added_headers.append((ACCOUNT_HEADER, forward_context.account))
    if forward_context.chain is not None:
        added_headers.append(
            (CHAIN_HEADER, encode_chain(forward_context.chain))
        )
    if forward_context.urgency is not None:
        added_headers.append((URGENCY_HEADER, str(forward_context.urgency)))
    last_event_id = forward_context.last_event_id or request.last_event_id
    if last_event_id:
        added_headers.append((LAST_EVENT_ID_HEADER, last_event_id))
    return (*request.headers, *added_headers)


def node_response_headers(request: ClientRequest) -> HeaderList:
    """Return headers that identify the request in a node's own response."""
    return ((REQUEST_ID_HEADER, request.request_id),)


def encode_chain(chain: Chain) -> str:
    """Encode a chain as a comma-separated list of ``address=first-end``."""
    return ','.join(
        f'{hop.endpoint.address}={hop.layers.first}-{hop.layers.end}'
        for hop in chain.hops
    )


def read_response_markers(status: int, headers: HeaderList) -> ResponseMarkers:
    """Read the response markers from an endpoint's status and headers."""
    header_values = {
        name.lower(): header_value for name, header_value in headers
    }
    content_type = header_values.get('content-type', '')
    retry_after = ''
    retry_seconds = None
    if status == SERVICE_UNAVAILABLE:
        retry_after = header_values.get('retry-after', '')
        date = header_values.get('date', '')
        retry_seconds = parse_retry_after(retry_after, date)
    return ResponseMarkers(
        request_id=header_values.get(REQUEST_ID_HEADER.lower(), ''),
        is_signed=SIGNATURE_HEADER.lower() in header_values,
        has_content_encoding='content-encoding' in header_values,
        is_event_stream=content_type.startswith(EVENT_STREAM_TYPE),
        not_executed=NOT_EXECUTED_HEADER.lower() in header_values
        or status == MISDIRECTED_REQUEST,
        fault_address=header_values.get(FAULT_ADDRESS_HEADER.lower(), ''),
        requests_per_second=parse_decimal(
            header_values.get(LIMIT_HEADER.lower(), '')
        ),
        is_leaving=says_leaving(header_values),
        retry_after_seconds=retry_seconds,
        unreadable_retry_after=retry_after if retry_seconds is None else '',
    )


def says_leaving(header_values: Mapping[str, str]) -> bool:
    """Return whether headers, with names in lower case, announce a stop."""
    return header_values.get(LEAVING_HEADER.lower(), '').strip() == '1'


def _parse_milliseconds(header_value: str) -> float | None:
    milliseconds = parse_count(header_value)
    if milliseconds is None:
        return None
    return milliseconds / MILLISECONDS_PER_SECOND


def _parse_shared_parts(header_value: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt except the last one.

    The last part belongs to the request or its session alone.  A part that
    occurs twice is listed once.
    """
    entries = header_value.split(',')[:-1]
    ids = dict.fromkeys(
        entry.partition(':')[0].strip().lower() for entry in entries
    )
    ids.pop('', None)
    return tuple(map(_limit_length, ids))[:MAX_SHARED_PARTS]


def _limit_length(part_id: str) -> str:
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    digest = hashlib.blake2b(
        part_id.encode(), digest_size=MAX_PART_ID_LENGTH // 2
    )
    return digest.hexdigest()


def _parse_token_usage(header_value: str) -> tuple[int, int]:
    """Return the tokens of a prompt and the most tokens of the answer.

    A count that is missing or unreadable is 0.
    """
    prompt_tokens, _, output_tokens = header_value.partition(',')
    return _parse_count(prompt_tokens), _parse_count(output_tokens)


def _parse_count(text: str) -> int:
    count = parse_count(text.strip())
    return 0 if count is None or count > MAX_TOKENS else count


def _parse_prompt_parts(header_value: str) -> tuple[PromptPart, ...]:
    """Return the first parts of a prompt in order, with their tokens.

    Parts after one without an id or a count are left out, because it is not
    known where they begin.
    """
    parts: list[PromptPart] = []
    for entry in header_value.split(',')[:MAX_SHARED_PARTS]:
        part_id, _, count = entry.rpartition(':')
        tokens = _parse_count(count)
        part_id = _limit_length(part_id.strip().lower())
        if not part_id or not tokens:
            break
        parts.append(PromptPart(part_id, tokens))
    return tuple(parts)
