"""Metrics of a node in the Prometheus text format.

The core counts by name and reason; the counters are copied into the
registry when somebody asks for them, so that counting costs the data path
one addition to a table.
"""

import msgspec
from aioprometheus import Counter, Gauge, Registry, render

from wigeonspoke.core.router import Router

PREFIX = 'wigeonspoke'
ACCEPTED_TYPES = ('text/plain',)


class RenderedMetrics(msgspec.Struct, frozen=True):
    """A rendered page of metrics with its content type."""

    body: bytes
    content_type: str


class MetricDoc(msgspec.Struct, frozen=True):
    """A metric's name without prefix, its unit and its meaning."""

    name: str
    unit: str
    help_text: str


COUNTERS = (
    MetricDoc('call_answered', 'calls', 'answered from a kept reply'),
    MetricDoc('call_cancelled', 'calls', 'given up by their callers'),
    MetricDoc('call_finished', 'calls', 'ended, by outcome'),
    MetricDoc('call_refused', 'calls', 'refused before any step'),
    MetricDoc('call_try_failed', 'tries', 'tries of calls that failed'),
    MetricDoc('claim_answer_dropped', 'answers', 'came after their call'),
    MetricDoc('claim_retried', 'claims', 'inserted again after no answer'),
    MetricDoc('configuration_adopted', 'generations', 'put in force'),
    MetricDoc('configuration_ignored', 'generations', 'heard, not newer'),
    MetricDoc('endpoint_ejected', 'ejections', 'endpoints taken out'),
    MetricDoc('endpoint_returned', 'returns', 'endpoints back in'),
    MetricDoc('failure_dropped', 'events', 'failures of ended tries'),
    MetricDoc('generation_cancelled', 'requests', 'given up by callers'),
    MetricDoc('generation_finished', 'requests', 'ended, by outcome'),
    MetricDoc('generation_refused', 'requests', 'refused before any step'),
    MetricDoc('host_leaving', 'endpoints', 'on hosts listed as leaving'),
    MetricDoc('mark_changed', 'marks', 'endpoint marks that changed'),
    MetricDoc('pause_noticed', 'pauses', 'this process stood still'),
    MetricDoc('peer_forgotten', 'peers', 'not heard of for too long'),
    MetricDoc('reply_dropped', 'replies', 'late, crossed or repeated'),
    MetricDoc('stage_moved', 'stages', 'opened elsewhere after a refusal'),
    MetricDoc('step_failed', 'steps', 'steps that failed, by reason'),
)
GAUGES = (
    MetricDoc('generation', 'generation', 'configuration in force'),
    MetricDoc('live_nodes', 'nodes', 'this node and its live peers'),
    MetricDoc('open_requests', 'requests', 'generations in progress'),
    MetricDoc('open_calls', 'calls', 'service calls in progress'),
)


class NodeMetrics:
    """Renders the counters and the state of a router."""

    __slots__ = ('counters', 'gauges', 'registry', 'router')

    def __init__(self, router: Router) -> None:
        self.router = router
        self.registry = Registry()
        self.counters = {
            metric.name: Counter(
                f'{PREFIX}_{metric.name}_total',
                f'{metric.unit}: {metric.help_text}',
                registry=self.registry,
            )
            for metric in COUNTERS
        }
        self.gauges = {
            metric.name: Gauge(
                f'{PREFIX}_{metric.name}',
                f'{metric.unit}: {metric.help_text}',
                registry=self.registry,
            )
            for metric in GAUGES
        }

    def render(self) -> RenderedMetrics:
        """Give all metrics as they are now."""
        for (name, reason), count in self.router.view.counters.items():
            self.counters[name].set({'reason': reason}, count)
        self._set_gauges()
        body, headers = render(self.registry, ACCEPTED_TYPES)
        return RenderedMetrics(body, headers['Content-Type'])

    def _set_gauges(self) -> None:
        router = self.router
        gauge_values = {
            'generation': router.view.generation,
            'live_nodes': router.view.peers.live_nodes,
            'open_requests': len(router.generation.sessions),
            'open_calls': len(router.calls.sessions),
        }
        for name, gauge_value in gauge_values.items():
            self.gauges[name].set({}, gauge_value)
