"""Metrics of an ingress node in the Prometheus text format."""

import time
from typing import TYPE_CHECKING

from wigeonspoke.ingress.state import IngressState

if TYPE_CHECKING:
    from wigeonspoke.observe.metrics import RenderedMetrics

PREFIX = 'wigeonspoke_ingress'


def render_counters(state: IngressState) -> 'RenderedMetrics':
    """Render the current counters and gauges of a node."""
    # Imported on the first request: importing the library takes a third of
    # the start-up time.
    from aioprometheus import Counter, Gauge, Registry, render

    from wigeonspoke.observe.metrics import RenderedMetrics

    now = time.monotonic()
    parts = state.part_watch.registry
    registry = Registry()
    events = Counter(
        f'{PREFIX}_events_total',
        'what happened, by kind and reason',
        registry=registry,
    )
    for (name, reason), count in state.counters.items():
        events.set({'kind': name, 'reason': reason}, count)
    gauges = {
        'configuration_version': state.routing_table.version,
        'endpoints': len(state.fleet.endpoints),
        'isolated_groups': len(state.reachability.isolated_groups(now)),
        'suspects': len(state.suspects.suspicions),
        'suspected_parts': len(parts.suspicions),
        'quarantined_parts': len(parts.quarantined(now)),
        'answer_body_bytes': state.memory.held_bytes,
        'request_body_bytes': state.request_memory.bodies.held_bytes,
        'request_bodies_waiting': len(state.request_memory.bodies.waiting),
        'queued_requests': len(state.queues),
        'queue_age_seconds': state.queues.oldest_age(now),
    }
    for name, reading in gauges.items():
        gauge = Gauge(f'{PREFIX}_{name}', name, registry=registry)
        gauge.set({}, reading)
    body, headers = render(registry, ('text/plain',))
    return RenderedMetrics(body, headers['Content-Type'])
