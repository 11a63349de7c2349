"""Leases on stewardship."""

from wigeonspoke.core.leases.lease import (
    LEASE_SECONDS,
    LeaseKeeper,
    LeaseRow,
    LeaseStep,
    SeenLease,
)

__all__ = (
    'LEASE_SECONDS',
    'LeaseKeeper',
    'LeaseRow',
    'LeaseStep',
    'SeenLease',
)
