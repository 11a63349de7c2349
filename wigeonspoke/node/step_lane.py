"""Steps to one engine; those that wait at the same time share a call."""

from collections import deque
from collections.abc import Callable
from functools import partial

import eventlet
from returns.result import Success

from wigeonspoke.core.actions import CancelStream, SendStep
from wigeonspoke.core.events import AnyEvent, StepFailed, StepReplied
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.endpoints import (
    CancelRequest,
    EngineClient,
    StepBatch,
    StepEnd,
    StepRequest,
    StepResult,
    StepStatus,
    StreamId,
)
from wigeonspoke.transport import HttpError

MAX_CALLS = 16
MAX_STEPS = 64

_REASONS = {
    StepStatus.BUSY: Reason.BUSY,
    StepStatus.REFUSED: Reason.REFUSED,
}


class StepLane:
    """Sends steps to one engine and delivers their ends as events.

    Steps of one turn of the loop go together.  While all calls of the lane
    are out, further steps gather for the next one.
    """

    __slots__ = (
        'address',
        'calls',
        'cancels',
        'deliver',
        'engine',
        'model',
        'steps',
    )

    def __init__(
        self,
        model: str,
        address: str,
        engine: EngineClient,
        deliver: Callable[[AnyEvent], None],
    ) -> None:
        self.model = model
        self.address = address
        self.engine = engine
        self.deliver = deliver
        self.steps: deque[SendStep] = deque()
        self.cancels: list[StreamId] = []
        self.calls = 0

    def put(self, step: SendStep) -> None:
        """Send a step with the others of this turn of the loop."""
        self.steps.append(step)
        if len(self.steps) == 1 and self.calls < MAX_CALLS:
            self.calls += 1
            eventlet.spawn(self._run)

    def cancel(self, action: CancelStream) -> None:
        """Free a stream's state; a lost cancel is the engine's to expire."""
        self.cancels.append(StreamId(action.request_id, action.attempt))
        if len(self.cancels) == 1:
            eventlet.spawn(self._flush_cancels)

    def _run(self) -> None:
        try:
            while self.steps:
                self._call()
        finally:
            self.calls -= 1

    def _call(self) -> None:
        size = min(len(self.steps), MAX_STEPS)
        steps = [self.steps.popleft() for _ in range(size)]
        waiting = dict(enumerate(steps))
        answer = self.engine.run_steps(
            self.address,
            StepBatch(tuple(map(self._request, steps))),
            max(step.timeout_seconds for step in steps),
            partial(self._take_end, waiting),
        )
        error = HttpError(Outcome.UNKNOWN, Reason.CONTRACT, self.address)
        if not isinstance(answer, Success):
            error = answer.failure()
        for step in waiting.values():
            self.deliver(_failure(step, error.outcome, error.reason))

    def _take_end(self, waiting: dict[int, SendStep], end: StepEnd) -> None:
        step = waiting.pop(end.position, None)
        if step:
            self.deliver(_event(step, end.result))

    def _flush_cancels(self) -> None:
        streams = tuple(self.cancels)
        self.cancels.clear()
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


def _event(step: SendStep, result: StepResult) -> StepReplied | StepFailed:
    if result.status is StepStatus.DONE:
        return StepReplied(
            step.key,
            step.endpoint,
            result.outputs,
            result.token,
        )
    return _failure(step, Outcome.NOT_RUN, _REASONS[result.status])


def _failure(step: SendStep, outcome: Outcome, reason: Reason) -> StepFailed:
    return StepFailed(step.key, step.endpoint, outcome, reason)
