"""HTTP client for engines."""

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result

from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.endpoints.engine_messages import (
    BatchStepResult,
    CancelRequest,
    EngineLoad,
    StepBatch,
)
from wigeonspoke.serialization import decode_json
from wigeonspoke.transport import HttpClient, HttpError, HttpReply

STEPS_PATH = '/engine/v1/steps'
CANCEL_PATH = '/engine/v1/cancel'
LOAD_PATH = '/engine/v1/load'
PROBE_TIMEOUT_SECONDS = 1.0

_RESULT_DECODER = msgspec.json.Decoder(BatchStepResult)


class HttpEngine:
    """Implements :class:`EngineClient` with JSON over HTTP."""

    __slots__ = ('client',)

    def __init__(self, client: HttpClient) -> None:
        self.client = client

    def run_steps(
        self,
        address: str,
        batch: StepBatch,
        timeout: float,
        handle_result: Callable[[BatchStepResult], None],
    ) -> Result[None, HttpError]:
        """Run a batch of steps; pass each result on as it arrives."""
        body = msgspec.json.encode(batch)
        try:
            return self.client.post_and_stream_lines(
                address,
                STEPS_PATH,
                body,
                timeout,
                lambda line: handle_result(_RESULT_DECODER.decode(line)),
            )
        except (msgspec.MsgspecError, RecursionError):
            return Failure(
                HttpError(Outcome.UNKNOWN, Reason.CONTRACT, address),
            )

    def cancel(
        self,
        address: str,
        request: CancelRequest,
    ) -> Result[None, HttpError]:
        """Release the state of streams."""
        body = msgspec.json.encode(request)
        return self.client.post(address, CANCEL_PATH, body).map(
            lambda _: None,
        )

    def load(self, address: str) -> Result[EngineLoad, HttpError]:
        """Read the engine's load; this is also the health probe."""
        reply = self.client.get(address, LOAD_PATH, PROBE_TIMEOUT_SECONDS)
        return reply.bind(lambda message: _decode(message, EngineLoad, address))


def _decode(reply: HttpReply, message_type: type, peer: str) -> Result:
    contract_error = HttpError(Outcome.UNKNOWN, Reason.CONTRACT, peer)
    if not reply.is_ok:
        return Failure(contract_error)
    return decode_json(reply.body, message_type).alt(
        lambda _problem: contract_error
    )
