"""A stand-in engine that runs a layer range with continuous batching."""

import time
from collections import deque
from collections.abc import Iterator

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.queue import LightQueue
from werkzeug.wrappers import Request, Response

from wigeonspoke.core.deployment import Engine
from wigeonspoke.endpoints import (
    BatchStepResult,
    CancelRequest,
    EngineLoad,
    StepBatch,
    StepRequest,
    StepResult,
    StepStatus,
    StreamId,
)
from wigeonspoke.standins.execution_log import ExecutedStep, ExecutionLog
from wigeonspoke.standins.model import StandInModel, activation_to_token
from wigeonspoke.transport import HttpListener
from wigeonspoke.webapp import HttpApp, JsonReply, read_json


class _Stream:
    """The state of a stream: the layers' state and the next position."""

    __slots__ = ('model', 'position')

    def __init__(self, first: int, end: int) -> None:
        self.model = StandInModel(first, end)
        self.position = 0


class _QueuedStep:
    """A queued step.

    ``position`` is its index in the request's batch, and ``step_ends`` the
    queue through which the request gets the result.
    """

    __slots__ = ('position', 'step', 'step_ends')

    def __init__(
        self,
        step: StepRequest,
        position: int,
        step_ends: LightQueue,
    ) -> None:
        self.step = step
        self.position = position
        self.step_ends = step_ends


class StandInEngine:
    """Runs a range of the layers of a model that has ``layers`` in all.

    Steps are queued, and the engine runs up to ``max_batch`` of them every
    ``step_seconds``.  ``slowdown`` is a factor on that time.  While
    ``frozen`` is set, the engine accepts steps but returns neither their
    results nor its load.
    """

    __slots__ = (
        'execution_log',
        'frozen',
        'layers',
        'listener',
        'queue',
        'record',
        'slowdown',
        'step_queued',
        'streams',
        'worker',
    )

    def __init__(
        self,
        record: Engine,
        layers: int,
        execution_log: ExecutionLog,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.record = record
        self.layers = layers
        self.execution_log = execution_log
        self.slowdown = 1.0
        self.frozen = False
        self.streams: dict[StreamId, _Stream] = {}
        self.queue: deque[_QueuedStep] = deque()
        self.step_queued = Event()
        app = HttpApp(
            [
                ('POST', '/engine/v1/steps', self.post_steps),
                ('POST', '/engine/v1/cancel', self.post_cancel),
                ('GET', '/engine/v1/load', self.get_load),
            ]
        )
        self.listener = HttpListener(app, host, port)
        self.worker = eventlet.spawn(self._run_batches)

    @property
    def address(self) -> str:
        """The address that the engine listens on."""
        return self.listener.address

    @property
    def name(self) -> str:
        """The engine's name in the configuration."""
        return self.record.name

    def kill(self) -> None:
        """Stop at once and lose all state, like a host that loses power."""
        self.worker.kill()
        self.listener.abort()
        self.streams.clear()
        self.queue.clear()

    def post_steps(self, request: Request) -> Response:
        """Queue a batch of steps and stream each result as it completes."""
        batch = read_json(request, StepBatch)
        step_ends: LightQueue = LightQueue()
        for position, step in enumerate(batch.steps):
            refusal = self._admit(_QueuedStep(step, position, step_ends))
            if refusal:
                step_ends.put(BatchStepResult(position, StepResult(refusal)))
        lines = _encode_lines(step_ends, len(batch.steps))
        return Response(lines, content_type='application/x-ndjson')

    def post_cancel(self, request: Request) -> Response:
        """Release the state of streams."""
        cancel = read_json(request, CancelRequest)
        for stream in cancel.streams:
            self.streams.pop(stream, None)
        return JsonReply(None)

    def get_load(self, request: Request) -> Response:
        """Return the engine's load."""
        while self.frozen:
            eventlet.sleep(self.record.step_seconds)
        return JsonReply(EngineLoad(len(self.streams), len(self.queue)))

    def _admit(self, queued: _QueuedStep) -> StepStatus | None:
        step = queued.step
        layers = self.record.layers
        if (step.first_layer, step.end_layer) != (layers.first, layers.end):
            return StepStatus.REFUSED
        if step.position == 0 and not self._open_stream(step.stream):
            return StepStatus.BUSY
        stream = self.streams.get(step.stream)
        if stream is None or stream.position != step.position:
            return StepStatus.REFUSED
        stream.position += len(step.inputs)
        self.queue.append(queued)
        if not self.step_queued.ready():
            self.step_queued.send()
        return None

    def _open_stream(self, stream: StreamId) -> bool:
        if stream in self.streams:
            return False
        if len(self.streams) >= self.record.max_streams:
            return False
        layers = self.record.layers
        self.streams[stream] = _Stream(layers.first, layers.end)
        return True

    def _run_batches(self) -> None:
        while True:
            self.step_queued.wait()
            self.step_queued = Event()
            while self.queue:
                self._run_batch()

    def _run_batch(self) -> None:
        seconds = self.record.step_seconds * self.slowdown
        # A batch takes up to max_batch of the steps queued when it starts.
        # Steps that arrive later wait for the next batch, as with continuous
        # batching.
        size = min(len(self.queue), self.record.max_batch)
        batch = [self.queue.popleft() for _ in range(size)]
        eventlet.sleep(seconds)
        while self.frozen:
            eventlet.sleep(self.record.step_seconds)
        now = time.monotonic()
        for queued in batch:
            result = self._run_step(queued.step, now)
            queued.step_ends.put(BatchStepResult(queued.position, result))

    def _run_step(self, step: StepRequest, now: float) -> StepResult:
        stream = self.streams.get(step.stream)
        if stream is None:
            return StepResult(StepStatus.REFUSED)
        self.execution_log.steps.append(self._executed_step(step, now))
        outputs = tuple(stream.model.run(entry) for entry in step.inputs)
        if step.end_layer == self.layers:
            return StepResult(
                StepStatus.DONE, token=activation_to_token(outputs[-1])
            )
        return StepResult(StepStatus.DONE, outputs=outputs)

    def _executed_step(self, step: StepRequest, now: float) -> ExecutedStep:
        return ExecutedStep(
            endpoint=self.record.name,
            request_id=step.stream.request_id,
            attempt=step.stream.attempt,
            index=step.index,
            first_layer=step.first_layer,
            end_layer=step.end_layer,
            opened=step.position == 0,
            at=now,
        )


def _encode_lines(step_ends: LightQueue, count: int) -> Iterator[bytes]:
    """Yield step ends as JSON lines, those available together in one chunk."""
    while count:
        lines = [msgspec.json.encode(step_ends.get())]
        while not step_ends.empty():
            lines.append(msgspec.json.encode(step_ends.get()))
        count -= len(lines)
        yield b'\n'.join([*lines, b''])
