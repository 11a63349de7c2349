"""Clock, time line and metrics."""

import random
import re
from pathlib import Path

import pytest

from wigeonspoke.core.router import Router
from wigeonspoke.observe import (
    HybridClock,
    HybridTime,
    NodeMetrics,
    Timeline,
    merge_events,
)
from wigeonspoke.observe.metrics import COUNTERS, GAUGES
from wigeonspoke.observe.timeline import RING_EVENTS

PACKAGE = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ('heard', 'following'),
    [
        (HybridTime(500, 9), HybridTime(1000, 0)),
        (HybridTime(1000, 4), HybridTime(1000, 5)),
        (HybridTime(9000, 0), HybridTime(9000, 1)),
    ],
)
def test_clock_is_later_than_what_it_heard(heard, following):
    clock = HybridClock(lambda: 1.0)
    clock.merge(heard)
    assert clock.tick() == following


def test_effect_stands_after_its_cause_though_its_clock_is_behind():
    ahead = Timeline('n1', 'a', HybridClock(lambda: 9.0))
    behind = Timeline('n2', 'b', HybridClock(lambda: 1.0))
    ahead.add('cause')
    behind.clock.merge(ahead.clock.tick())
    behind.add('effect')
    merged = merge_events([behind.ring, ahead.ring])
    assert [event.kind for event in merged] == ['cause', 'effect']


def test_ring_is_bounded():
    timeline = Timeline('n1', 'a', HybridClock(lambda: 1.0))
    for _ in range(RING_EVENTS + 5):
        timeline.add('kind', request_id='r1')
    assert len(timeline.ring) == RING_EVENTS
    assert timeline.select('r2') == ()


def _counted_names():
    pattern = re.compile(r"\.count\(\s*'([a-z_]+)'")
    sources = (PACKAGE / 'core').rglob('*.py')
    return {
        name
        for source in sources
        for name in pattern.findall(source.read_text())
    }


def test_every_count_of_the_core_is_a_metric():
    assert _counted_names() == {doc.name for doc in COUNTERS}


@pytest.mark.parametrize(
    'doc',
    [*COUNTERS, *GAUGES],
    ids=lambda doc: doc.name,
)
def test_metrics_page_lists_it(doc):
    page = PACKAGE.parent / 'docs' / 'metrics.md'
    assert f'`wigeonspoke_{doc.name}' in page.read_text()


def test_rendered_text():
    router = Router('n1', 'a', random.Random(1))
    router.view.count('call_finished', 'completed')
    text = NodeMetrics(router).render().body.decode()
    assert 'wigeonspoke_call_finished_total{reason="completed"} 1' in text
    assert 'wigeonspoke_live_nodes 1' in text
