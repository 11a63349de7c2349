"""Protocols and HTTP clients for engines and service replicas."""

from wigeonspoke.endpoints.engine_client import HttpEngine
from wigeonspoke.endpoints.engine_messages import (
    BatchStepResult,
    CancelRequest,
    EngineLoad,
    StepBatch,
    StepRequest,
    StepResult,
    StepStatus,
    StreamId,
)
from wigeonspoke.endpoints.protocols import EngineClient, ServiceClient
from wigeonspoke.endpoints.service_client import HttpService, ServiceRequest

__all__ = (
    'BatchStepResult',
    'CancelRequest',
    'EngineClient',
    'EngineLoad',
    'HttpEngine',
    'HttpService',
    'ServiceClient',
    'ServiceRequest',
    'StepBatch',
    'StepRequest',
    'StepResult',
    'StepStatus',
    'StreamId',
)
