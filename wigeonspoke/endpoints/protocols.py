"""What the node asks of endpoints, whatever their wire protocol."""

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from wigeonspoke.endpoints.engine_messages import (
    CancelRequest,
    EngineLoad,
    StepBatch,
    StepEnd,
)
from wigeonspoke.endpoints.service_client import ServiceRequest
from wigeonspoke.transport import HttpError, HttpReply

TakeEnd = Callable[[StepEnd], None]


class EngineClient(Protocol):
    """Runs steps of streams on engines."""

    def run_steps(
        self,
        address: str,
        batch: StepBatch,
        timeout: float,
        take_end: TakeEnd,
    ) -> Result[None, HttpError]:
        """Run a batch of steps, handing over each end as it comes.

        After an error, the steps whose ends did not come have the error's
        outcome.
        """

    def cancel(
        self,
        address: str,
        request: CancelRequest,
    ) -> Result[None, HttpError]:
        """Free the state of streams."""

    def load(self, address: str) -> Result[EngineLoad, HttpError]:
        """Ask for the engine's load, which also shows its health."""


class ServiceClient(Protocol):
    """Calls replicas of plain services."""

    def call(
        self,
        address: str,
        request: ServiceRequest,
        timeout: float,
        fresh_connection: bool,
    ) -> Result[HttpReply, HttpError]:
        """Send a call and wait for the whole reply."""

    def probe(self, address: str) -> Result[None, HttpError]:
        """Tell whether the replica answers at all."""
