"""Leases on stewardship."""

from wigeonspoke.core.leases.lease import (
    LEASE_SECONDS,
    LeaseAction,
    LeaseKeeper,
    LeaseRow,
    VersionedLease,
)

__all__ = (
    'LEASE_SECONDS',
    'LeaseAction',
    'LeaseKeeper',
    'LeaseRow',
    'VersionedLease',
)
