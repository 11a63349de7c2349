"""Tests of generation requests with step failures and timeouts."""

import random

import pytest

from wigeonspoke.core.actions import (
    CancelStream,
    EmitToken,
    FinishGeneration,
    SendStep,
)
from wigeonspoke.core.events import (
    CallerGone,
    ConfigurationAdopted,
    ProbeCompleted,
    StepFailed,
    StepReplied,
    StopRequested,
    TimerFired,
)
from wigeonspoke.core.generation import MAX_FAILED_ATTEMPTS
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.core.router import Router
from wigeonspoke.core.tests.examples import (
    ENGINES,
    PROMPT,
    make_configuration,
    make_engine,
    make_request,
)


def _router(engines=ENGINES):
    router = Router('n1', 'a', random.Random(3))
    router.handle(ConfigurationAdopted(make_configuration(1, engines)), 0)
    return router


def _of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def _step(actions):
    return _of_type(actions, SendStep)[-1]


def _reply(router, step, now=0.1, token=None):
    outputs = step.inputs if token is None else ()
    return router.handle(
        StepReplied(step.key, step.endpoint, outputs, token),
        now,
    )


def _fail(router, step, reason, outcome=Outcome.UNKNOWN, now=0.1):
    return router.handle(
        StepFailed(step.key, step.endpoint, outcome, reason),
        now,
    )


def test_steps_run_in_layer_order_and_tokens_are_emitted_in_order():
    router = _router()
    first = _step(router.handle(make_request(max_tokens=2), 0))
    assert (first.endpoint, first.inputs, first.position) == ('a1', PROMPT, 0)
    second = _step(_reply(router, first))
    assert (second.endpoint, second.position) == ('a2', 0)
    actions = _reply(router, second, token=65)
    assert _of_type(actions, EmitToken) == [EmitToken('r1', 0, 65)]
    third = _step(actions)
    assert (third.inputs, third.position) == ((65,), len(PROMPT))
    last = _reply(router, _step(_reply(router, third)), token=66)
    assert _of_type(last, FinishGeneration)[0].error is None
    assert len(_of_type(last, CancelStream)) == 2


@pytest.mark.parametrize(
    ('reason', 'outcome'),
    [
        (Reason.RESET, Outcome.UNKNOWN),
        (Reason.TIMEOUT, Outcome.UNKNOWN),
        (Reason.CONNECT, Outcome.NOT_RUN),
        (Reason.BUSY, Outcome.NOT_RUN),
        (Reason.REFUSED, Outcome.NOT_RUN),
    ],
)
def test_failed_step_starts_a_new_attempt_on_other_endpoints(reason, outcome):
    router = _router()
    first = _step(router.handle(make_request(), 0))
    emitted = _reply(router, _step(_reply(router, first)), token=65)
    actions = _fail(router, _step(emitted), reason, outcome)
    rebuilt = _step(actions)
    assert rebuilt.key.attempt == 2
    assert rebuilt.endpoint == 'b1'
    assert (rebuilt.inputs, rebuilt.position) == ((*PROMPT, 65), 0)
    cancelled = [cancel.endpoint for cancel in _of_type(actions, CancelStream)]
    assert cancelled == ['a1', 'a2']


def _refuse_until_sent(router, actions, times):
    """Refuse the second stage's steps; return the next step and its time."""
    now = 0.1
    for _ in range(times):
        while not _of_type(actions, SendStep):
            now = round(now + 0.05, 3)
            actions = router.handle(TimerFired(), now)
        step = _step(actions)
        if step.key.stage == 0:
            step = _step(_reply(router, step, now))
        actions = _fail(router, step, Reason.BUSY, Outcome.NOT_RUN, now)
    while not _of_type(actions, SendStep):
        now = round(now + 0.05, 3)
        actions = router.handle(TimerFired(), now)
    return _step(actions), now


def test_refusals_do_not_count_as_failed_attempts():
    router = _router()
    actions = router.handle(make_request(max_tokens=1), 0.05)
    step, now = _refuse_until_sent(router, actions, 30)
    if step.key.stage == 0:
        step = _step(_reply(router, step, now))
    ended = _of_type(_reply(router, step, now, token=65), FinishGeneration)
    assert ended[0].error is None


