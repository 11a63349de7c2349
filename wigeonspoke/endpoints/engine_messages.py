"""Messages between a node and an engine.

:class:`EngineClient` hides the wire protocol of the engines; these are the
messages of its HTTP implementation.
"""

import enum

import msgspec


class StreamId(msgspec.Struct, frozen=True):
    """The id of a stream: each attempt of a request opens its own."""

    request_id: str
    attempt: int


class StepRequest(msgspec.Struct, frozen=True):
    """One step of one stream.

    ``position`` is the number of inputs that the engine must have processed
    for this stream; the engine refuses the step if its own number differs.
    Position 0 opens the stream.
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
    """Steps of several streams that are sent in one call."""

    steps: tuple[StepRequest, ...]


@enum.unique
class StepStatus(enum.StrEnum):
    """The result status of a step.

    ``BUSY`` and ``REFUSED`` mean that the engine did not run any part of it.
    """

    DONE = 'done'
    BUSY = 'busy'
    REFUSED = 'refused'


class StepResult(msgspec.Struct, frozen=True):
    """The result of one step.

    ``outputs`` holds one activation per input.  The engine that holds the
    model's last layer returns ``token`` instead.
    """

    status: StepStatus
    outputs: tuple[int, ...] = ()
    token: int | None = None


class BatchStepResult(msgspec.Struct, frozen=True):
    """The result of the step at index ``position`` of a batch.

    The reply to a batch has one such message per line.  Each is sent as soon
    as its step ends, so that no step waits for another one.
    """

    position: int
    result: StepResult


class CancelRequest(msgspec.Struct, frozen=True):
    """Streams whose state the engine can release."""

    streams: tuple[StreamId, ...]


class EngineLoad(msgspec.Struct, frozen=True):
    """The load that an engine reports."""

    streams: int
    queued_steps: int
