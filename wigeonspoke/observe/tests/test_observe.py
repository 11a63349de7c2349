"""Tests of the hybrid clock, the timeline and the metrics."""

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
from wigeonspoke.observe.timeline import MAX_EVENTS

PACKAGE = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ('received', 'expected'),
    [
        (HybridTime(500, 9), HybridTime(1000, 0)),
        (HybridTime(1000, 4), HybridTime(1000, 5)),
        (HybridTime(9000, 0), HybridTime(9000, 1)),
    ],
)
def test_clock_advances_past_received_times(received, expected):
    clock = HybridClock(lambda: 1.0)
    clock.merge(received)
    assert clock.tick() == expected


def test_merge_orders_effect_after_cause_despite_clock_skew():
    ahead = Timeline('n1', 'a', HybridClock(lambda: 9.0))
    behind = Timeline('n2', 'b', HybridClock(lambda: 1.0))
    ahead.add('cause')
    behind.clock.merge(ahead.clock.tick())
    behind.add('effect')
    merged = merge_events([behind.events, ahead.events])
    assert [event.kind for event in merged] == ['cause', 'effect']


def test_timeline_is_bounded():
    timeline = Timeline('n1', 'a', HybridClock(lambda: 1.0))
    for _ in range(MAX_EVENTS + 5):
        timeline.add('kind', request_id='r1')
    assert len(timeline.events) == MAX_EVENTS
    assert timeline.select('r2') == ()


def _core_counter_names():
    pattern = re.compile(r"\.count\(\s*'([a-z_]+)'")
    sources = (PACKAGE / 'core').rglob('*.py')
    return {
        name
        for source in sources
        for name in pattern.findall(source.read_text())
    }


def test_every_core_counter_is_a_metric():
    assert _core_counter_names() == {metric.name for metric in COUNTERS}


@pytest.mark.parametrize(
    'metric',
    [*COUNTERS, *GAUGES],
    ids=lambda metric: metric.name,
)
def test_metric_is_documented(metric):
    page = PACKAGE.parent / 'docs' / 'metrics.md'
    assert f'`wigeonspoke_{metric.name}' in page.read_text()


def test_render():
    router = Router('n1', 'a', random.Random(1))
    router.view.count('call_finished', 'completed')
    text = NodeMetrics(router).render().body.decode()
    assert 'wigeonspoke_call_finished_total{reason="completed"} 1' in text
    assert 'wigeonspoke_live_nodes 1' in text
