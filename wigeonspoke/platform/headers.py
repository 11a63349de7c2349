"""Headers of the platform's requests and answers."""

from wigeonspoke.core.chains import Chain
from wigeonspoke.ingress.protocols import (
    ClientRequest,
    ForwardContext,
    HeaderList,
    ResponseMarkers,
)
from wigeonspoke.ingress.responses import HOP_BY_HOP_HEADERS

MILLISECONDS = 1000
EVENT_STREAM = 'text/event-stream'

REQUEST_ID = 'Request-Id'
LAST_EVENT = 'Last-Event-Id'
DEADLINE = 'Deadline-Ms'
KEY = 'Credential'
ACCOUNT = 'Tenant'
INSTANCE = 'Expect-Instance'
CHAIN = 'Hop-Count'
TOKENS = 'Token-Usage'
NOT_RUN = 'Not-Executed'
SIGNATURE = 'Response-Signature'
FAULT_ADDRESS = 'At-Server'

MISDIRECTED = 421

# Besides headers of one connection: those that are set anew, and ``Expect``,
# which the listener has met already.
_NOT_PASSED_ON = HOP_BY_HOP_HEADERS.union(
    (
        'expect',
        DEADLINE.lower(),
        KEY.lower(),
        ACCOUNT.lower(),
        INSTANCE.lower(),
        CHAIN.lower(),
        LAST_EVENT.lower(),
    ),
)


def decode_request(
    method: str,
    target: str,
    headers: HeaderList,
) -> ClientRequest:
    """Decode a client's request without its body."""
    named = {name.lower(): text for name, text in headers}
    hop = {
        word.strip().lower() for word in named.get('connection', '').split(',')
    }
    path = target.partition('?')[0]
    return ClientRequest(
        request_id=named.get(REQUEST_ID.lower(), ''),
        method=method,
        target=target,
        host=named.get('host', '').partition(':')[0].lower(),
        path=path,
        headers=tuple(
            (name, text)
            for name, text in headers
            if name.lower() not in _NOT_PASSED_ON and name.lower() not in hop
        ),
        key=named.get(KEY.lower(), ''),
        remaining_seconds=_seconds(named.get(DEADLINE.lower(), '')),
        last_event_id=named.get(LAST_EVENT.lower(), ''),
        tokens=_tokens(named.get(TOKENS.lower(), '')),
    )


def encode_headers(
    request: ClientRequest, forward_context: ForwardContext
) -> HeaderList:
    """Give the headers that an endpoint gets with a request."""
    left = max(1, int(forward_context.remaining_seconds * MILLISECONDS))
    added = [
        (DEADLINE, str(left)),
        (INSTANCE, forward_context.endpoint.endpoint_id),
    ]
    if forward_context.account:
        added.append((ACCOUNT, forward_context.account))
    if forward_context.chain is not None:
        added.append((CHAIN, describe_chain(forward_context.chain)))
    last_event_id = forward_context.last_event_id or request.last_event_id
    if last_event_id:
        added.append((LAST_EVENT, last_event_id))
    return (*request.headers, *added)


def node_response_headers(request: ClientRequest) -> HeaderList:
    """Give the headers of an answer of ours to a request."""
    return ((REQUEST_ID, request.request_id),)


def describe_chain(chain: Chain) -> str:
    """Give a chain as the engines of the platform read it."""
    return ','.join(
        f'{hop.endpoint.address}={hop.layers.first}-{hop.layers.end}'
        for hop in chain.hops
    )


def read_response_markers(status: int, headers: HeaderList) -> ResponseMarkers:
    """Read the marks of an endpoint's answer."""
    named = {name.lower(): text for name, text in headers}
    content_type = named.get('content-type', '')
    return ResponseMarkers(
        request_id=named.get(REQUEST_ID.lower(), ''),
        is_signed=SIGNATURE.lower() in named,
        has_content_encoding='content-encoding' in named,
        is_event_stream=content_type.startswith(EVENT_STREAM),
        not_executed=NOT_RUN.lower() in named or status == MISDIRECTED,
        fault_address=named.get(FAULT_ADDRESS.lower(), ''),
    )


def _seconds(text: str) -> float | None:
    if not text.isdecimal():
        return None
    return int(text) / MILLISECONDS


def _tokens(text: str) -> int:
    counts = [part for part in text.split(',') if part.strip().isdecimal()]
    return sum(map(int, counts))
