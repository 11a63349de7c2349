"""The lease that lets one node send orders to a domain's engines.

A lease is a row in the platform's store, written by compare-and-swap on the
row's version.  The version of the holder's first write is the fencing token
of every order sent under the lease: an engine that has seen a greater one
refuses the order.
"""

import enum

import msgspec

from wigeonspoke.core.store_version import UNKNOWN_ERA, StoreVersion

LEASE_SECONDS = 10.0
RENEW_INTERVAL_SECONDS = 5.0
# A failed write is retried after this long.
RENEW_RETRY_SECONDS = 0.5
# Orders may be sent only for this long after a renewal.  If there are orders
# to send later than that, the lease is renewed first.
ORDER_WINDOW_SECONDS = 3.0
# If the peers no longer hear from the holder, its lease may be taken over
# this long after it was written.
ABSENT_HOLDER_SECONDS = 1.5
# Nodes of other domains may take over a lease only this long after a node of
# its own domain could have done so.
FOREIGN_DOMAIN_DELAY_SECONDS = 6.0
# The same for a lease that was released, so that the domain's own nodes have
# two gossip rounds to take it over first.
RELEASED_FOREIGN_DOMAIN_DELAY_SECONDS = 1.5
# While the store is unavailable, no other node can take over the lease, and
# engines refuse stale orders.  The holder may therefore go on for this long.
STORE_OUTAGE_WINDOW_SECONDS = 20.0


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as stored; the same row also registers a node.

    ``until`` is its expiry, in seconds of the store's monotonic clock.
    ``address`` is where the holder listens for its peers.  ``is_released``
    is set if the holder has given the lease up before its expiry.
    """

    holder: str
    until: float
    address: str = ''
    is_released: bool = False

    def predates_release(self, released: 'LeaseRow') -> bool:
        """Return whether the holder wrote this row before a release.

        Rows may arrive by gossip after it.  A lease that the same node
        acquires later expires later than any that it held at the release.
        """
        is_same = released.is_released and self.holder == released.holder
        return is_same and self.until <= released.until + LEASE_SECONDS


class VersionedLease(msgspec.Struct, frozen=True):
    """A lease row and its version in the store, 0 if there is no row.

    ``era`` is that of the version; nodes of earlier builds do not tell it.
    """

    version: int
    row: LeaseRow | None = None
    era: int = UNKNOWN_ERA

    @property
    def store_version(self) -> StoreVersion:
        """The version with its era, by which rows are ordered."""
        return StoreVersion(self.era, self.version)


@enum.unique
class LeaseAction(enum.StrEnum):
    """What a node should do with a lease."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'


class LeaseKeeper:
    """State and decisions of one node for the lease of one domain.

    ``fence`` is the fencing token of the current term, 0 without the lease.
    ``row_version`` is the version of the last write, which the next one
    expects, and ``renewed_at`` the time at which that write was sent.
    """

    __slots__ = (
        'attempted_at',
        'domain',
        'fence',
        'holder',
        'is_own_domain',
        'renewed_at',
        'row_version',
        'store_failed_at',
    )

    def __init__(self, domain: str, holder: str, is_own_domain: bool) -> None:
        self.domain = domain
        self.holder = holder
        self.is_own_domain = is_own_domain
        self.fence = 0
        self.row_version = 0
        self.renewed_at = 0
        self.store_failed_at = 0
        self.attempted_at = 0

    @property
    def is_held(self) -> bool:
        """Tell whether this node holds the lease, as far as it knows."""
        return self.fence > 0

    def may_order(self, now: float) -> bool:
        """Tell whether orders may be sent at a time of this node's clock."""
        if not self.is_held:
            return False
        window = ORDER_WINDOW_SECONDS
        if self.store_failed_at > self.renewed_at:
            window = STORE_OUTAGE_WINDOW_SECONDS
        return now < self.renewed_at + window

    def next_action(
        self,
        lease: VersionedLease,
        store_now: float,
        *,
        is_gone: bool = False,
    ) -> LeaseAction:
        """Return what to do with the lease, given the row that was read.

        ``store_now`` is the time of the store's clock.  ``is_gone`` tells
        that the peers no longer hear from the holder.  Without a row, only
        nodes of the domain itself may take the lease.
        """
        row = lease.row
        if row is not None and row.holder == self.holder:
            return LeaseAction.RENEW
        if row is None:
            return self._take_if_own_domain()
        until = row.until
        foreign_delay = FOREIGN_DOMAIN_DELAY_SECONDS
        if row.is_released:
            foreign_delay = RELEASED_FOREIGN_DOMAIN_DELAY_SECONDS
        elif is_gone:
            until += ABSENT_HOLDER_SECONDS - LEASE_SECONDS
        delay = 0 if self.is_own_domain else foreign_delay
        if store_now > until + delay:
            return LeaseAction.TAKE
        return LeaseAction.WAIT

    def renewal_due(self, now: float) -> bool:
        """Tell whether this node holds the lease and should renew it now."""
        return self.is_held and now >= max(
            self.renewed_at + RENEW_INTERVAL_SECONDS,
            self.attempted_at + RENEW_RETRY_SECONDS,
        )

    def record_written(self, version: int, sent_at: float) -> None:
        """Record a write of the lease that the store acknowledged.

        The fencing token stays that of the first write of a term, so that
        engines do not refuse orders that are in flight during a renewal.
        """
        self.fence = self.fence or version
        self.row_version = version
        self.renewed_at = sent_at

    def record_store_failure(self, now: float) -> None:
        """Record that the store did not answer."""
        self.store_failed_at = now
        self.attempted_at = now

    def record_lost(self) -> None:
        """Record that this node no longer holds the lease."""
        self.fence = 0

    def _take_if_own_domain(self) -> LeaseAction:
        return LeaseAction.TAKE if self.is_own_domain else LeaseAction.WAIT
