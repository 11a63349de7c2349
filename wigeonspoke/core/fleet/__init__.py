"""Registered endpoints, and the profile that engines share."""

from wigeonspoke.core.fleet.records import (
    Accelerator,
    Endpoint,
    EngineProfile,
)
from wigeonspoke.core.fleet.registry import Fleet

__all__ = ('Accelerator', 'Endpoint', 'EngineProfile', 'Fleet')
