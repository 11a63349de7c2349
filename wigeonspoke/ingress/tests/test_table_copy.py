"""What a peer is sent of a table that it knows up to some version."""

import msgspec
import pytest

from wigeonspoke.core.store_version import UNREAD, StoreVersion
from wigeonspoke.ingress.peers.peer_versions import PeerVersions
from wigeonspoke.ingress.tables.table_copy import (
    MAX_CHANGES,
    TableCopy,
    decode_rows,
)
from wigeonspoke.store import TableRow


ERA = 3


def at(number: int) -> StoreVersion:
    """Return a version of the era in which all of this happens."""
    return StoreVersion(ERA, number)


def make_row(key: str, version: int, *, is_removed: bool = False) -> TableRow:
    """Create a row whose content tells its version."""
    content = msgspec.Raw(b'' if is_removed else str(version).encode())
    return TableRow(key, version, content, is_removed)


@pytest.fixture
def copy() -> TableCopy:
    """Return a copy of two rows, read up to version 10."""
    made = TableCopy()
    made.replace((make_row('a', 1), make_row('b', 2)), at(10))
    return made


def _sent(copy: TableCopy, known: int) -> dict[str, int]:
    """Return the version of each row sent, negative if it was removed."""
    rows = copy.snapshot_after(at(known)).rows
    versions = {
        row.key: -row.version if row.is_removed else row.version for row in rows
    }
    assert len(versions) == len(rows)
    return versions


@pytest.mark.parametrize(
    ('known', 'is_complete', 'sent'),
    [
        pytest.param(-1, True, {'a': 30, 'c': 13}, id='nothing'),
        pytest.param(9, True, {'a': 30, 'c': 13}, id='before the read'),
        pytest.param(10, False, {'a': 30, 'b': -12, 'c': 13}, id='the read'),
        pytest.param(12, False, {'a': 30, 'c': 13}, id='the removal'),
        pytest.param(29, False, {'a': 30}, id='all but the last'),
    ],
)
def test_a_row_is_sent_once_however_often_it_changed(
    copy, known, is_complete, sent
):
    copy.apply_changes((make_row('b', 12, is_removed=True),), at(12))
    copy.apply_changes((make_row('c', 13),), at(13))
    for version in range(14, 31):
        copy.apply_changes((make_row('a', version),), at(version))
    assert _sent(copy, known) == sent
    assert copy.snapshot_after(at(known)).is_complete is is_complete
    assert copy.snapshot_after(at(30)) is None


def test_a_removed_row_that_is_back_is_sent_as_it_is(copy):
    copy.apply_changes((make_row('a', 11, is_removed=True),), at(11))
    copy.apply_changes((make_row('a', 12),), at(12))
    assert _sent(copy, 10) == {'a': 12}


def test_the_changes_remembered_are_bounded(copy):
    for version in range(11, 11 + 3 * MAX_CHANGES):
        row = make_row(f'k{version}', version)
        copy.apply_changes((row,), at(version))
    last = copy.version.number
    assert len(copy.changes) <= MAX_CHANGES
    assert copy.snapshot_after(at(10)).is_complete
    assert len(_sent(copy, last - 5)) == 5


def test_a_peer_that_adopts_what_it_is_sent_has_the_same_rows(copy):
    peer = TableCopy()
    peer.replace(decode_rows(copy.snapshot_after(UNREAD)), copy.version)
    copy.apply_changes(
        (make_row('a', 11), make_row('b', 12, is_removed=True)), at(12)
    )
    copy.apply_changes((make_row('a', 14), make_row('d', 15)), at(16))
    sent = copy.snapshot_after(peer.version)
    peer.apply_changes(decode_rows(sent), sent.store_version)
    assert peer.rows == copy.rows
    assert peer.version == copy.version


# A version that was given out again is another one: what a peer lacks cannot
# be told by its number.
@pytest.mark.parametrize('number', [-1, 9, 10, 12, 40])
def test_a_peer_of_an_earlier_era_is_sent_the_whole_table(copy, number):
    copy.apply_changes((make_row('c', 12),), at(12))
    sent = copy.snapshot_after(StoreVersion(ERA - 1, number))
    assert sent.is_complete
    assert sent.store_version == at(12)


@pytest.mark.parametrize('era', [UNREAD.era, ERA - 1, ERA + 1])
def test_changes_of_another_era_are_not_applied(copy, era):
    assert not copy.apply_changes((make_row('a', 30),), StoreVersion(era, 30))
    assert copy.version == at(10)
    assert copy.rows['a'].version == 1


def test_the_newest_change_follows_the_era(copy):
    copy.apply_changes((make_row('a', 30),), at(30))
    copy.replace((make_row('b', 2),), StoreVersion(ERA + 1, 11))
    assert copy.newest_change == StoreVersion(ERA + 1, 2)
    assert copy.snapshot_after(at(40)).is_complete


# A peer that has not met the new era goes on to tell of the lost versions.
@pytest.mark.parametrize('lost', [at(1), at(900)])
def test_what_peers_tell_of_an_earlier_era_is_not_newer(lost):
    versions = PeerVersions()
    known = StoreVersion(ERA + 1, 5)
    versions.record('op', lost, 'a:1', now=0)
    assert not versions.has_newer('op', known)
    versions.record('op', StoreVersion(ERA + 1, 6), 'b:1', now=1)
    versions.record('op', lost, 'a:1', now=2)
    assert versions.find_newer_peer('op', known, 3) == 'b:1'
