"""What this node has seen of one group of endpoints."""

import math

# A failed connection attempt is evidence for this time.
FAILURE_SECONDS = 2.0
# Endpoints that must fail before a group with at least as many is isolated.
MIN_FAILED_ENDPOINTS = 2
# Isolation is being determined for this long after a failure.
DETERMINATION_SECONDS = 1.0
# Failures that go on for longer without evidence of isolation mean that the
# endpoints are down: twice the time in which isolation has to be detected.
MAX_DETERMINATION_SECONDS = 2.0
# Time within which the trial that a first failure causes has a result.
# Until then no conclusion is drawn: several endpoints may have ended at once.
TRIAL_RESULT_SECONDS = 0.3
# Time between trial connections: at first, and at most after isolations that
# follow each other.
MIN_TRIAL_SECONDS = 0.5
MAX_TRIAL_SECONDS = 4.0
# After this time without isolation, trials are as frequent as at first.
CALM_SECONDS = 10.0
# Time between trials while requests get no answer and nothing is concluded:
# the time that an endpoint has to answer one.
UNANSWERED_TRIAL_SECONDS = 0.75
# Successful trials, at different endpoints, that end an isolation.
MIN_SUCCESSES = 2
# Successful trials that end it at a single endpoint while the registry lists
# others that do not answer: some may have ended during the isolation.
MIN_SUCCESSES_AT_ONE = 3
# Multiple of the trial interval for which a success counts.  Three successes
# at one of two endpoints that are tried in turn span four intervals.
SUCCESS_INTERVALS = 6.0
# The share of requests that go to the node's own endpoints rises from the
# initial one to all of them within this time.
RECOVERY_SECONDS = 2.0
INITIAL_SHARE = 0.1


