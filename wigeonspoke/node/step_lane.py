"""Steps to one engine; those that wait at the same time share a call."""

from collections import deque
from collections.abc import Callable

import eventlet
from returns.result import Success

from wigeonspoke.core.actions import CancelStream, SendStep
from wigeonspoke.core.events import AnyEvent, StepFailed, StepReplied
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.endpoints import (
    CancelRequest,
    EngineClient,
    StepBatch,
    StepRequest,
    StepResult,
    StepStatus,
    StreamId,
)
from wigeonspoke.transport import HttpError

MAX_CALLS = 4
MAX_STEPS = 64

_REASONS = {
    StepStatus.BUSY: Reason.BUSY,
    StepStatus.REFUSED: Reason.REFUSED,
}


class StepLane:
    """Sends steps to one engine and delivers their ends as events.

    While all calls of the lane are out, further steps gather and go
    together in the next call.  Steps with many inputs take longer and go
    in calls of their own, so that short steps do not wait for them.
    """

    __slots__ = (
        'address',
        'calls',
        'cancels',
        'deliver',
        'engine',
        'long_steps',
        'model',
        'short_steps',
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
        self.short_steps: deque[SendStep] = deque()
        self.long_steps: deque[SendStep] = deque()
        self.cancels: list[StreamId] = []
        self.calls = 0

    def put(self, step: SendStep) -> None:
        """Send a step as soon as a call is free."""
        if len(step.inputs) > 1:
            self.long_steps.append(step)
            eventlet.spawn(self._flush, self.long_steps)
            return
        self.short_steps.append(step)
        if self.calls < MAX_CALLS:
            self.calls += 1
            eventlet.spawn(self._run)

    def cancel(self, action: CancelStream) -> None:
        """Free a stream's state; a lost cancel is the engine's to expire."""
        self.cancels.append(StreamId(action.request_id, action.attempt))
        if len(self.cancels) == 1:
            eventlet.spawn(self._flush_cancels)

    def _run(self) -> None:
        try:
            while self.short_steps:
                self._flush(self.short_steps)
        finally:
            self.calls -= 1

    def _flush(self, queue: deque[SendStep]) -> None:
        size = min(len(queue), MAX_STEPS)
        steps = [queue.popleft() for _ in range(size)]
        if not steps:
            return
        batch = StepBatch(tuple(self._request(step) for step in steps))
        timeout = max(step.timeout_seconds for step in steps)
        answer = self.engine.run_steps(self.address, batch, timeout)
        if not isinstance(answer, Success):
            self._deliver_error(steps, answer.failure())
            return
        ends = answer.unwrap().results
        if len(ends) != len(steps):
            broken = HttpError(Outcome.UNKNOWN, Reason.CONTRACT, self.address)
            self._deliver_error(steps, broken)
            return
        for step, end in zip(steps, ends, strict=True):
            self.deliver(_event(step, end))

    def _flush_cancels(self) -> None:
        streams = tuple(self.cancels)
        self.cancels.clear()
        self.engine.cancel(self.address, CancelRequest(streams))

    def _deliver_error(self, steps: list[SendStep], error: HttpError) -> None:
        for step in steps:
            self.deliver(
                StepFailed(
                    step.key,
                    step.endpoint,
                    error.outcome,
                    error.reason,
                ),
            )

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


def _event(step: SendStep, end: StepResult) -> StepReplied | StepFailed:
    if end.status is StepStatus.DONE:
        return StepReplied(step.key, step.endpoint, end.outputs, end.token)
    reason = _REASONS[end.status]
    return StepFailed(step.key, step.endpoint, Outcome.NOT_RUN, reason)
