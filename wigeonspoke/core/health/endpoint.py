"""Health of one endpoint, from the results of its steps and probes."""

import enum
import math

# Delay between an ejection and the next probe, and its growth.
MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 15.0
EJECTION_BACKOFF_FACTOR = 2
# How long a recovered endpoint takes to reach its full stream limit.
SLOW_START_SECONDS = 3.0
# Weight of the newest sample in the moving average of the latency.
LATENCY_SMOOTHING = 0.1
# A step times out after a multiple of the latency, plus a time per input.
MIN_TIMEOUT_SECONDS = 1.0
MAX_TIMEOUT_SECONDS = 10.0
TIMEOUT_FACTOR = 8
SECONDS_PER_INPUT = 0.005
# Multiple of the baseline latency above which an endpoint counts as slow.
SLOWDOWN_THRESHOLD = 4


@enum.unique
class HealthState(enum.StrEnum):
    """Whether an endpoint is eligible for new work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'


class EndpointHealth:
    """Tracks an endpoint's failures and its latency.

    A failure ejects the endpoint.  An ejected endpoint is probed after a
    delay that doubles with each ejection and each failed probe; a successful
    step after slow start resets it.  A successful probe makes the endpoint
    eligible again, in slow start: its stream limit increases linearly.

    ``latency_seconds`` is a moving average, ``baseline_seconds`` the
    configured time of a step, or 0 if there is none.
    """

    __slots__ = (
        'baseline_seconds',
        'ejected_at',
        'ejection_seconds',
        'latency_seconds',
        'next_probe_at',
        'probing',
        'reason',
        'recovered_at',
        'state',
    )

    def __init__(self, baseline_seconds: float) -> None:
        self.baseline_seconds = baseline_seconds
        self.latency_seconds = baseline_seconds
        self.state = HealthState.HEALTHY
        self.ejection_seconds = MIN_EJECTION_SECONDS
        self.ejected_at = -math.inf
        self.next_probe_at = 0
        self.probing = False
        self.recovered_at = -SLOW_START_SECONDS
        self.reason = ''

    @property
    def slowdown(self) -> float:
        """Return the factor on an endpoint's expected time, at least 1.

        It exceeds 1 only if the latency is more than ``SLOWDOWN_THRESHOLD``
        times the baseline.
        """
        if not self.baseline_seconds:
            return 1
        return max(
            1,
            self.latency_seconds / (SLOWDOWN_THRESHOLD * self.baseline_seconds),
        )

    def is_usable(self, now: float) -> bool:
        """Return whether the endpoint may receive new work."""
        return self.state is HealthState.HEALTHY

    def allowed_streams(self, limit: int, now: float) -> int:
        """Return the stream limit, reduced during slow start."""
        since_recovery = now - self.recovered_at
        if since_recovery >= SLOW_START_SECONDS:
            return limit
        return max(1, int(limit * since_recovery / SLOW_START_SECONDS))

    def timeout_seconds(self, inputs: int) -> float:
        """Return the timeout of a step with a number of input tokens."""
        expected = (
            TIMEOUT_FACTOR * self.latency_seconds + SECONDS_PER_INPUT * inputs
        )
        bounded = max(MIN_TIMEOUT_SECONDS, expected)
        return min(MAX_TIMEOUT_SECONDS, bounded)

    def record_success(self, seconds: float, now: float) -> None:
        """Record a step that succeeded after ``seconds``."""
        self.latency_seconds += LATENCY_SMOOTHING * (
            seconds - self.latency_seconds
        )
        if now - self.recovered_at >= SLOW_START_SECONDS:
            self.ejection_seconds = MIN_EJECTION_SECONDS

    def record_failure(self, reason: str, now: float) -> bool:
        """Record a failure; return whether it ejected the endpoint."""
        if self.state is HealthState.EJECTED:
            return False
        self.state = HealthState.EJECTED
        self.ejected_at = now
        self.reason = reason
        self._schedule_probe(now)
        return True

    def start_probe_if_due(self, now: float) -> bool:
        """Return whether a probe is due, and if so mark it as running.

        At most one probe runs at a time.
        """
        if self.state is HealthState.HEALTHY or self.probing:
            return False
        if now < self.next_probe_at:
            return False
        self.probing = True
        return True

    def record_probe(self, healthy: bool, now: float) -> bool:
        """Record a probe's result; return whether the endpoint recovered."""
        self.probing = False
        if self.state is HealthState.HEALTHY:
            return False
        if not healthy:
            self._schedule_probe(now)
            return False
        self.state = HealthState.HEALTHY
        self.latency_seconds = self.baseline_seconds
        self.recovered_at = now
        self.reason = ''
        return True

    def _schedule_probe(self, now: float) -> None:
        self.next_probe_at = now + self.ejection_seconds
        increased = self.ejection_seconds * EJECTION_BACKOFF_FACTOR
        self.ejection_seconds = min(MAX_EJECTION_SECONDS, increased)
