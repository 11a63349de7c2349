"""A stand-in engine: continuous batching of steps over a layer range."""

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
from wigeonspoke.standins.ledger import Ledger, StepRecord
from wigeonspoke.standins.model import StandInModel, token_of
from wigeonspoke.transport import HttpListener
from wigeonspoke.webapp import HttpApp, JsonReply, read_json


class _Stream:
    """The state of one stream: its layers' state and its position."""

    __slots__ = ('model', 'position')

    def __init__(self, first: int, end: int) -> None:
        self.model = StandInModel(first, end)
        self.position = 0


class _Queued:
    """A step that waits for its turn, and the call that waits for it."""

    __slots__ = ('ends', 'position', 'step')

    def __init__(
        self,
        step: StepRequest,
        position: int,
        ends: LightQueue,
    ) -> None:
        self.step = step
        self.position = position
        self.ends = ends


class StandInEngine:
    """Holds a layer range of a model of ``layers`` layers.

    Steps queue up; every ``step_seconds`` the engine runs up to
    ``max_batch`` of them.  ``slowdown`` multiplies that time, and a frozen
    engine takes steps and never answers.
    """

    __slots__ = (
        'frozen',
        'layers',
        'ledger',
        'listener',
        'queue',
        'record',
        'slowdown',
        'streams',
        'wake',
        'worker',
    )

    def __init__(
        self,
        record: Engine,
        layers: int,
        ledger: Ledger,
        host: str = '127.0.0.1',
        port: int = 0,
    ) -> None:
        self.record = record
        self.layers = layers
        self.ledger = ledger
        self.slowdown = 1.0
        self.frozen = False
        self.streams: dict[StreamId, _Stream] = {}
        self.queue: deque[_Queued] = deque()
        self.wake = Event()
        app = HttpApp(
            [
                ('POST', '/engine/v1/steps', self.post_steps),
                ('POST', '/engine/v1/cancel', self.post_cancel),
                ('GET', '/engine/v1/load', self.get_load),
            ]
        )
        self.listener = HttpListener(app, host, port)
        self.worker = eventlet.spawn(self._work)

    @property
    def address(self) -> str:
        """Give the address that the engine listens on."""
        return self.listener.address

    @property
    def name(self) -> str:
        """Give the engine's name in the configuration."""
        return self.record.name

    def kill(self) -> None:
        """Die as a host that loses power does, with all state."""
        self.worker.kill()
        self.listener.abort()
        self.streams.clear()
        self.queue.clear()

    def post_steps(self, request: Request) -> Response:
        """Run a batch of steps and send each end as it comes."""
        batch = read_json(request, StepBatch)
        ends: LightQueue = LightQueue()
        for position, step in enumerate(batch.steps):
            refusal = self._admit(_Queued(step, position, ends))
            if refusal:
                ends.put(BatchStepResult(position, StepResult(refusal)))
        lines = _lines(ends, len(batch.steps))
        return Response(lines, content_type='application/x-ndjson')

    def post_cancel(self, request: Request) -> Response:
        """Free the state of streams."""
        cancel = read_json(request, CancelRequest)
        for stream in cancel.streams:
            self.streams.pop(stream, None)
        return JsonReply(None)

    def get_load(self, request: Request) -> Response:
        """Report the load."""
        while self.frozen:
            eventlet.sleep(self.record.step_seconds)
        return JsonReply(EngineLoad(len(self.streams), len(self.queue)))

    def _admit(self, queued: _Queued) -> StepStatus | None:
        step = queued.step
        layers = self.record.layers
        if (step.first_layer, step.end_layer) != (layers.first, layers.end):
            return StepStatus.REFUSED
        if step.position == 0 and not self._open(step.stream):
            return StepStatus.BUSY
        stream = self.streams.get(step.stream)
        if stream is None or stream.position != step.position:
            return StepStatus.REFUSED
        stream.position += len(step.inputs)
        self.queue.append(queued)
        if not self.wake.ready():
            self.wake.send()
        return None

    def _open(self, stream: StreamId) -> bool:
        if stream in self.streams:
            return False
        if len(self.streams) >= self.record.max_streams:
            return False
        layers = self.record.layers
        self.streams[stream] = _Stream(layers.first, layers.end)
        return True

    def _work(self) -> None:
        while True:
            self.wake.wait()
            self.wake = Event()
            while self.queue:
                self._run_batch()

    def _run_batch(self) -> None:
        seconds = self.record.step_seconds * self.slowdown
        # A batch takes what waits when its step starts; later steps wait
        # for the next one, as under continuous batching.
        size = min(len(self.queue), self.record.max_batch)
        batch = [self.queue.popleft() for _ in range(size)]
        eventlet.sleep(seconds)
        while self.frozen:
            eventlet.sleep(self.record.step_seconds)
        now = time.monotonic()
        for queued in batch:
            result = self._run(queued.step, now)
            queued.ends.put(BatchStepResult(queued.position, result))

    def _run(self, step: StepRequest, now: float) -> StepResult:
        stream = self.streams.get(step.stream)
        if stream is None:
            return StepResult(StepStatus.REFUSED)
        self.ledger.steps.append(self._record(step, now))
        outputs = tuple(stream.model.run(entry) for entry in step.inputs)
        if step.end_layer == self.layers:
            return StepResult(StepStatus.DONE, token=token_of(outputs[-1]))
        return StepResult(StepStatus.DONE, outputs=outputs)

    def _record(self, step: StepRequest, now: float) -> StepRecord:
        return StepRecord(
            endpoint=self.record.name,
            request_id=step.stream.request_id,
            attempt=step.stream.attempt,
            index=step.index,
            first_layer=step.first_layer,
            end_layer=step.end_layer,
            opened=step.position == 0,
            at=now,
        )


def _lines(ends: LightQueue, count: int) -> Iterator[bytes]:
    """Write ends as lines; those that come together go in one piece."""
    while count:
        lines = [msgspec.json.encode(ends.get())]
        while not ends.empty():
            lines.append(msgspec.json.encode(ends.get()))
        count -= len(lines)
        yield b'\n'.join([*lines, b''])
