"""Observability of a process: metrics, timeline and logs."""

from wigeonspoke.observe.hybrid_clock import HybridClock, HybridTime
from wigeonspoke.observe.latency import LatencyRecorder, Percentiles
from wigeonspoke.observe.logs import configure_logs
from wigeonspoke.observe.metrics import NodeMetrics
from wigeonspoke.observe.timeline import Timeline, TimelineEvent, merge_events

__all__ = (
    'HybridClock',
    'HybridTime',
    'LatencyRecorder',
    'NodeMetrics',
    'Percentiles',
    'Timeline',
    'TimelineEvent',
    'configure_logs',
    'merge_events',
)
