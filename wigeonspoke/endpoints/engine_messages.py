"""Messages between a node and an engine.

The engine's wire protocol is kept behind :class:`EngineClient`; these are
the messages of the HTTP form of it.
"""

import enum

import msgspec


class StreamId(msgspec.Struct, frozen=True):
    """One attempt of a request, which is one stream on an engine."""

    request_id: str
    attempt: int


class StepRequest(msgspec.Struct, frozen=True):
    """One step of one stream.

    ``position`` is how many inputs the stream's state must already hold;
    an engine refuses a step whose position is not its own.  Position 0
    opens the stream.
    """

    stream: StreamId
    index: int
    stage: int
    model: str
    first_layer: int
    end_layer: int
    position: int
    inputs: tuple[int, ...]


class StepBatch(msgspec.Struct, frozen=True):
    """Steps of several streams that share one call."""

    steps: tuple[StepRequest, ...]


@enum.unique
class StepStatus(enum.StrEnum):
    """What an engine did with a step.

    ``BUSY`` and ``REFUSED`` say that it ran nothing of it.
    """

    DONE = 'done'
    BUSY = 'busy'
    REFUSED = 'refused'


class StepResult(msgspec.Struct, frozen=True):
    """The end of one step.

    ``outputs`` has one activation for each input; the engine that holds the
    model's last layer gives ``token`` instead.
    """

    status: StepStatus
    outputs: tuple[int, ...] = ()
    token: int | None = None


class BatchStepResult(msgspec.Struct, frozen=True):
    """The end of the step at a position of a batch.

    The reply to a batch is one such message a line, each sent as soon as
    its step has ended, so that no step waits for another's.
    """

    position: int
    result: StepResult


class CancelRequest(msgspec.Struct, frozen=True):
    """Streams whose state may go."""

    streams: tuple[StreamId, ...]


class EngineLoad(msgspec.Struct, frozen=True):
    """An engine's own report of its load."""

    streams: int
    queued_steps: int
