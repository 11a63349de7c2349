"""Versions of a store that has come back from an older copy."""

import pytest

from wigeonspoke.core.leases import VersionedLease
from wigeonspoke.core.store_version import (
    UNKNOWN_ERA,
    UNREAD,
    EraHistory,
    StoreVersion,
)

LOST = StoreVersion(1, 900)


@pytest.mark.parametrize(
    ('earlier', 'later'),
    [
        (UNREAD, StoreVersion(UNKNOWN_ERA, 0)),
        (StoreVersion(UNKNOWN_ERA, 900), StoreVersion(1, 0)),
        (StoreVersion(1, 899), LOST),
        (LOST, StoreVersion(2, 1)),
        (LOST, StoreVersion(2, 900)),
        (StoreVersion(2, 900), StoreVersion(3, 0)),
    ],
)
def test_versions_are_ordered_by_era_first(earlier, later):
    assert earlier < later
    assert max(later, earlier) == later


# A lease that was released in the lost seconds was taken from its next holder.
def test_a_lease_released_in_an_earlier_era_is_not_the_newest():
    released = VersionedLease(900, None, 1)
    read = VersionedLease(700, None, 2)
    assert released.store_version < read.store_version


@pytest.mark.parametrize(
    ('met', 'rises'),
    [
        ((), ()),
        ((1, 1), ()),
        ((7, 7), ()),
        ((1, 2, 2), (2,)),
        ((3, 2, 3), ()),
        ((1, 2, 1, 3), (2, 3)),
        ((1, 4), (4,)),
    ],
)
def test_only_a_later_era_after_another_is_a_rise(met, rises):
    history = EraHistory()
    assert tuple(era for era in met if history.record(era)) == rises
    assert history.current == max(met, default=UNKNOWN_ERA)
    assert history.has_risen is bool(rises)


# Peers of an earlier build name no era.  Their versions count as before, until
# this node knows that some may be of an era that is over.
@pytest.mark.parametrize(
    ('met', 'told', 'completed'),
    [
        ((), StoreVersion(0, 5), StoreVersion(0, 5)),
        ((1,), StoreVersion(0, 5), StoreVersion(1, 5)),
        ((4,), StoreVersion(0, 5), StoreVersion(4, 5)),
        ((1, 2), StoreVersion(0, 5), StoreVersion(0, 5)),
        ((1,), StoreVersion(2, 5), StoreVersion(2, 5)),
        ((1, 2), StoreVersion(1, 5), StoreVersion(1, 5)),
    ],
)
def test_a_version_without_an_era(met, told, completed):
    history = EraHistory()
    for era in met:
        history.record(era)
    assert history.complete(told) == completed
