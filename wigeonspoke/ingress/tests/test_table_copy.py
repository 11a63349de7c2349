"""What a peer is sent of a table that it knows up to some version."""

import msgspec
import pytest

from wigeonspoke.ingress.tables.table_copy import (
    MAX_CHANGES,
    TableCopy,
    decode_rows,
)
from wigeonspoke.store import TableRow


def make_row(key: str, version: int, *, is_removed: bool = False) -> TableRow:
    """Create a row whose content tells its version."""
    content = msgspec.Raw(b'' if is_removed else str(version).encode())
    return TableRow(key, version, content, is_removed)


@pytest.fixture
def copy() -> TableCopy:
    """Return a copy of two rows, read up to version 10."""
    made = TableCopy()
    made.replace((make_row('a', 1), make_row('b', 2)), 10)
    return made


def _sent(copy: TableCopy, known: int) -> dict[str, int]:
    """Return the version of each row sent, negative if it was removed."""
    rows = copy.snapshot_after(known).rows
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
    copy.apply_changes((make_row('b', 12, is_removed=True),), 12)
    copy.apply_changes((make_row('c', 13),), 13)
    for version in range(14, 31):
        copy.apply_changes((make_row('a', version),), version)
    assert _sent(copy, known) == sent
    assert copy.snapshot_after(known).is_complete is is_complete
    assert copy.snapshot_after(30) is None


def test_a_removed_row_that_is_back_is_sent_as_it_is(copy):
    copy.apply_changes((make_row('a', 11, is_removed=True),), 11)
    copy.apply_changes((make_row('a', 12),), 12)
    assert _sent(copy, 10) == {'a': 12}


def test_the_changes_remembered_are_bounded(copy):
    for version in range(11, 11 + 3 * MAX_CHANGES):
        copy.apply_changes((make_row(f'k{version}', version),), version)
    last = copy.version
    assert len(copy.changes) <= MAX_CHANGES
    assert copy.snapshot_after(10).is_complete
    assert len(_sent(copy, last - 5)) == 5


def test_a_peer_that_adopts_what_it_is_sent_has_the_same_rows(copy):
    peer = TableCopy()
    peer.replace(decode_rows(copy.snapshot_after(-1)), copy.version)
    copy.apply_changes(
        (make_row('a', 11), make_row('b', 12, is_removed=True)), 12
    )
    copy.apply_changes((make_row('a', 14), make_row('d', 15)), 16)
    sent = copy.snapshot_after(peer.version)
    peer.apply_changes(decode_rows(sent), sent.version)
    assert peer.rows == copy.rows
    assert peer.version == copy.version
