"""The lease on the stewardship of a failure domain.

A lease is a row in the platform's store, written under the version that it
had.  That version is the fence of every order given under the lease: an
engine that has seen a later one refuses.
"""

import enum

import msgspec

LEASE_SECONDS = 10.0
RENEW_INTERVAL_SECONDS = 5.0
# A write that failed is tried again after this long.
RENEW_RETRY_SECONDS = 0.5
# Orders go out only this long after a renewal; with something to order, a
# lease is renewed first.
ORDER_WINDOW_SECONDS = 3.0
# From a node that its peers do not hear, a lease is taken this long after
# it was written.
ABSENT_HOLDER_SECONDS = 1.5
# A domain without a steward of its own is taken by another domain's node
# after this long.
FOREIGN_DOMAIN_DELAY_SECONDS = 6.0
# Without the store nobody can take the lease over, and engines refuse what
# is stale: the steward goes on for this long.
STORE_OUTAGE_WINDOW_SECONDS = 20.0


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as it lies in the store.

    ``until`` is in seconds of the store's steady clock.  ``address`` is
    where the holder listens for its peers.
    """

    holder: str
    until: float
    address: str = ''


class VersionedLease(msgspec.Struct, frozen=True):
    """A lease row with its version in the store, 0 for none."""

    version: int
    row: LeaseRow | None = None


@enum.unique
class LeaseAction(enum.StrEnum):
    """What to do about a lease."""

    WAIT = 'wait'
    TAKE = 'take'
    RENEW = 'renew'


class LeaseKeeper:
    """Decides about the lease of one domain from one node's view."""

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
        """Tell whether this node has the lease as far as it knows."""
        return self.fence > 0

    def may_order(self, now: float) -> bool:
        """Tell whether orders may be given at a moment of our clock."""
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
        """Decide about a lease as it was read.

        ``is_gone`` tells that the holder is surely not there any more, as
        far as its peers know.
        """
        row = lease.row
        if row is not None and row.holder == self.holder:
            return LeaseAction.RENEW
        if row is None:
            return self._take_if_own_domain()
        until = row.until
        if is_gone:
            until += ABSENT_HOLDER_SECONDS - LEASE_SECONDS
        delay = 0 if self.is_own_domain else FOREIGN_DOMAIN_DELAY_SECONDS
        if store_now > until + delay:
            return LeaseAction.TAKE
        return LeaseAction.WAIT

    def renewal_due(self, now: float) -> bool:
        """Tell whether a lease that is held is to be renewed."""
        return self.is_held and now >= max(
            self.renewed_at + RENEW_INTERVAL_SECONDS,
            self.attempted_at + RENEW_RETRY_SECONDS,
        )

    def note_written(self, version: int, sent_at: float) -> None:
        """Take in a write of the lease that the store acknowledged.

        The fence stays that of the first write of a term, so that orders
        on their way during a renewal are not refused.
        """
        self.fence = self.fence or version
        self.row_version = version
        self.renewed_at = sent_at

    def note_store_failure(self, now: float) -> None:
        """Take in that the store gave no answer."""
        self.store_failed_at = now
        self.attempted_at = now

    def note_lost(self) -> None:
        """Take in that somebody else has the lease."""
        self.fence = 0

    def _take_if_own_domain(self) -> LeaseAction:
        return LeaseAction.TAKE if self.is_own_domain else LeaseAction.WAIT
