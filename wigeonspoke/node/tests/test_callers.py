"""End-to-end tests of the callers' API on real sockets."""

import time

import eventlet
import msgspec
import openai
import pytest
from returns.result import Success

from wigeonspoke.core.membership import MarkState
from wigeonspoke.load import AnswerResult, Caller, PromptRequest
from wigeonspoke.node.callers_app import chat_prompt
from wigeonspoke.node.openai_messages import ChatMessage
from wigeonspoke.standins import Fault, expected_answer
from wigeonspoke.standins.platform import FaultKind
from wigeonspoke.store import HostEntry
from wigeonspoke.transport import HttpClient

MODEL_LAYERS = 24
ACCOUNT_KEY = 'demo-key-packer-1'


def _openai_client(deployment):
    address = deployment.nodes[0].callers.address
    return openai.OpenAI(
        base_url=f'http://{address}/v1',
        api_key=ACCOUNT_KEY,
        max_retries=0,
    )


def _post(deployment, path, body, key=ACCOUNT_KEY, node=0):
    client = HttpClient({'Authorization': f'Bearer {key}'})
    encoded = body if isinstance(body, bytes) else msgspec.json.encode(body)
    address = deployment.nodes[node].callers.address
    return client.post(address, path, encoded, 10).unwrap()


def _error(reply):
    return msgspec.json.decode(reply.body)['error']


def test_openai_client_receives_complete_and_streamed_answers(deployment):
    client = _openai_client(deployment)
    assert [model.id for model in client.models.list()] == ['drafting']
    completion = client.completions.create(
        model='drafting',
        prompt='resin',
        max_tokens=6,
    )
    assert completion.choices[0].text == expected_answer(
        MODEL_LAYERS, 'resin', 6
    )
    assert completion.usage.total_tokens == 5 + len(completion.choices[0].text)
    message = {'role': 'user', 'content': 'año'}
    chunks = client.chat.completions.create(
        model='drafting',
        messages=[message],
        max_tokens=6,
        stream=True,
    )
    text = ''.join(chunk.choices[0].delta.content or '' for chunk in chunks)
    prompt = chat_prompt((ChatMessage('user', 'año'),))
    assert text == expected_answer(MODEL_LAYERS, prompt, 6)


@pytest.mark.parametrize(
    ('path', 'body', 'key', 'status', 'code'),
    [
        ('/v1/completions', b'{', ACCOUNT_KEY, 400, 'invalid_json'),
        ('/v1/completions', b'\xff', ACCOUNT_KEY, 400, 'invalid_json'),
        (
            '/v1/completions',
            {'model': 'drafting'},
            ACCOUNT_KEY,
            422,
            'invalid_field',
        ),
        (
            '/v1/completions',
            {'model': 'drafting', 'prompt': 7},
            ACCOUNT_KEY,
            422,
            'invalid_field',
        ),
        (
            '/v1/completions',
            {'model': 'drafting', 'prompt': 'x', 'max_tokens': 0},
            ACCOUNT_KEY,
            422,
            'invalid_field',
        ),
        (
            '/v1/completions',
            {'model': 'drafting', 'prompt': 'x' * 2048},
            ACCOUNT_KEY,
            400,
            'context_length_exceeded',
        ),
        (
            '/v1/completions',
            {'model': 'other', 'prompt': 'x'},
            ACCOUNT_KEY,
            404,
            'model_not_found',
        ),
        (
            '/v1/completions',
            {'model': 'drafting', 'prompt': 'x'},
            'wrong',
            401,
            'invalid_key',
        ),
        (
            '/v1/completions',
            {'model': 'drafting', 'prompt': 'x'},
            '',
            401,
            'invalid_key',
        ),
        (
            '/v1/chat/completions',
            {'model': 'drafting', 'messages': []},
            ACCOUNT_KEY,
            422,
            'invalid_field',
        ),
        (
            '/v1/completions',
            b'x' * 1_100_000,
            ACCOUNT_KEY,
            413,
            'body_too_large',
        ),
        ('/v1/nothing', {}, ACCOUNT_KEY, 404, 'not_found'),
        (
            '/v1/services/filing/submissions',
            {},
            ACCOUNT_KEY,
            400,
            'identity_required',
        ),
        (
            '/v1/services/filing/other',
            {},
            ACCOUNT_KEY,
            404,
            'operation_not_found',
        ),
        ('/v1/services/other/x', {}, ACCOUNT_KEY, 404, 'operation_not_found'),
    ],
)
def test_invalid_request_is_rejected_before_any_step_or_call(
    deployment,
    path,
    body,
    key,
    status,
    code,
):
    reply = _post(deployment, path, body, key)
    assert reply.status == status
    assert _error(reply)['code'] == code
    assert not deployment.execution_log.steps
    assert not deployment.execution_log.calls