def test_attempts_with_unknown_outcome_are_limited():
    router = _router()
    actions = router.handle(make_request(), 0.05)
    for number in range(MAX_FAILED_ATTEMPTS):
        step = _step(actions)
        now = 1 + number
        actions = _fail(router, step, Reason.RESET, Outcome.UNKNOWN, now)
        router.handle(ProbeCompleted(step.endpoint, healthy=True), now)
        if not _of_type(actions, SendStep):
            actions.extend(router.handle(TimerFired(), now + 0.5))
    ended = _of_type(actions, FinishGeneration)
    assert ended[0].error.reason is Reason.ATTEMPTS_SPENT


def test_reply_to_an_earlier_attempt_is_dropped():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    _fail(router, first, Reason.TIMEOUT)
    assert not _reply(router, first)
    assert router.view.counters['reply_dropped', 'not-outstanding'] == 1


def test_duplicate_reply_is_dropped():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    _reply(router, first)
    assert not _reply(router, first)


def test_invalid_reply_counts_as_failure():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    invalid = StepReplied(first.key, first.endpoint, (1,), None)
    assert _step(router.handle(invalid, 0.1)).key.attempt == 2


def test_unanswered_step_fails_after_its_timeout():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    waited = first.timeout_seconds
    assert not _of_type(_tick_until(router, 0.05, waited - 0.05), SendStep)
    rebuilt = _step(_tick_until(router, waited, waited + 0.1))
    assert (rebuilt.key.attempt, rebuilt.endpoint) == (2, 'b1')


def _tick_until(router, start, end):
    """Fire a router's timer every 50 ms, too often to look like a pause."""
    actions = []
    now = start
    while now <= end:
        actions.extend(router.handle(TimerFired(), now))
        now = round(now + 0.05, 3)
    return actions


def test_paused_node_does_not_eject_its_endpoints():
    router = _router()
    first = _step(router.handle(make_request(), 0.05))
    _tick_until(router, 0.05, 0.2)
    resumed_at = 50
    assert (
        router.handle(TimerFired(), resumed_at - 0.1)[-1].kind == 'node-paused'
    )
    assert _step(_reply(router, first, now=resumed_at)).endpoint == 'a2'
    assert not router.view.ejected


def test_step_unanswered_after_the_grace_period_fails():
    router = _router()
    router.handle(make_request(), 0.05)
    _tick_until(router, 0.05, 0.2)
    rebuilt = _step(_tick_until(router, 50, 51))
    assert (rebuilt.key.attempt, rebuilt.endpoint) == (2, 'b1')


def test_disconnected_caller_cancels_its_request():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    actions = router.handle(CallerGone('r1'), 0.1)
    assert len(_of_type(actions, CancelStream)) == 2
    assert not _reply(router, first)
    assert router.is_idle


def test_excess_request_waits_in_the_queue_and_expires_as_not_run():
    engines = (make_engine('a1', 'a', 0, 4, max_streams=1),)
    router = _router(engines)
    assert _of_type(router.handle(make_request('r1'), 0), SendStep)
    assert not router.handle(make_request('r2'), 0)
    finished = _of_type(router.handle(TimerFired(), 5), FinishGeneration)
    ended = {finish.request_id: finish.error.outcome for finish in finished}
    assert ended['r2'] is Outcome.NOT_RUN


@pytest.mark.parametrize(
    ('prepare', 'reason'),
    [
        (
            lambda router: router.handle(StopRequested(), 0),
            Reason.STOPPING,
        ),
        (
            lambda router: [
                router.handle(make_request(f'q{number}', 'small'), 0)
                for number in range(2)
            ],
            Reason.ACCOUNT_LIMIT,
        ),
        (
            lambda router: router.view.models.clear(),
            Reason.NO_CONFIGURATION,
        ),
    ],
)
def test_refusal_has_outcome_not_run_and_a_retry_delay(prepare, reason):
    router = _router()
    prepare(router)
    refused = _of_type(
        router.handle(make_request('r9', 'small'), 0),
        FinishGeneration,
    )
    assert refused[0].error.outcome is Outcome.NOT_RUN
    assert refused[0].error.reason is reason
    assert refused[0].retry_after_seconds > 0


def test_running_request_keeps_an_endpoint_removed_from_the_configuration():
    router = _router()
    first = _step(router.handle(make_request(), 0))
    newer = make_configuration(2, ENGINES[2:])
    router.handle(ConfigurationAdopted(newer), 0.05)
    assert _step(_reply(router, first)).endpoint == 'a2'
