"""The evidence against a part is the same in whichever order it is heard of."""

import itertools

import pytest

from wigeonspoke.core.quarantine import CrashReport, PartRegistry, PartReport

PART = 'model/part'


def _record_sound(registry: PartRegistry) -> None:
    registry.record_sound((PART,), 10.5)


def _hear_of_earlier_crash(registry: PartRegistry) -> None:
    report = PartReport(PART, (CrashReport('e1', 0.6),))
    registry.merge(report, 10.6)


# A crash at 10.0 is answered by the sound answer at 10.5.
@pytest.mark.parametrize(
    'order',
    tuple(itertools.permutations((_record_sound, _hear_of_earlier_crash))),
    ids=('sound-answer-first', 'crash-first'),
)
def test_a_crash_before_a_sound_answer_counts_in_no_order(order):
    registry = PartRegistry()
    for step in order:
        step(registry)
    suspicion = registry.suspicions.get(PART)
    assert suspicion is None or not suspicion.crashes
