"""The health of one endpoint, judged from the ends of its steps."""

import enum

EJECT_SECONDS = 0.5
MAX_EJECT_SECONDS = 15.0
EJECT_GROWTH = 2
SLOW_START_SECONDS = 3.0
LATENCY_GAIN = 0.1
MIN_TIMEOUT_SECONDS = 1.0
MAX_TIMEOUT_SECONDS = 10.0
TIMEOUT_FACTOR = 8
INPUT_SECONDS = 0.005
SLOW_FACTOR = 4


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
        'eject_seconds',
        'latency',
        'probe_at',
        'probing',
        'reason',
        'returned_at',
        'state',
        'usual_seconds',
    )

    def __init__(self, usual_seconds: float) -> None:
        self.usual_seconds = usual_seconds
        self.latency = usual_seconds
        self.state = HealthState.HEALTHY
        self.eject_seconds = EJECT_SECONDS
        self.probe_at = 0
        self.probing = False
        self.returned_at = -SLOW_START_SECONDS
        self.reason = ''

    @property
    def slowness(self) -> float:
        """Give how many times its usual time the endpoint takes, if slow."""
        if not self.usual_seconds:
            return 1
        return max(1, self.latency / (SLOW_FACTOR * self.usual_seconds))

    def is_usable(self, now: float) -> bool:
        """Tell whether new work may go to the endpoint."""
        return self.state is HealthState.HEALTHY

    def allowed_streams(self, limit: int, now: float) -> int:
        """Give how many streams the endpoint may hold, in slow start fewer."""
        age = now - self.returned_at
        if age >= SLOW_START_SECONDS:
            return limit
        return max(1, int(limit * age / SLOW_START_SECONDS))

    def timeout_seconds(self, inputs: int) -> float:
        """Give how long to wait for a step with so many inputs."""
        expected = TIMEOUT_FACTOR * self.latency + INPUT_SECONDS * inputs
        floored = max(MIN_TIMEOUT_SECONDS, expected)
        return min(MAX_TIMEOUT_SECONDS, floored)

    def note_success(self, seconds: float, now: float) -> None:
        """Take in a step that ended well after ``seconds``."""
        self.latency += LATENCY_GAIN * (seconds - self.latency)
        if now - self.returned_at >= SLOW_START_SECONDS:
            self.eject_seconds = EJECT_SECONDS

    def note_failure(self, reason: str, now: float) -> bool:
        """Take in a failure; tell whether it ejected the endpoint."""
        if self.state is HealthState.EJECTED:
            return False
        self.state = HealthState.EJECTED
        self.reason = reason
        self._schedule_probe(now)
        return True

    def wants_probe(self, now: float) -> bool:
        """Tell whether it is time to probe the endpoint, once a time."""
        if self.state is HealthState.HEALTHY or self.probing:
            return False
        if now < self.probe_at:
            return False
        self.probing = True
        return True

    def note_probe(self, healthy: bool, now: float) -> bool:
        """Take in a probe's answer; tell whether the endpoint is back."""
        self.probing = False
        if self.state is HealthState.HEALTHY:
            return False
        if not healthy:
            self._schedule_probe(now)
            return False
        self.state = HealthState.HEALTHY
        self.latency = self.usual_seconds
        self.returned_at = now
        self.reason = ''
        return True

    def _schedule_probe(self, now: float) -> None:
        self.probe_at = now + self.eject_seconds
        grown = self.eject_seconds * EJECT_GROWTH
        self.eject_seconds = min(MAX_EJECT_SECONDS, grown)
