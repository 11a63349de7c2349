"""Registered endpoints, and the profile that engines share."""

from wigeonspoke.core.fleet.leaving import LeavingReport, LeavingRuns
from wigeonspoke.core.fleet.missing_entries import MissingEntries
from wigeonspoke.core.fleet.records import (
    BYTES_PER_MEGABYTE,
    Accelerator,
    Endpoint,
    EngineProfile,
)
from wigeonspoke.core.fleet.registry import Fleet
from wigeonspoke.core.fleet.speeds import EngineSpeeds
from wigeonspoke.core.fleet.store_outages import (
    RETENTION_SECONDS,
    StoreOutages,
)

__all__ = (
    'BYTES_PER_MEGABYTE',
    'RETENTION_SECONDS',
    'Accelerator',
    'Endpoint',
    'EngineProfile',
    'EngineSpeeds',
    'Fleet',
    'LeavingReport',
    'LeavingRuns',
    'MissingEntries',
    'StoreOutages',
)
