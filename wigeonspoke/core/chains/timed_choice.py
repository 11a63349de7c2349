"""Choice of a chain by the expected times of a request.

All nodes that know the same of the chains would choose the same one until they
learn of each other's requests.  A node therefore distributes the requests that
they are all expected to send within the age of the news, one after the other,
each to the chain that is best after those before, and takes the chain of one
of them at random.
"""

import random
from collections import Counter
from collections.abc import Sequence

from wigeonspoke.core.chains.estimate import NEWS_AGE_SECONDS, ChainEstimate
from wigeonspoke.core.chains.paths import Chain

# A chain is on time up to this share of the time that is left until the first
# event is late.  A chain that is silent for longer is given up for another
# one, which would then serve the request a second time.
ON_TIME_SHARE = 0.5
# A chain is also on time below this multiple of the least time of any idle
# chain.  No load can be moved to make a request earlier, and a speed that is
# configured too low must not spread requests over all failure domains.
IDLE_TIME_FACTOR = 1.5
# Requests that are distributed at most; further ones are distributed with
# them.  This bounds the cost of a choice.
MAX_PORTIONS = 16
# Period, in seconds, of the node's own requests that give the rate of arrivals.
RATE_WINDOW_SECONDS = 10.0


class Candidate:
    """A chain that may serve a request, with its estimate.

    ``idle_seconds`` is the time to the first event without any load, and
    ``seconds`` that after ``arrivals``, the requests of peers that are
    expected there.
    """

    __slots__ = (
        'arrivals',
        'chain',
        'estimate',
        'failure_domain',
        'idle_seconds',
        'is_own_domain',
        'seconds',
    )

    def __init__(
        self,
        chain: Chain,
        is_own_domain: bool,
        estimate: ChainEstimate,
        idle_seconds: float,
    ) -> None:
        self.chain = chain
        self.failure_domain = chain.head.failure_domain
        self.is_own_domain = is_own_domain
        self.estimate = estimate
        self.idle_seconds = idle_seconds
        self.arrivals: float = 0
        self.seconds = estimate.first_event_seconds()

    def add_arrivals(self, arrivals: float) -> None:
        """Let peers send further requests to the chain."""
        if arrivals:
            self.arrivals += arrivals
            self.seconds = self.estimate.first_event_seconds(self.arrivals)


class ArrivalRate:
    """Mean rate of a node's own requests, of which old ones count less."""

    __slots__ = ('counted', 'counted_at')

    def __init__(self) -> None:
        self.counted: float = 0
        self.counted_at: float = 0

    def record(self, now: float) -> None:
        """Record a request."""
        self.counted = self._remaining(now) + 1
        self.counted_at = now

    def per_second(self, now: float) -> float:
        """Return the requests per second."""
        return self._remaining(now) / RATE_WINDOW_SECONDS

    def _remaining(self, now: float) -> float:
        elapsed = max(0, now - self.counted_at)
        return self.counted * max(0, 1 - elapsed / RATE_WINDOW_SECONDS)


class TimedChoice:
    """Chooses among the candidates of one request.

    ``domain_requests`` is the number of requests that the other nodes of a
    failure domain are expected to send within the age of the news.
    """

    __slots__ = (
        'candidates',
        'demand',
        'domain_requests',
        'limit_seconds',
        'rng',
    )

    def __init__(
        self,
        candidates: Sequence[Candidate],
        domain_requests: float,
        rng: random.Random,
    ) -> None:
        self.candidates = list(candidates)
        # Equal chains are taken in a random order.
        rng.shuffle(self.candidates)
        self.domain_requests = domain_requests
        self.rng = rng
        self.demand = self.candidates[0].estimate.demand
        least_idle = min(each.idle_seconds for each in self.candidates)
        self.limit_seconds = max(
            ON_TIME_SHARE * self.demand.target_latency_seconds,
            IDLE_TIME_FACTOR * least_idle,
        )
        self._expect_native_requests()

    def choose(self) -> Candidate:
        """Choose the chain with the least time, or the slowest sufficient."""
        if self.demand.yields:
            slowest = self._slowest_sufficient()
            if slowest is not None:
                return slowest
        portions = min(MAX_PORTIONS, 1 + round(self.domain_requests))
        size = (1 + self.domain_requests) / portions
        taken = self.rng.randrange(portions)
        chosen = min(self.candidates, key=self._rank)
        for _ in range(taken):
            chosen.add_arrivals(size)
            chosen = min(self.candidates, key=self._rank)
        return chosen

    def _slowest_sufficient(self) -> Candidate | None:
        """Return the slowest chain on time, of the own domain if possible.

        It must remain so with what peers send there for the same reason.
        """
        ranked = sorted(
            self.candidates,
            key=lambda each: (each.is_own_domain, each.idle_seconds),
            reverse=True,
        )
        for each in ranked:
            arrivals = each.arrivals + self.domain_requests
            seconds = each.estimate.first_event_seconds(arrivals)
            if seconds <= self.limit_seconds:
                return each
        return None

    def _rank(self, candidate: Candidate) -> tuple[int, float]:
        """Return the sort key of a chain; the least is chosen."""
        if candidate.seconds > self.limit_seconds:
            return 2, candidate.seconds
        return int(not candidate.is_own_domain), candidate.seconds

    def _expect_native_requests(self) -> None:
        """Let the nodes of other domains use the chains of these."""
        chains_in_domain = Counter(
            each.failure_domain for each in self.candidates
        )
        for candidate in self.candidates:
            if not candidate.is_own_domain:
                chains = chains_in_domain[candidate.failure_domain]
                candidate.add_arrivals(self.domain_requests / chains)


def expected_domain_requests(
    per_second: float, nodes: int, domains: int
) -> float:
    """Return the requests of the other nodes of a domain within the news age.

    All nodes are assumed to have as many requests as this one.
    """
    others = max(0, nodes / max(1, domains) - 1)
    return per_second * others * NEWS_AGE_SECONDS
