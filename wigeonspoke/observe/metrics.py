"""Metrics of a node in the Prometheus text format.

The core counts events by name and reason.  Its counters are copied into the
registry only when metrics are requested, so that counting costs the data path
one addition in a dictionary.
"""

import msgspec
from aioprometheus import Counter, Gauge, Registry, render

from wigeonspoke.core.router import Router

PREFIX = 'wigeonspoke'
ACCEPTED_TYPES = ('text/plain',)


class RenderedMetrics(msgspec.Struct, frozen=True):
    """Metrics in a text format, with the content type."""

    body: bytes
    content_type: str


class MetricDoc(msgspec.Struct, frozen=True):
    """A metric's name without the prefix, its unit and its help text."""

    name: str
    unit: str
    help_text: str


COUNTERS = (
    MetricDoc('call_answered', 'calls', 'answered with a stored reply'),
    MetricDoc('call_cancelled', 'calls', 'cancelled by the caller'),
    MetricDoc('call_finished', 'calls', 'finished, by outcome'),
    MetricDoc('call_refused', 'calls', 'refused at admission'),
    MetricDoc('call_try_failed', 'tries', 'failed tries of calls, by reason'),
    MetricDoc(
        'claim_answer_dropped', 'answers', 'arrived after the call had finished'
    ),
    MetricDoc(
        'claim_retried', 'claims', 'inserted again after an unknown result'
    ),
    MetricDoc('configuration_adopted', 'generations', 'adopted'),
    MetricDoc('configuration_ignored', 'generations', 'received but not newer'),
    MetricDoc(
        'endpoint_ejected', 'ejections', 'endpoints excluded after a failure'
    ),
    MetricDoc(
        'endpoint_returned', 'returns', 'ejected endpoints included again'
    ),
    MetricDoc('failure_dropped', 'events', 'failures of tries that had ended'),
    MetricDoc('generation_cancelled', 'requests', 'cancelled by the caller'),
    MetricDoc('generation_finished', 'requests', 'finished, by outcome'),
    MetricDoc('generation_refused', 'requests', 'refused at admission'),
    MetricDoc(
        'host_leaving',
        'endpoints',
        'on hosts that the platform lists as leaving',
    ),
    MetricDoc('mark_changed', 'marks', 'changed endpoint marks, by state'),
    MetricDoc(
        'pause_noticed', 'pauses', 'of this process, detected by a late tick'
    ),
    MetricDoc('peer_forgotten', 'peers', 'removed as silent or unreachable'),
    MetricDoc(
        'reply_dropped', 'replies', 'late or duplicate, for no try in progress'
    ),
    MetricDoc(
        'stage_moved', 'stages', 'moved to another endpoint after a refusal'
    ),
    MetricDoc('step_failed', 'steps', 'failed steps, by reason'),
)
GAUGES = (
    MetricDoc('generation', 'generation', 'of the configuration in force'),
    MetricDoc('live_nodes', 'nodes', 'this node and its live peers'),
    MetricDoc('open_requests', 'requests', 'generation requests in progress'),
    MetricDoc('open_calls', 'calls', 'service calls in progress'),
)


class NodeMetrics:
    """Renders the counters and the state of a router as metrics."""

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
        """Return all metrics with their current values."""
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
            'open_requests': len(router.generations.sessions),
            'open_calls': len(router.calls.sessions),
        }
        for name, gauge_value in gauge_values.items():
            self.gauges[name].set({}, gauge_value)
