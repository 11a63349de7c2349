"""Batches the steps that are waiting for the same engine."""

from collections import deque
from collections.abc import Callable
from functools import partial

import eventlet
from returns.result import Success

from wigeonspoke.core.actions import CancelStream, SendStep
from wigeonspoke.core.events import AnyEvent, StepFailed, StepReplied
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.endpoints import (
    BatchStepResult,
    CancelRequest,
    EngineClient,
    StepBatch,
    StepRequest,
    StepResult,
    StepStatus,
    StreamId,
)
from wigeonspoke.transport import HttpError

MAX_CONCURRENT_CALLS = 16
MAX_BATCH_SIZE = 64

_REFUSAL_REASONS = {
    StepStatus.BUSY: Reason.BUSY,
    StepStatus.REFUSED: Reason.REFUSED,
}


class StepBatcher:
    """Sends steps to one engine in batches and dispatches their results.

    Steps that are submitted before control returns to the event loop share a
    call, up to ``MAX_BATCH_SIZE`` of them.  While ``MAX_CONCURRENT_CALLS``
    calls are active, further steps are queued for the next one.
    """

    __slots__ = (
        'active_calls',
        'address',
        'dispatch',
        'engine',
        'model',
        'pending_cancels',
        'steps',
    )

    def __init__(
        self,
        model: str,
        address: str,
        engine: EngineClient,
        dispatch: Callable[[AnyEvent], None],
    ) -> None:
        self.model = model
        self.address = address
        self.engine = engine
        self.dispatch = dispatch
        self.steps: deque[SendStep] = deque()
        self.pending_cancels: list[StreamId] = []
        self.active_calls = 0

    def submit(self, step: SendStep) -> None:
        """Queue a step; it is sent when control returns to the event loop."""
        self.steps.append(step)
        if len(self.steps) == 1 and self.active_calls < MAX_CONCURRENT_CALLS:
            self.active_calls += 1
            eventlet.spawn(self._run_calls)

    def cancel(self, action: CancelStream) -> None:
        """Release a stream's state at the engine.

        Cancels are not retried: the engine expires unused streams itself.
        """
        self.pending_cancels.append(StreamId(action.request_id, action.attempt))
        if len(self.pending_cancels) == 1:
            eventlet.spawn(self._flush_cancels)

    def _run_calls(self) -> None:
        try:
            while self.steps:
                self._call_engine()
        finally:
            self.active_calls -= 1

    def _call_engine(self) -> None:
        size = min(len(self.steps), MAX_BATCH_SIZE)
        batch = [self.steps.popleft() for _ in range(size)]
        unfinished = dict(enumerate(batch))
        call_result = self.engine.run_steps(
            self.address,
            StepBatch(tuple(map(self._request, batch))),
            max(step.timeout_seconds for step in batch),
            partial(self._handle_result, unfinished),
        )
        call_error = HttpError(Outcome.UNKNOWN, Reason.CONTRACT, self.address)
        if not isinstance(call_result, Success):
            call_error = call_result.failure()
        for step in unfinished.values():
            self.dispatch(
                _failure_event(step, call_error.outcome, call_error.reason)
            )

    def _handle_result(
        self, unfinished: dict[int, SendStep], batch_result: BatchStepResult
    ) -> None:
        step = unfinished.pop(batch_result.position, None)
        if step:
            self.dispatch(_result_event(step, batch_result.result))

    def _flush_cancels(self) -> None:
        streams = tuple(self.pending_cancels)
        self.pending_cancels.clear()
        self.engine.cancel(self.address, CancelRequest(streams))

    def _request(self, step: SendStep) -> StepRequest:
        key = step.key
        return StepRequest(
            stream=StreamId(key.request_id, key.attempt),
            index=key.index,
            stage=key.stage,
            model=self.model,
            first_layer=step.layers.first,
            end_layer=step.layers.end,
            position=step.position,
            inputs=step.inputs,
        )


def _result_event(
    step: SendStep, result: StepResult
) -> StepReplied | StepFailed:
    if result.status is StepStatus.DONE:
        return StepReplied(
            step.key,
            step.endpoint,
            result.outputs,
            result.token,
        )
    return _failure_event(
        step, Outcome.NOT_RUN, _REFUSAL_REASONS[result.status]
    )


def _failure_event(
    step: SendStep, outcome: Outcome, reason: Reason
) -> StepFailed:
    return StepFailed(step.key, step.endpoint, outcome, reason)