def test_disconnect_of_caller_releases_streams(deployment):
    for engine in deployment.engines:
        engine.slowdown = 10
    body = {'model': 'drafting', 'prompt': 'x', 'max_tokens': 500}
    client = HttpClient({'Authorization': f'Bearer {ACCOUNT_KEY}'})
    address = deployment.nodes[0].callers.address
    encoded = msgspec.json.encode(body)
    sent = client.post(address, '/v1/completions', encoded, 0.5)
    assert not isinstance(sent, Success)
    eventlet.sleep(1)
    assert not any(engine.streams for engine in deployment.engines)
    assert deployment.nodes[0].runtime.router.is_idle


def _generate(deployment, tokens=30, stream=True, node=0):
    prompt = PromptRequest(
        'drafting', MODEL_LAYERS, 'declaration', tokens, stream, False
    )
    address = deployment.nodes[node].callers.address
    return Caller(ACCOUNT_KEY).request_answer(address, prompt, 0)


@pytest.mark.parametrize('stream', [True, False])
def test_answer_is_complete_after_stage_failures(deployment, stream):
    pending = eventlet.spawn(_generate, deployment, 40, stream)
    eventlet.sleep(0.3)
    used = {step.endpoint for step in deployment.execution_log.steps}
    for engine in deployment.engines[:5]:
        if engine.name in used:
            engine.kill()
    assert pending.wait().result is AnswerResult.WHOLE
    assert deployment.execution_log.check().layers_out_of_order == 0


def test_unfinished_answer_is_not_reported_as_success(deployment):
    pending = eventlet.spawn(_generate, deployment, 200)
    eventlet.sleep(0.3)
    for engine in deployment.engines:
        engine.kill()
    deployment.nodes[0].runtime.view.models['drafting'] = (
        msgspec.structs.replace(
            deployment.nodes[0].runtime.view.models['drafting'],
            queue_seconds=0.2,
        )
    )
    assert pending.wait().result is AnswerResult.CUT


def test_graceful_stop_completes_open_requests(deployment):
    pending = [
        eventlet.spawn(_generate, deployment, 40, True, 2) for _ in range(8)
    ]
    eventlet.sleep(0.2)
    stopping = eventlet.spawn(deployment.nodes[2].stop)
    eventlet.sleep(0.1)
    assert not deployment.nodes[2].is_ready
    assert _generate(deployment, 5, True, 2).result is AnswerResult.WHOLE
    verdicts = {answer.wait().result for answer in pending}
    stopping.wait()
    assert verdicts == {AnswerResult.WHOLE}


@pytest.mark.parametrize('store_down', [False, True])
def test_drain_mark_set_at_one_node_reaches_all(deployment, store_down):
    if store_down:
        outage = Fault(FaultKind.OUTAGE, 'marks', count=0)
        deployment.platform.faults.append(outage)
    name = deployment.engines[0].name
    assert deployment.nodes[5].mark_sync.set_mark(name, MarkState.DRAIN, 0)
    eventlet.sleep(1.5)
    states = {node.runtime.view.marks.state(name) for node in deployment.nodes}
    assert states == {MarkState.DRAIN}


