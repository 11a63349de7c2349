"""Explanations of decisions, served by a node on sockets."""

import copy
import pickle
import time
from http.client import HTTPConnection
from urllib.parse import urlencode

import msgspec
import pytest
from click.testing import CliRunner

from wigeonspoke.cli import main
from wigeonspoke.core.explanation import Explanation, RequestQuestion
from wigeonspoke.platform.tests.harness import HOST
from wigeonspoke.platform.tests.stream_requests import (
    head_engine,
    request_stream,
)


def _ask(harness, path='/draft/x', method='GET', **fields):
    query = {'host': HOST, 'path': path, 'account': 'acme', **fields}
    connection = HTTPConnection(harness.node.metrics.address)
    connection.request(method, f'/explain?{urlencode(query)}')
    response = connection.getresponse()
    body = response.read()
    connection.close()
    if response.status != 200:
        return response.status
    return msgspec.json.decode(body, type=Explanation)


def _reasons(explanation, endpoint_id):
    service = explanation.services[0]
    return {
        finding.reason: finding.rules_out
        for candidate in (*service.candidates, *service.left_out)
        if candidate.endpoint_id == endpoint_id
        for finding in candidate.findings
    }


def _explain_chain(harness, zone='one', **fields):
    head = head_engine(harness, zone).endpoint_id
    return _reasons(_ask(harness, **fields), head)


def _chain(harness, zone='one'):
    return next(
        chain for chain in harness.chains() if chain.head.failure_domain == zone
    )


# An explanation that differs from the decision misleads whoever is on call.
def test_the_chosen_chain_gets_the_stream(placed_harness):
    explanation = _ask(placed_harness)
    service = explanation.services[0]
    head = head_engine(placed_harness, 'one')
    assert service.chosen == head.endpoint_id
    assert explanation.kind == 'stream'
    assert explanation.rank == 1
    assert explanation.registry_age >= 0
    assert len(service.candidates) == 2
    assert _reasons(
        explanation, head_engine(placed_harness, 'two').endpoint_id
    ) == {'other-domain': False}
    assert not head.runs
    assert request_stream(placed_harness)[0] == 200
    assert len(head.runs) == 1


# Each state is set as the node's own code sets it.
@pytest.mark.parametrize(
    ('spoil', 'reason', 'rules_out'),
    [
        (
            lambda state, chain, now: (
                state.availability.backoffs.record_refusal(
                    chain.head.start_id, 5, now, now
                )
            ),
            'backoff',
            True,
        ),
        (
            lambda state, chain, now: state.limits.record_answer(
                chain.head.start_id, 0.01, now
            ),
            'limit',
            True,
        ),
        (
            lambda state, chain, now: state.suspects.deprioritize(
                chain.head.endpoint_id, now + 5
            ),
            'deprioritized',
            False,
        ),
        (
            lambda state, chain, now: state.suspects.record_slowdown(
                chain.head, 3, now
            ),
            'slow',
            False,
        ),
        (
            lambda state, chain, now: state.chains.peer_load.update(
                'peer', {chain.head.endpoint_id: 500}
            ),
            'full',
            False,
        ),
        (
            lambda state, chain, now: state.chains.record_refusal(
                chain, now + 5
            ),
            'concurrency-limit',
            True,
        ),
        (
            lambda state, chain, now: state.fleet.record_leaving(
                chain.head.start_id, now
            ),
            'leaving',
            True,
        ),
        (
            lambda state, chain, now: state.suspects.suspect(
                chain.head, 'silent', now + 5
            ),
            'suspect',
            True,
        ),
    ],
)
def test_what_is_known_against_a_chain(
    placed_harness, spoil, reason, rules_out
):
    state = placed_harness.node.state
    chain = _chain(placed_harness)
    state.chains.in_flight[chain.head.endpoint_id] = 5
    spoil(state, chain, time.monotonic())
    explanation = _ask(placed_harness)
    head = chain.head.endpoint_id
    assert _reasons(explanation, head)[reason] == rules_out
    other = head_engine(placed_harness, 'two').endpoint_id
    assert explanation.services[0].chosen == other


def test_replicas_of_a_call(harness):
    replica = harness.node.state.fleet.endpoints['r-one']
    for _ in range(3):
        harness.node.state.replicas.record_failure(
            replica, 'connect-failed', time.monotonic() + 5
        )
    explanation = _ask(harness, '/read/x')
    assert explanation.services[0].chosen == 'r-two'
    assert explanation.kind == 'safe'
    assert 'ejected' in _reasons(explanation, 'r-one')
    assert _reasons(explanation, 'r-two') == {'other-domain': False}


@pytest.mark.parametrize(
    ('fields', 'refusal'),
    [
        ({'path': '/none'}, 'no-rule'),
        ({'host': 'other.example'}, 'no-rule'),
        ({'account': 'nobody'}, 'no-account'),
    ],
)
def test_requests_that_are_refused_at_once(harness, fields, refusal):
    assert _ask(harness, **fields).refusal == refusal


def test_questions_that_cannot_be_read(harness):
    assert _ask(harness, prompt_tokens='many') == 400
    assert _ask(harness, method='POST') == 400


def _snapshot(state):
    return pickle.dumps(
        copy.deepcopy(
            (
                state.chains.in_flight,
                state.chains.concurrency_limits.limits,
                state.replicas.in_flight,
                state.replicas.health,
                state.availability.backoffs.backoffs,
                state.limits.limits,
                state.budgets,
                state.suspects.suspicions,
                state.counters,
                state.rng.getstate(),
                state.part_watch.registry.suspicions,
            )
        )
    )


# A question that takes a token, claims a trial or draws a random number
# changes what happens to the next request.
def test_an_explanation_changes_nothing(placed_harness):
    state = placed_harness.node.state
    chain = _chain(placed_harness)
    now = time.monotonic()
    state.budget('drafting').record_request(now)
    state.limits.record_answer(chain.head.start_id, 50, now)
    state.chains.record_refusal(chain, now)
    state.availability.backoffs.record_refusal(
        state.fleet.endpoints['r-one'].start_id, 0.01, now, now
    )
    questions = [
        RequestQuestion(HOST, path, 'acme', 100, 100)
        for path in ('/draft/x', '/read/x', '/write/x', '/none')
    ]
    # Nothing else runs meanwhile, since there is no input or output.
    before = _snapshot(state)
    for question in questions:
        # By then all that is known of the endpoints has expired.
        assert placed_harness.node.explain.explain(question, now + 20)
        assert placed_harness.node.explain.explain(question, now + 0.1)
    assert _snapshot(state) == before


def test_the_metrics_are_still_served(harness):
    connection = HTTPConnection(harness.node.metrics.address)
    connection.request('GET', '/metrics')
    assert b'wigeonspoke_ingress_endpoints' in connection.getresponse().read()
    connection.close()


def _run(node, *options):
    command = ['explain', '--node', node, '--host', HOST, '--path', '/draft/x']
    return CliRunner().invoke(main, [*command, '--account', 'acme', *options])


def test_command(placed_harness):
    node = placed_harness.node.metrics.address
    head = head_engine(placed_harness, 'one').endpoint_id
    printed = _run(node, '--tokens', '100,50')
    assert printed.exit_code == 0
    assert f'drafting (100% of requests): to {head}' in printed.output
    assert f'* {head} in one, 0 own and 0 of peers' in printed.output
    as_json = msgspec.json.decode(_run(node, '--json').output, type=Explanation)
    assert as_json.services[0].chosen == head
    assert _run(node, '--tokens', '100').exit_code == 2
    assert _run('127.0.0.1:1').exit_code == 3
