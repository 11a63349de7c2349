"""Leases on the control of a failure domain's engines."""

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