class GroupState:
    """Connection attempts to a group, and the isolation from it.

    Times are on the monotonic clock.  ``failed_at`` holds the last failure
    of each endpoint after the last success.  ``unanswered_ids`` are those of
    them whose connections were established and gave no answer: something on
    the way may establish connections.  Only an answer refutes them, and only
    answered trials end an isolation that follows from them (``needs_answers``).
    ``failed_trial_at`` is when the last trial began that had no answer.

    ``run_started_at`` is the first failure of the current run of failures, and
    of the current or the last isolation.  ``isolated_at`` is when the isolation
    began, None without one, and ``recovered_at`` when the last one ended and
    the recovery began.  ``last_tried`` is the endpoint id of the last trial,
    and ``successes`` are the endpoint ids and times of successful ones during
    the isolation.
    """

    __slots__ = (
        'answered_at',
        'connected_at',
        'connected_ids',
        'failed_at',
        'failed_trial_at',
        'isolated_at',
        'last_tried',
        'needs_answers',
        'next_trial_at',
        'recovered_at',
        'run_started_at',
        'run_tried_at',
        'successes',
        'trial_seconds',
        'unanswered_ids',
    )

    def __init__(self) -> None:
        self.failed_at: dict[str, float] = {}
        self.run_started_at = -math.inf
        # Start of the run of failures for which a trial was made.
        self.run_tried_at = -math.inf
        self.connected_at = -math.inf
        # Endpoints connected to since the last isolation began.
        self.connected_ids: set[str] = set()
        self.answered_at = -math.inf
        self.isolated_at: float | None = None
        self.recovered_at = -math.inf
        self.trial_seconds = MIN_TRIAL_SECONDS
        self.next_trial_at = -math.inf
        self.last_tried = ''
        self.successes: list[tuple[str, float]] = []
        self.unanswered_ids: set[str] = set()
        self.needs_answers = False
        self.failed_trial_at = -math.inf

    def record_connected(
        self,
        endpoint_id: str,
        now: float,
        endpoint_count: int,
        *,
        is_answered: bool = True,
    ) -> bool:
        """Record a new connection; return whether it ends the isolation.

        One that is not answered refutes failures to connect, and no others.
        """
        if is_answered:
            self.connected_at = max(self.connected_at, now)
            self.answered_at = max(self.answered_at, now)
        self.failed_at = {
            failed_id: failed_at
            for failed_id, failed_at in self.failed_at.items()
            if failed_at > now
            or (not is_answered and failed_id in self.unanswered_ids)
        }
        self.unanswered_ids.intersection_update(self.failed_at)
        if self.isolated_at is not None and now >= self.isolated_at:
            if self.needs_answers and not is_answered:
                return False
            return self._record_success(endpoint_id, now, endpoint_count)
        if self.is_recovering(now):
            self.connected_ids.add(endpoint_id)
        return False

    def record_answered(self, endpoint_id: str, now: float) -> None:
        """Record an answer on whichever connection.

        It may have come late: the endpoint was slow, not out of reach.
        """
        self.answered_at = max(self.answered_at, now)
        if endpoint_id in self.unanswered_ids:
            self.unanswered_ids.discard(endpoint_id)
            self.failed_at.pop(endpoint_id)

    def record_unanswered(self, endpoint_id: str, now: float) -> None:
        """Record a new connection on which a request got no answer."""
        if not self.has_unanswered(now) and self.isolated_at is None:
            self.run_started_at = now
            self.next_trial_at = now
        self.failed_at[endpoint_id] = now
        self.unanswered_ids.add(endpoint_id)

    def record_failed(self, endpoint_id: str, now: float) -> bool:
        """Record a failed attempt; return whether isolation begins again.

        During the recovery, a failure of an endpoint that was reached since
        the isolation began does so.  One that was not may have ended.
        """
        is_new_run = not any(
            now - failed_at <= FAILURE_SECONDS
            for failed_at in self.failed_at.values()
        )
        if is_new_run and self.isolated_at is None:
            self.run_started_at = now
        self.failed_at[endpoint_id] = now
        self.unanswered_ids.discard(endpoint_id)
        if not self.is_recovering(now) or endpoint_id not in self.connected_ids:
            return False
        self.trial_seconds = min(MAX_TRIAL_SECONDS, 2 * self.trial_seconds)
        self.begin_isolation(now)
        return True

    def begin_isolation(self, now: float) -> None:
        """Begin an isolation, with a first trial after the interval."""
        if now - self.recovered_at > CALM_SECONDS:
            self.trial_seconds = MIN_TRIAL_SECONDS
        self.isolated_at = now
        self.needs_answers = self.has_unanswered(now)
        self.next_trial_at = now + self.trial_seconds
        self.successes = []
        self.connected_ids = set()

    def end_isolation(self) -> None:
        """End an isolation, without a recovery."""
        self.isolated_at = None
        self.needs_answers = False
        self.failed_at = {}
        self.unanswered_ids = set()
        self.successes = []

    def failed_ids(self, now: float) -> set[str]:
        """Return the endpoints with a failure that is still evidence."""
        return {
            endpoint_id
            for endpoint_id, failed_at in self.failed_at.items()
            if now - failed_at <= FAILURE_SECONDS
        }

    def has_unanswered(self, now: float) -> bool:
        """Return whether a request got no answer a short time ago."""
        return bool(self.failed_ids(now) & self.unanswered_ids)

    def awaits_trial(self, untested_count: int, now: float) -> bool:
        """Return whether the trial of this run of failures has no result."""
        if not untested_count:
            return False
        was_tried = self.run_tried_at == self.run_started_at
        if was_tried and self.last_tried in self.failed_at:
            return False
        return now < self.run_started_at + TRIAL_RESULT_SECONDS

    def is_determining(self, now: float) -> bool:
        """Return whether the node may turn out to be isolated."""
        last_failed_at = max(self.failed_at.values(), default=-math.inf)
        is_recent = now - last_failed_at <= DETERMINATION_SECONDS
        if self.isolated_at is not None:
            return False
        run_seconds = now - self.run_started_at
        return is_recent and run_seconds <= MAX_DETERMINATION_SECONDS

    def is_recovering(self, now: float) -> bool:
        """Return whether only a share of the requests goes to the group."""
        is_isolated = self.isolated_at is not None
        return not is_isolated and self.own_share(now) < 1

    def own_share(self, now: float) -> float:
        """Return the share of requests that goes to the group."""
        if self.isolated_at is not None:
            return 0
        fraction = max(0, now - self.recovered_at) / RECOVERY_SECONDS
        return min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * fraction)

    def take_trial_if_due(self, interval_seconds: float, now: float) -> bool:
        """Return whether a periodic trial is due, and schedule the next."""
        if now < self.next_trial_at:
            return False
        self.next_trial_at = now + interval_seconds
        return True

    def take_first_trial(self) -> bool:
        """Return whether this run of failures had no trial so far."""
        if self.run_tried_at == self.run_started_at:
            return False
        self.run_tried_at = self.run_started_at
        return True

    def _record_success(
        self, endpoint_id: str, now: float, endpoint_count: int
    ) -> bool:
        self.connected_ids.add(endpoint_id)
        oldest = now - SUCCESS_INTERVALS * self.trial_seconds
        self.successes = [
            (succeeded_id, at)
            for succeeded_id, at in self.successes
            if at >= oldest
        ]
        self.successes.append((endpoint_id, now))
        if not self._has_enough_successes(endpoint_count):
            return False
        self.end_isolation()
        self.recovered_at = now
        return True

    def _has_enough_successes(self, endpoint_count: int) -> bool:
        if len({succeeded_id for succeeded_id, _ in self.successes}) > 1:
            return True
        required = MIN_SUCCESSES_AT_ONE
        if endpoint_count < MIN_FAILED_ENDPOINTS:
            required = MIN_SUCCESSES
        return len(self.successes) >= required
