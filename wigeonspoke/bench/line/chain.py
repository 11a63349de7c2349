"""Model of a chain of engines: slots, memory, and time by passes.

In each pass, a chain reads one piece of the prompt that is first in its order
of admission, and runs some steps for all requests that generate output.
"""

import heapq
import itertools
from collections.abc import Callable

from wigeonspoke.bench.line.fleet import ACCELERATOR, SLOTS, SPEEDS
from wigeonspoke.bench.line.streams import LineStream
from wigeonspoke.bench.scheduler import Scheduler

# Streams without the header that names their urgency.
DEFAULT_URGENCY = 5


class EngineRun:
    """A stream on a chain.

    ``on_end`` is called with whether it completed, and ``on_event`` before
    each event is recorded.
    """

    __slots__ = (
        'context',
        'is_ended',
        'on_end',
        'on_event',
        'output_left',
        'prompt_left',
        'stream',
        'tokens',
    )

    def __init__(
        self,
        stream: LineStream,
        output_done: int,
        on_end: Callable[[bool], None],
        on_event: Callable[[], None],
    ) -> None:
        self.stream = stream
        self.prompt_left = stream.prompt + output_done
        self.output_left = stream.output - output_done
        # Tokens that take memory from the start, as engines reserve it.
        self.tokens = stream.tokens
        self.context: float = 0
        self.on_end = on_end
        self.on_event = on_event
        self.is_ended = False


class ChainSpeed:
    """Times of a chain whose engines have the same kind and equal shares.

    The shares of the layers add up to 1, so that the times are those of one
    engine with all layers, and the activations cross one link for each hop.
    """

    __slots__ = ('hops',)

    def __init__(self, hops: int) -> None:
        self.hops = hops

    def step_seconds(self, generating: int, context: float) -> float:
        """Return the time of one step for some generating requests."""
        seconds = (
            SPEEDS.step_seconds
            + SPEEDS.request_step_seconds * generating
            + SPEEDS.context_token_seconds * context
        )
        compute = seconds * ACCELERATOR.step_time_factor
        return compute + self._transfer_seconds(generating)

    def read_seconds(self, tokens: int, earlier: float) -> float:
        """Return the time to read some tokens after earlier ones."""
        pairs = ((earlier + tokens) ** 2 - earlier**2) / 2
        linear = SPEEDS.read_token_seconds * tokens
        quadratic = SPEEDS.token_pair_seconds * pairs
        compute = ACCELERATOR.read_time_factor * (linear + quadratic)
        return compute + self._transfer_seconds(tokens)

    def _transfer_seconds(self, tokens: float) -> float:
        return SPEEDS.link_token_seconds * tokens * (self.hops - 1)


class VirtualChain:
    """A chain that serves streams, and refuses those it has no room for."""

    __slots__ = (
        'generating',
        'head_id',
        'is_alive',
        'is_running',
        'reading',
        'runs',
        'scheduler',
        'sequence',
        'speed',
        'token_capacity',
        'tokens',
    )

    def __init__(
        self,
        scheduler: Scheduler,
        head_id: str,
        speed: ChainSpeed,
        token_capacity: float,
    ) -> None:
        self.scheduler = scheduler
        self.head_id = head_id
        self.speed = speed
        self.token_capacity = token_capacity
        self.tokens = 0
        # In the order of admission, so that a replay can be repeated.
        self.runs: dict[EngineRun, None] = {}
        self.reading: list[tuple[int, int, EngineRun]] = []
        self.generating: list[EngineRun] = []
        self.sequence = itertools.count()
        self.is_alive = True
        self.is_running = False

    def start(self, run: EngineRun, urgency: int | None) -> bool:
        """Admit a stream; return False if there is no room for it."""
        if len(self.runs) >= SLOTS:
            return False
        if self.tokens + run.tokens > self.token_capacity:
            return False
        self.runs[run] = None
        self.tokens += run.tokens
        order = DEFAULT_URGENCY if urgency is None else urgency
        heapq.heappush(self.reading, (order, next(self.sequence), run))
        if not self.is_running:
            self.is_running = True
            self._run_pass()
        return True

    def end(self, run: EngineRun, *, is_complete: bool) -> None:
        """End a stream, and tell its host."""
        if run.is_ended:
            return
        run.is_ended = True
        self.runs.pop(run)
        self.tokens -= run.tokens
        run.on_end(is_complete)

    def vanish(self) -> None:
        """Lose the chain with all its streams."""
        self.is_alive = False
        for run in tuple(self.runs):
            self.end(run, is_complete=False)

    def _run_pass(self) -> None:
        """Schedule the end of the next pass, unless the chain is idle."""
        self.generating = [run for run in self.generating if not run.is_ended]
        while self.reading and self.reading[0][2].is_ended:
            heapq.heappop(self.reading)
        reader = self.reading[0][2] if self.reading else None
        seconds = self._step_seconds()
        piece = 0
        if reader is not None:
            piece = min(SPEEDS.chunk_tokens, reader.prompt_left)
            seconds += self.speed.read_seconds(piece, reader.context)
        self.is_running = seconds > 0
        if self.is_running:
            self.scheduler.call_later(seconds, self._end_pass, reader, piece)

    def _step_seconds(self) -> float:
        if not self.generating:
            return 0
        context = sum(run.context for run in self.generating)
        step = self.speed.step_seconds(len(self.generating), context)
        return step * SPEEDS.steps_per_pass

    def _end_pass(self, reader: EngineRun | None, piece: int) -> None:
        now = self.scheduler.now
        stride = SPEEDS.steps_per_pass
        for run in self.generating:
            if run.is_ended:
                continue
            run.context += stride
            run.output_left -= stride
            run.on_event()
            run.stream.record_event(now)
            if run.output_left <= 0:
                self.end(run, is_complete=True)
        if reader is not None:
            self._read(reader, piece)
        self._run_pass()

    def _read(self, reader: EngineRun, piece: int) -> None:
        reader.prompt_left -= piece
        reader.context += piece
        if reader.prompt_left > 0:
            return
        self.reading = [
            entry for entry in self.reading if entry[2] is not reader
        ]
        heapq.heapify(self.reading)
        if not reader.is_ended:
            self.generating.append(reader)
