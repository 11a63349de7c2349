"""Decoding of the speeds of engines in a configuration.

They are decoded apart from the rest of it: a node serves a configuration whose
speeds cannot be read without them.
"""

from typing import Annotated

import msgspec
from returns.result import Success

from wigeonspoke.core.fleet import EngineSpeeds
from wigeonspoke.serialization import decode_json

MILLISECONDS_PER_SECOND = 1000
TOKENS_PER_CONTEXT_UNIT = 1000
PAIRS_PER_UNIT = 1000000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1000000

_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _WireDelay(msgspec.Struct, rename={'one': 'from', 'other': 'to'}):
    one: str
    other: str
    delay_ms: _Amount = 0


class _WireUsual(msgspec.Struct):
    prompt: _Amount = 500
    answer: _Amount = 200


class _WireSpeeds(msgspec.Struct):
    step_ms: _Amount = 0
    per_seq_ms: _Amount = 0
    context_per_k: _Amount = 0
    read_per_s: _Amount = 0
    pairs_per_m: _Amount = 0
    chunk: _Amount = 512
    stride: _Amount = 1
    usual: _WireUsual = msgspec.field(default_factory=_WireUsual)
    delays: tuple[_WireDelay, ...] = ()
    link_mbps: _Amount = msgspec.field(default=0, name='link-mbps')
    pipe_mbps: _Amount = msgspec.field(default=0, name='pipe-mbps')
    act_bytes: _Amount = msgspec.field(default=0, name='act-bytes')
    capacity: _Amount = msgspec.field(default=0, name='kv-capacity-tokens')


class _WireService(msgspec.Struct):
    name: str
    engine: _WireSpeeds | None = None


class _WireConfiguration(msgspec.Struct):
    services: tuple[_WireService, ...] = ()


def decode_speeds(body: bytes) -> dict[str, EngineSpeeds]:
    """Return the speeds of the engines of each service that names them.

    These are the services with a step time and a reading rate.
    """
    decoded = decode_json(body, _WireConfiguration)
    if not isinstance(decoded, Success):
        return {}
    return {
        service.name: _convert_speeds(service.engine)
        for service in decoded.unwrap().services
        if service.engine
        and service.engine.step_ms
        and service.engine.read_per_s
    }


def _convert_speeds(wire: _WireSpeeds) -> EngineSpeeds:
    context_seconds = wire.context_per_k / MILLISECONDS_PER_SECOND
    pair_seconds = wire.pairs_per_m / MILLISECONDS_PER_SECOND
    return EngineSpeeds(
        step_seconds=wire.step_ms / MILLISECONDS_PER_SECOND,
        request_step_seconds=wire.per_seq_ms / MILLISECONDS_PER_SECOND,
        context_token_seconds=context_seconds / TOKENS_PER_CONTEXT_UNIT,
        read_token_seconds=1 / wire.read_per_s,
        token_pair_seconds=pair_seconds / PAIRS_PER_UNIT,
        chunk_tokens=max(1, int(wire.chunk)),
        steps_per_pass=max(1, int(wire.stride)),
        link_token_seconds=_transfer_seconds(wire.act_bytes, wire.link_mbps),
        shared_link_token_seconds=_transfer_seconds(
            wire.act_bytes, wire.pipe_mbps
        ),
        delays={
            (delay.one, delay.other): delay.delay_ms / MILLISECONDS_PER_SECOND
            for delay in wire.delays
        },
        prompt_tokens=wire.usual.prompt,
        answer_tokens=wire.usual.answer,
        token_capacity=wire.capacity,
    )


def _transfer_seconds(size_bytes: float, megabits_per_second: float) -> float:
    """Return the time of a transfer, 0 if the bandwidth is not known."""
    if not megabits_per_second:
        return 0
    bits = size_bytes * BITS_PER_BYTE
    return bits / (megabits_per_second * BITS_PER_MEGABIT)
