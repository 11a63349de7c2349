"""An engine in virtual time: continuous batching, and ways to fail."""

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
Answer = Callable[[StepEvent], None]
StreamKey = tuple[str, int]


class _Stream:
    __slots__ = ('model', 'position')

    def __init__(self, engine: Engine) -> None:
        self.model = StandInModel(engine.layers.first, engine.layers.end)
        self.position = 0


class VirtualEngine:
    """Runs steps for nodes that pass it a callback for the answer.

    ``opened`` holds the times at which streams were opened, ``runs`` the
    steps run by key, so that checks can count both.
    """

    __slots__ = (
        'alive',
        'busy',
        'epoch',
        'frozen',
        'is_last',
        'opened',
        'queue',
        'record',
        'runs',
        'scheduler',
        'slowdown',
        'streams',
    )

    def __init__(
        self,
        record: Engine,
        layers: int,
        scheduler: Scheduler,
    ) -> None:
        self.record = record
        self.is_last = record.layers.end == layers
        self.scheduler = scheduler
        self.alive = True
        self.frozen = False
        self.slowdown = 1.0
        self.busy = False
        self.epoch = 0
        self.streams: dict[StreamKey, _Stream] = {}
        self.queue: deque[tuple[SendStep, Answer]] = deque()
        self.opened: list[float] = []
        self.runs: dict[StepKey, int] = {}

    def submit(self, step: SendStep, answer: Answer) -> None:
        """Take a step, or refuse it at once."""
        if not self.alive:
            answer(_failure(step, Outcome.NOT_RUN, Reason.CONNECT))
            return
        refusal = self._admit(step)
        if refusal:
            answer(_failure(step, Outcome.NOT_RUN, refusal))
            return
        self.queue.append((step, answer))
        self._start_batch()

    def cancel(self, stream: StreamKey) -> None:
        """Free a stream's state."""
        self.streams.pop(stream, None)

    def kill(self) -> None:
        """Die and reset all connections; the state is gone."""
        self.alive = False
        self.busy = False
        self.epoch += 1
        self.streams.clear()
        lost = tuple(self.queue)
        self.queue.clear()
        for step, answer in lost:
            answer(_failure(step, Outcome.UNKNOWN, Reason.RESET))

    def revive(self) -> None:
        """Come back with no state."""
        self.alive = True

    def _admit(self, step: SendStep) -> Reason | None:
        key = (step.key.request_id, step.key.attempt)
        if step.position == 0:
            if len(self.streams) >= self.record.max_streams:
                return Reason.BUSY
            if key in self.streams:
                return Reason.REFUSED
            self.streams[key] = _Stream(self.record)
            self.opened.append(self.scheduler.now)
        stream = self.streams.get(key)
        if stream is None or stream.position != step.position:
            return Reason.REFUSED
        stream.position += len(step.inputs)
        return None

    def _start_batch(self) -> None:
        if self.busy or self.frozen or not self.queue:
            return
        self.busy = True
        size = min(len(self.queue), self.record.max_batch)
        seconds = self.record.step_seconds * self.slowdown
        self.scheduler.after(seconds, self._end_batch, size, self.epoch)

    def _end_batch(self, size: int, epoch: int) -> None:
        if epoch != self.epoch:
            return
        self.busy = False
        if self.frozen:
            return
        batch = [self.queue.popleft() for _ in range(size)]
        for step, answer in batch:
            answer(self._run(step))
        self._start_batch()

    def _run(self, step: SendStep) -> StepEvent:
        key = (step.key.request_id, step.key.attempt)
        stream = self.streams.get(key)
        if stream is None:
            return _failure(step, Outcome.NOT_RUN, Reason.REFUSED)
        self.runs[step.key] = self.runs.get(step.key, 0) + 1
        outputs = tuple(stream.model.run(entry) for entry in step.inputs)
        if self.is_last:
            token = activation_to_token(outputs[-1])
            return StepReplied(step.key, step.endpoint, (), token)
        return StepReplied(step.key, step.endpoint, outputs, None)


def _failure(step: SendStep, outcome: Outcome, reason: Reason) -> StepFailed:
    return StepFailed(step.key, step.endpoint, outcome, reason)
