"""Protocols for endpoint clients, independent of the wire protocol."""

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from wigeonspoke.endpoints.engine_messages import (
    BatchStepResult,
    CancelRequest,
    EngineLoad,
    StepBatch,
)
from wigeonspoke.endpoints.service_client import ServiceRequest
from wigeonspoke.transport import HttpError, HttpReply

StepResultHandler = Callable[[BatchStepResult], None]


class EngineClient(Protocol):
    """Client for engines, which run steps of streams."""

    def run_steps(
        self,
        address: str,
        batch: StepBatch,
        timeout: float,
        handle_result: StepResultHandler,
    ) -> Result[None, HttpError]:
        """Run a batch of steps; pass each result on as it arrives.

        An error's outcome applies to all steps without a result.
        """

    def cancel(
        self,
        address: str,
        request: CancelRequest,
    ) -> Result[None, HttpError]:
        """Release the state of streams."""

    def load(self, address: str) -> Result[EngineLoad, HttpError]:
        """Read the engine's load; this is also the health probe."""


class ServiceClient(Protocol):
    """Client for the replicas of plain services."""

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
        fresh_connection: bool,
    ) -> Result[HttpReply, HttpError]:
        """Send a call and wait for the complete reply.

        With ``fresh_connection``, the call is sent over a new connection, so
        that a failure to connect proves that no byte of it was sent.
        """

    def probe(self, address: str) -> Result[None, HttpError]:
        """Check that the replica replies; any status counts."""
