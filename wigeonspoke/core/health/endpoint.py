"""The health of one endpoint, judged from the ends of its steps."""

import enum

MIN_EJECTION_SECONDS = 0.5
MAX_EJECTION_SECONDS = 15.0
EJECTION_BACKOFF_FACTOR = 2
SLOW_START_SECONDS = 3.0
LATENCY_SMOOTHING = 0.1
MIN_TIMEOUT_SECONDS = 1.0
MAX_TIMEOUT_SECONDS = 10.0
TIMEOUT_FACTOR = 8
SECONDS_PER_INPUT = 0.005
SLOWDOWN_THRESHOLD = 4


@enum.unique
class HealthState(enum.StrEnum):
    """Whether an endpoint gets work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'


class EndpointHealth:
    """Judges an endpoint by its failures and by its own usual latency.

    A failure ejects the endpoint.  An ejected endpoint is probed, after a
    wait that doubles with each ejection in a row, and a healthy answer
    brings it back with a few streams at first.
    """

    __slots__ = (
        'baseline_seconds',
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
        self.next_probe_at = 0
        self.probing = False
        self.recovered_at = -SLOW_START_SECONDS
        self.reason = ''

    @property
    def slowdown(self) -> float:
        """Give how many times its usual time the endpoint takes, if slow."""
        if not self.baseline_seconds:
            return 1
        return max(
            1,
            self.latency_seconds / (SLOWDOWN_THRESHOLD * self.baseline_seconds),
        )

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go to the endpoint."""
        return self.state is HealthState.HEALTHY

    def allowed_streams(self, limit: int, now: float) -> int:
        """Give how many streams the endpoint may hold, in slow start fewer."""
        since_recovery = now - self.recovered_at
        if since_recovery >= SLOW_START_SECONDS:
            return limit
        return max(1, int(limit * since_recovery / SLOW_START_SECONDS))

    def timeout_seconds(self, inputs: int) -> float:
        """Give how long to wait for a step with so many inputs."""
        expected = (
            TIMEOUT_FACTOR * self.latency_seconds + SECONDS_PER_INPUT * inputs
        )
        bounded = max(MIN_TIMEOUT_SECONDS, expected)
        return min(MAX_TIMEOUT_SECONDS, bounded)

    def record_success(self, seconds: float, now: float) -> None:
        """Take in a step that ended well after ``seconds``."""
        self.latency_seconds += LATENCY_SMOOTHING * (
            seconds - self.latency_seconds
        )
        if now - self.recovered_at >= SLOW_START_SECONDS:
            self.ejection_seconds = MIN_EJECTION_SECONDS

    def record_failure(self, reason: str, now: float) -> bool:
        """Take in a failure; tell whether it ejected the endpoint."""
        if self.state is HealthState.EJECTED:
            return False
        self.state = HealthState.EJECTED
        self.reason = reason
        self._schedule_probe(now)
        return True

    def start_probe_if_due(self, now: float) -> bool:
        """Tell whether it is time to probe the endpoint, once a time."""
        if self.state is HealthState.HEALTHY or self.probing:
            return False
        if now < self.next_probe_at:
            return False
        self.probing = True
        return True

    def record_probe(self, healthy: bool, now: float) -> bool:
        """Take in a probe's answer; tell whether the endpoint is back."""
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