def test_endpoint_on_leaving_host_receives_no_new_streams(deployment):
    endpoint = deployment.engines[0]
    leaving = HostEntry('h', endpoint.address, 'ar-centro-1', leaving=True)
    deployment.platform.host_entries = (
        *deployment.platform.host_entries,
        leaving,
    )
    eventlet.sleep(2)
    listed_at = time.monotonic()
    assert {_generate(deployment, 5).result for _ in range(4)} == {
        AnswerResult.WHOLE
    }
    assert (
        deployment.execution_log.count_streams_opened_after(
            endpoint.name, listed_at
        )
        == 0
    )


def _submit(deployment, identity, body=b'{}', node=0):
    address = deployment.nodes[node].callers.address
    client = HttpClient(
        {
            'Authorization': f'Bearer {ACCOUNT_KEY}',
            'Idempotency-Key': identity,
        }
    )
    path = '/v1/services/filing/submissions'
    return client.post(address, path, body, 10).unwrap()


def test_repeat_receives_stored_reply_unchanged(deployment):
    first = _submit(deployment, 'op-1')
    eventlet.sleep(0.2)
    again = _submit(deployment, 'op-1', node=3)
    assert (first.status, again.body) == (200, first.body)
    assert len(deployment.execution_log.calls) == 1
    assert _submit(deployment, 'op-1', b'{"other": 1}').status == 422


def test_concurrent_repeats_at_all_nodes_run_once(deployment):
    sent = [
        eventlet.spawn(_submit, deployment, 'op-1', b'{}', node)
        for node in range(6)
    ]
    replies = [reply.wait() for reply in sent]
    assert len(deployment.execution_log.calls) == 1
    assert {reply.status for reply in replies} <= {200, 409}
    assert len({reply.body for reply in replies if reply.is_ok}) == 1


@pytest.mark.parametrize(
    ('kind', 'count', 'status', 'runs'),
    [
        (FaultKind.LOST_ANSWER, 1, 200, 1),
        (FaultKind.LOST_ANSWER, 3, 200, 1),
        (FaultKind.OUTAGE, 0, 503, 0),
        (FaultKind.ERROR_BEFORE, 1, 503, 0),
    ],
)
def test_store_faults(deployment, kind, count, status, runs):
    deployment.platform.faults.append(Fault(kind, 'claims', count))
    reply = _submit(deployment, 'op-1')
    assert (reply.status, len(deployment.execution_log.calls)) == (status, runs)
    if status == 503:
        assert _error(reply)['outcome'] == 'not-run'


def test_outcome_of_call_is_unknown_after_replica_failure(deployment):
    for replica in deployment.service_replicas:
        replica.work_seconds = 5
    sent = eventlet.spawn(_submit, deployment, 'op-1')
    eventlet.sleep(0.2)
    for replica in deployment.service_replicas:
        replica.kill()
    reply = sent.wait()
    assert (reply.status, _error(reply)['outcome']) == (504, 'unknown')
    eventlet.sleep(0.3)
    assert _error(_submit(deployment, 'op-1', node=1))['outcome'] == 'unknown'
    outcome = HttpClient({'Authorization': f'Bearer {ACCOUNT_KEY}'}).get(
        deployment.nodes[2].callers.address,
        '/v1/outcomes/filing/op-1',
    )
    assert b'"unknown"' in outcome.unwrap().body


def test_claim_is_released_if_no_replica_is_reachable(deployment):
    for replica in deployment.service_replicas:
        replica.kill()
    reply = _submit(deployment, 'op-1')
    assert (reply.status, _error(reply)['outcome']) == (503, 'not-run')
    eventlet.sleep(0.3)
    assert 'claims' in deployment.platform.tables
    assert not deployment.platform.tables['claims']
