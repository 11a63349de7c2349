"""One caller: asks, reads the answer as it comes, and checks it."""

import time
from http import HTTPStatus

import msgspec
import urllib3
from returns.result import Success

from wigeonspoke.load.records import AnswerRecord, CallRecord, Verdict
from wigeonspoke.node.outcome_replies import OUTCOME_HEADER, REQUEST_HEADER
from wigeonspoke.standins.model import expected_answer
from wigeonspoke.transport import HttpClient, read_lines

ANSWER_SECONDS = 120.0
MAX_CONNECTIONS = 256
LINE_START = b'data: '
DONE = b'[DONE]'
NOT_RUN = 'not-run'


class Prompt(msgspec.Struct, frozen=True):
    """What to ask, and of a model with how many layers."""

    model: str
    layers: int
    text: str
    max_tokens: int
    stream: bool
    chat: bool


class _Piece(msgspec.Struct, frozen=True):
    """The parts of a reply that the check needs."""

    text: str = ''
    finish_reason: str | None = None
    delta: dict[str, str] = {}
    message: dict[str, str] = {}


class _Reply(msgspec.Struct, frozen=True):
    choices: tuple[_Piece, ...] = ()
    error: msgspec.Raw = msgspec.Raw(b'')


class Reading:
    """What has been read of an answer so far."""

    __slots__ = ('finish', 'first_token', 'problem', 'text', 'whole')

    def __init__(self) -> None:
        self.text = ''
        self.finish = ''
        self.problem = ''
        self.first_token: float | None = None
        self.whole = False

    def take(self, reply: _Reply) -> None:
        """Take in a reply or one event of it."""
        for piece in reply.choices:
            chat = piece.delta.get('content') or piece.message.get('content')
            self.text += piece.text or chat or ''
            self.finish = piece.finish_reason or self.finish
        if self.text and self.first_token is None:
            self.first_token = time.monotonic()


class Caller:
    """Speaks for one client account."""

    __slots__ = ('headers', 'http', 'pool')

    def __init__(self, key: str) -> None:
        self.headers = {'Authorization': f'Bearer {key}'}
        self.pool = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)
        self.http = HttpClient(self.headers)

    def ask(self, node: str, prompt: Prompt, due: float) -> AnswerRecord:
        """Ask for an answer and check it against the model's own."""
        started = time.monotonic()
        reading = Reading()
        status = 0
        request_id = ''
        outcome = ''
        detail = ''
        try:
            response = self._send(node, prompt)
            status = response.status
            outcome = response.headers.get(OUTCOME_HEADER, '')
            request_id = response.headers.get(REQUEST_HEADER, '')
            _read(response, prompt.stream, reading)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            detail = f'{type(error).__name__}: {error}'
        return AnswerRecord(
            node=node,
            verdict=_judge(prompt, reading, status, outcome),
            due=due,
            started=started,
            first_token=reading.first_token if prompt.stream else None,
            ended=time.monotonic(),
            tokens=len(reading.text),
            status=status,
            request_id=request_id,
            detail=detail or reading.problem,
        )

    def operate(
        self,
        node: str,
        service: str,
        path: str,
        identity: str,
        body: bytes,
    ) -> CallRecord:
        """Run an operation that may not be repeated."""
        started = time.monotonic()
        reply = self.http.send(
            node,
            'POST',
            f'/v1/services/{service}{path}',
            body,
            timeout=ANSWER_SECONDS,
            headers={'Idempotency-Key': identity},
        )
        status = 0
        outcome = 'unknown'
        if isinstance(reply, Success):
            whole = reply.unwrap()
            status = whole.status
            outcome = _call_outcome(whole.status, whole.body)
        return CallRecord(
            node=node,
            identity=identity,
            status=status,
            outcome=outcome,
            started=started,
            ended=time.monotonic(),
        )

    def _send(self, node: str, prompt: Prompt) -> urllib3.BaseHTTPResponse:
        path = '/v1/chat/completions' if prompt.chat else '/v1/completions'
        asked: dict[str, object] = {
            'model': prompt.model,
            'max_tokens': prompt.max_tokens,
            'stream': prompt.stream,
        }
        if prompt.chat:
            message = {'role': 'user', 'content': prompt.text}
            asked['messages'] = [message]
        else:
            asked['prompt'] = prompt.text
        return self.pool.request(
            'POST',
            f'http://{node}{path}',
            body=msgspec.json.encode(asked),
            headers=self.headers,
            preload_content=False,
            timeout=ANSWER_SECONDS,
        )


def _read(
    response: urllib3.BaseHTTPResponse,
    stream: bool,
    reading: Reading,
) -> None:
    if response.status != HTTPStatus.OK or not stream:
        body = response.read()
        response.release_conn()
        if response.status == HTTPStatus.OK:
            reading.take(msgspec.json.decode(body, type=_Reply))
            reading.whole = True
        else:
            reading.problem = body.decode(errors='replace')
        return
    for line in read_lines(response):
        if not line.startswith(LINE_START):
            continue
        event = line.removeprefix(LINE_START)
        if event == DONE:
            reading.whole = True
        else:
            reading.take(msgspec.json.decode(event, type=_Reply))
    response.release_conn()


def _judge(
    prompt: Prompt,
    reading: Reading,
    status: int,
    outcome: str,
) -> Verdict:
    if status != HTTPStatus.OK:
        return Verdict.REFUSED if outcome == NOT_RUN else Verdict.FAILED
    text = f'user: {prompt.text}\nassistant:' if prompt.chat else prompt.text
    expected = expected_answer(prompt.layers, text, prompt.max_tokens)
    if reading.whole:
        return Verdict.WHOLE if reading.text == expected else Verdict.WRONG
    return Verdict.CUT if expected.startswith(reading.text) else Verdict.WRONG


def _call_outcome(status: int, body: bytes) -> str:
    if status == HTTPStatus.OK:
        return 'completed'
    found = msgspec.json.decode(body, type=dict)
    return found.get('error', {}).get('outcome', 'failed')
