"""A caller that sends requests and checks the answers."""

import time
from http import HTTPStatus

import msgspec
import urllib3
from returns.result import Success

from wigeonspoke.load.records import AnswerRecord, AnswerResult, CallRecord
from wigeonspoke.node.outcome_replies import OUTCOME_HEADER, REQUEST_ID_HEADER
from wigeonspoke.standins.model import expected_answer
from wigeonspoke.transport import ConnectionPools, HttpClient, read_lines

ANSWER_TIMEOUT_SECONDS = 120.0
CONNECTION_POOL_SIZE = 256
SSE_DATA_PREFIX = b'data: '
SSE_DONE = b'[DONE]'
OUTCOME_NOT_RUN = 'not-run'


class PromptRequest(msgspec.Struct, frozen=True):
    """A request for an answer.

    ``layers`` is the number of layers of the model, from which the expected
    answer is computed.  ``chat`` selects the chat completions endpoint.
    """

    model: str
    layers: int
    text: str
    max_tokens: int
    stream: bool
    chat: bool


class _Choice(msgspec.Struct, frozen=True):
    """The parts of a choice that are needed to check the answer."""

    text: str = ''
    finish_reason: str | None = None
    delta: dict[str, str] = {}
    message: dict[str, str] = {}


class _Completion(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()
    error: msgspec.Raw = msgspec.Raw(b'')


class ReceivedAnswer:
    """The part of an answer that has been received so far."""

    __slots__ = (
        'error_body',
        'finish_reason',
        'first_token_at',
        'is_complete',
        'text',
    )

    def __init__(self) -> None:
        self.text = ''
        self.finish_reason = ''
        self.error_body = ''
        self.first_token_at: float | None = None
        self.is_complete = False

    def add(self, reply: _Completion) -> None:
        """Add a complete reply or one event of a streamed one."""
        for choice in reply.choices:
            chat_text = choice.delta.get('content') or choice.message.get(
                'content'
            )
            self.text += choice.text or chat_text or ''
            self.finish_reason = choice.finish_reason or self.finish_reason
        if self.text and self.first_token_at is None:
            self.first_token_at = time.monotonic()


class Caller:
    """Sends requests with the bearer key of one client account."""

    __slots__ = ('headers', 'http', 'pool')

    def __init__(self, key: str) -> None:
        self.headers = {'Authorization': f'Bearer {key}'}
        self.pool = ConnectionPools(maxsize=CONNECTION_POOL_SIZE, retries=False)
        self.http = HttpClient(self.headers)

    def request_answer(
        self, node: str, request: PromptRequest, due: float
    ) -> AnswerRecord:
        """Request an answer and compare it with the expected one."""
        started = time.monotonic()
        received = ReceivedAnswer()
        status = 0
        request_id = ''
        outcome = ''
        detail = ''
        try:
            response = self._send(node, request)
            status = response.status
            outcome = response.headers.get(OUTCOME_HEADER, '')
            request_id = response.headers.get(REQUEST_ID_HEADER, '')
            _read_answer(response, request.stream, received)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            detail = f'{type(error).__name__}: {error}'
        return AnswerRecord(
            node=node,
            result=_classify_answer(request, received, status, outcome),
            due=due,
            started=started,
            first_token=received.first_token_at if request.stream else None,
            ended=time.monotonic(),
            tokens=len(received.text),
            status=status,
            request_id=request_id,
            detail=detail or received.error_body,
        )

    def run_operation(
        self,
        node: str,
        service: str,
        path: str,
        identity: str,
        body: bytes,
    ) -> CallRecord:
        """Run an operation of a service that must run at most once.

        ``identity`` is sent as its idempotency key.
        """
        started = time.monotonic()
        reply = self.http.send(
            node,
            'POST',
            f'/v1/services/{service}{path}',
            body,
            timeout=ANSWER_TIMEOUT_SECONDS,
            headers={'Idempotency-Key': identity},
        )
        status = 0
        outcome = 'unknown'
        if isinstance(reply, Success):
            response = reply.unwrap()
            status = response.status
            outcome = _call_outcome(response.status, response.body)
        return CallRecord(
            node=node,
            identity=identity,
            status=status,
            outcome=outcome,
            started=started,
            ended=time.monotonic(),
        )

    def _send(
        self, node: str, request: PromptRequest
    ) -> urllib3.BaseHTTPResponse:
        path = '/v1/chat/completions' if request.chat else '/v1/completions'
        request_body: dict[str, object] = {
            'model': request.model,
            'max_tokens': request.max_tokens,
            'stream': request.stream,
        }
        if request.chat:
            message = {'role': 'user', 'content': request.text}
            request_body['messages'] = [message]
        else:
            request_body['prompt'] = request.text
        return self.pool.request(
            'POST',
            f'http://{node}{path}',
            body=msgspec.json.encode(request_body),
            headers=self.headers,
            preload_content=False,
            timeout=ANSWER_TIMEOUT_SECONDS,
        )


def _read_answer(
    response: urllib3.BaseHTTPResponse,
    stream: bool,
    received: ReceivedAnswer,
) -> None:
    if response.status != HTTPStatus.OK or not stream:
        body = response.read()
        response.release_conn()
        if response.status == HTTPStatus.OK:
            received.add(msgspec.json.decode(body, type=_Completion))
            received.is_complete = True
        else:
            received.error_body = body.decode(errors='replace')
        return
    for line in read_lines(response):
        if not line.startswith(SSE_DATA_PREFIX):
            continue
        event = line.removeprefix(SSE_DATA_PREFIX)
        if event == SSE_DONE:
            received.is_complete = True
        else:
            received.add(msgspec.json.decode(event, type=_Completion))
    response.release_conn()


def _classify_answer(
    request: PromptRequest,
    received: ReceivedAnswer,
    status: int,
    outcome: str,
) -> AnswerResult:
    if status != HTTPStatus.OK:
        return (
            AnswerResult.REFUSED
            if outcome == OUTCOME_NOT_RUN
            else AnswerResult.FAILED
        )
    text = f'user: {request.text}\nassistant:' if request.chat else request.text
    expected = expected_answer(request.layers, text, request.max_tokens)
    if received.is_complete:
        return (
            AnswerResult.WHOLE
            if received.text == expected
            else AnswerResult.WRONG
        )
    return (
        AnswerResult.CUT
        if expected.startswith(received.text)
        else AnswerResult.WRONG
    )


def _call_outcome(status: int, body: bytes) -> str:
    if status == HTTPStatus.OK:
        return 'completed'
    reply = msgspec.json.decode(body, type=dict)
    return reply.get('error', {}).get('outcome', 'failed')
