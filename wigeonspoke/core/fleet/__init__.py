"""Registered endpoints, and the profile that engines share."""

from wigeonspoke.core.fleet.leaving import LeavingReport, LeavingRuns
from wigeonspoke.core.fleet.records import (
    BYTES_PER_MEGABYTE,
    Accelerator,
    Endpoint,
    EngineProfile,
)
from wigeonspoke.core.fleet.registry import Fleet

__all__ = (
    'BYTES_PER_MEGABYTE',
    'Accelerator',
    'Endpoint',
    'EngineProfile',
    'Fleet',
    'LeavingReport',
    'LeavingRuns',
)
