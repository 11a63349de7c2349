"""Engines over HTTP with JSON."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.endpoints.engine_messages import (
    CancelRequest,
    EngineLoad,
    StepBatch,
    StepEnd,
)
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

STEPS_PATH = '/engine/v1/steps'
CANCEL_PATH = '/engine/v1/cancel'
LOAD_PATH = '/engine/v1/load'
PROBE_SECONDS = 1.0

_END_DECODER = msgspec.json.Decoder(StepEnd)


class HttpEngine:
    """Satisfies :class:`EngineClient` by HTTP with JSON."""

    __slots__ = ('client',)

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def run_steps(
        self,
        address: str,
        batch: StepBatch,
        timeout: float,
        take_end: Callable[[StepEnd], None],
    ) -> Result[None, HttpError]:
        """Run a batch of steps, handing over each end as it comes."""
        body = msgspec.json.encode(batch)
        try:
            return self.client.post_and_stream_lines(
                address,
                STEPS_PATH,
                body,
                timeout,
                lambda line: take_end(_END_DECODER.decode(line)),
            )
        except msgspec.MsgspecError:
            return Failure(
                HttpError(Outcome.UNKNOWN, Reason.CONTRACT, address),
            )

    def cancel(
        self,
        address: str,
        request: CancelRequest,
    ) -> Result[None, HttpError]:
        """Free the state of streams."""
        body = msgspec.json.encode(request)
        return self.client.post(address, CANCEL_PATH, body).map(
            lambda _: None,
        )

    def load(self, address: str) -> Result[EngineLoad, HttpError]:
        """Ask for the engine's load, which also shows its health."""
        reply = self.client.get(address, LOAD_PATH, PROBE_SECONDS)
        return reply.bind(lambda whole: _decode(whole, EngineLoad, address))


def _decode(reply: HttpReply, kind: type, peer: str) -> Result:
    contract = HttpError(Outcome.UNKNOWN, Reason.CONTRACT, peer)
    if not reply.is_ok:
        return Failure(contract)
    try:
        return Success(msgspec.json.decode(reply.body, type=kind))
    except msgspec.MsgspecError:
        return Failure(contract)
