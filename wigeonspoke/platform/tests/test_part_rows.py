"""Rows of quarantined parts are merged with what a node knows of them."""

import msgspec
import pytest

from wigeonspoke.ingress.tables.part_table import PartConsumer, PartRow
from wigeonspoke.ingress.tables.table_source import TableSource
from wigeonspoke.store import TableRow

PART = 'drafting/part'
CRASHES = {'e-1@1': 100.0, 'e-2@1': 101.0, 'e-3@1': 102.0}
STORE_SECONDS = 103.0


def _apply_row(harness, store_seconds: float | None) -> None:
    consumer = PartConsumer(harness.node.state, lambda: store_seconds)
    content = msgspec.json.encode(PartRow(CRASHES))
    consumer.apply_change(
        TableRow(PART, 1, msgspec.Raw(content)), TableSource()
    )


def _is_quarantined(harness) -> bool:
    registry = harness.node.state.part_watch.registry
    return registry.suspicions[PART].is_confirmed


@pytest.mark.parametrize('store_seconds', [None, STORE_SECONDS])
def test_a_row_of_an_unknown_part_is_taken_over(harness, store_seconds):
    _apply_row(harness, store_seconds)
    assert _is_quarantined(harness)


# A peer may send its copy of the table, and the row was removed since.
@pytest.mark.parametrize('store_seconds', [None, STORE_SECONDS])
def test_a_row_does_not_undo_a_sound_answer_after_it(harness, store_seconds):
    _apply_row(harness, STORE_SECONDS)
    assert _is_quarantined(harness)
    consumer = PartConsumer(harness.node.state, lambda: STORE_SECONDS)
    removed = TableRow(PART, 2, msgspec.Raw(b''), is_removed=True)
    consumer.apply_change(removed, TableSource())
    _apply_row(harness, store_seconds)
    assert not _is_quarantined(harness)
