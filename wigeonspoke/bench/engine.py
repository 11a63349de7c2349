"""Simulated engine with continuous batching and fault injection."""

from collections import deque
from collections.abc import Callable

from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core.actions import SendStep
from wigeonspoke.core.deployment import Engine
from wigeonspoke.core.events import StepFailed, StepReplied
from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.standins.model import StandInModel, activation_to_token

StepEvent = StepReplied | StepFailed
ReplyCallback = Callable[[StepEvent], None]
StreamKey = tuple[str, int]


class _Stream:
    __slots__ = ('model', 'position')

    def __init__(self, engine: Engine) -> None:
        self.model = StandInModel(engine.layers.first, engine.layers.end)
        self.position = 0


class VirtualEngine:
    """Runs steps in virtual time and passes the replies to callbacks.

    A hung engine accepts steps but neither finishes nor starts a batch.
    ``slowdown`` multiplies the time of a step.  ``kill_count`` identifies
    batches that were started before the engine was killed.  For checks,
    ``stream_open_times`` holds the times at which streams were opened, and
    ``step_runs`` counts the runs of each step.
    """

    __slots__ = (
        'alive',
        'busy',
        'hung',
        'is_last_stage',
        'kill_count',
        'queue',
        'record',
        'scheduler',
        'slowdown',
        'step_runs',
        'stream_open_times',
        'streams',
    )

    def __init__(
        self,
        record: Engine,
        layers: int,
        scheduler: Scheduler,
    ) -> None:
        self.record = record
        self.is_last_stage = record.layers.end == layers
        self.scheduler = scheduler
        self.alive = True
        self.hung = False
        self.slowdown = 1.0
        self.busy = False
        self.kill_count = 0
        self.streams: dict[StreamKey, _Stream] = {}
        self.queue: deque[tuple[SendStep, ReplyCallback]] = deque()
        self.stream_open_times: list[float] = []
        self.step_runs: dict[StepKey, int] = {}

    def submit(self, step: SendStep, send_reply: ReplyCallback) -> None:
        """Queue a step, or refuse it immediately."""
        if not self.alive:
            send_reply(_step_failure(step, Outcome.NOT_RUN, Reason.CONNECT))
            return
        refusal = self._reserve_step(step)
        if refusal:
            send_reply(_step_failure(step, Outcome.NOT_RUN, refusal))
            return
        self.queue.append((step, send_reply))
        self._start_batch()

    def cancel(self, stream: StreamKey) -> None:
        """Release the state of a stream."""
        self.streams.pop(stream, None)

    def kill(self) -> None:
        """Stop the engine, losing its state and resetting all connections."""
        self.alive = False
        self.busy = False
        self.kill_count += 1
        self.streams.clear()
        pending = tuple(self.queue)
        self.queue.clear()
        for step, send_reply in pending:
            send_reply(_step_failure(step, Outcome.UNKNOWN, Reason.RESET))

    def restart(self) -> None:
        """Start the engine again, without state."""
        self.alive = True

    def _reserve_step(self, step: SendStep) -> Reason | None:
        key = (step.key.request_id, step.key.attempt)
        if step.position == 0:
            if len(self.streams) >= self.record.max_streams:
                return Reason.BUSY
            if key in self.streams:
                return Reason.REFUSED
            self.streams[key] = _Stream(self.record)
            self.stream_open_times.append(self.scheduler.now)
        stream = self.streams.get(key)
        if stream is None or stream.position != step.position:
            return Reason.REFUSED
        stream.position += len(step.inputs)
        return None

    def _start_batch(self) -> None:
        if self.busy or self.hung or not self.queue:
            return
        self.busy = True
        size = min(len(self.queue), self.record.max_batch)
        seconds = self.record.step_seconds * self.slowdown
        self.scheduler.call_later(
            seconds, self._end_batch, size, self.kill_count
        )

    def _end_batch(self, size: int, kill_count: int) -> None:
        if kill_count != self.kill_count:
            return
        self.busy = False
        if self.hung:
            return
        batch = [self.queue.popleft() for _ in range(size)]
        for step, send_reply in batch:
            send_reply(self._run_step(step))
        self._start_batch()

    def _run_step(self, step: SendStep) -> StepEvent:
        key = (step.key.request_id, step.key.attempt)
        stream = self.streams.get(key)
        if stream is None:
            return _step_failure(step, Outcome.NOT_RUN, Reason.REFUSED)
        self.step_runs[step.key] = self.step_runs.get(step.key, 0) + 1
        outputs = tuple(stream.model.run(entry) for entry in step.inputs)
        if self.is_last_stage:
            token = activation_to_token(outputs[-1])
            return StepReplied(step.key, step.endpoint, (), token)
        return StepReplied(step.key, step.endpoint, outputs, None)


def _step_failure(
    step: SendStep, outcome: Outcome, reason: Reason
) -> StepFailed:
    return StepFailed(step.key, step.endpoint, outcome, reason)
