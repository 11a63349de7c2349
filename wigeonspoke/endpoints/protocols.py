"""What the node asks of endpoints, whatever their wire protocol."""

from typing import Protocol

from returns.result import Result

from wigeonspoke.endpoints.engine_messages import (
    CancelRequest,
    EngineLoad,
    StepBatch,
    StepResults,
)
from wigeonspoke.endpoints.service_client import ServiceRequest
from wigeonspoke.transport import HttpError, HttpReply


class EngineClient(Protocol):
    """Runs steps of streams on engines."""

    def run_steps(
        self,
        address: str,
        batch: StepBatch,
        timeout: float,
    ) -> Result[StepResults, HttpError]:
        """Run a batch of steps and wait for all their ends."""

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
        fresh: bool,
    ) -> Result[HttpReply, HttpError]:
        """Send a call and wait for the whole reply."""

    def probe(self, address: str) -> Result[None, HttpError]:
        """Tell whether the replica answers at all."""
