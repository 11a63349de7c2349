"""Streams of a replay, and the random times and sizes of their arrivals."""

import itertools
import math
import random
from collections.abc import Iterator

from wigeonspoke.bench.line.patterns import LoadPattern, StreamKind

# Mean token counts of the users' requests (`usual` of their configuration).
MEAN_PROMPT_TOKENS = 775
MEAN_OUTPUT_TOKENS = 221
# Spread of the logarithm of the token counts.  With it, the largest tenth of
# the requests has about a quarter of the tokens.
LENGTH_SIGMA = 0.5
MIN_OUTPUT_TOKENS = 5
# Spread of the logarithm of the clients' estimates, which are right at the
# median and off by half in one of three cases.
HINT_SIGMA = 0.4
# Clients that wait for the end of an outage return within this time.
RETURN_SECONDS = 0.2
# Time to the complete response (`timeout-ms` of the users' streams).
TIMEOUT_SECONDS = 20.0
MAX_GAP_SECONDS = 0.25


class LineStream:
    """A stream of a client, over all its arrivals at hosts.

    ``first_event_seconds`` counts from the first arrival.
    """

    __slots__ = (
        'arrived_at',
        'arrivals',
        'domain',
        'events',
        'excluded',
        'first_event_seconds',
        'hint',
        'host',
        'is_ended',
        'is_served',
        'kind',
        'last_event_at',
        'max_gap',
        'number',
        'output',
        'prompt',
    )

    def __init__(
        self,
        number: int,
        kind: StreamKind,
        domain: str,
        arrived_at: float,
        tokens: tuple[int, int, int],
    ) -> None:
        self.number = number
        self.kind = kind
        self.domain = domain
        self.arrived_at = arrived_at
        self.prompt = tokens[0]
        self.output = tokens[1]
        # The client's estimate of the output.
        self.hint = tokens[2]
        self.arrivals = 0
        self.events = 0
        self.first_event_seconds = math.inf
        self.last_event_at = arrived_at
        self.max_gap: float = 0
        self.is_ended = False
        self.is_served = False
        # Name of the host that it is at, '' before and between its arrivals.
        self.host = ''
        # Endpoint ids of chains that failed under the stream.
        self.excluded: set[str] = set()

    @property
    def tokens(self) -> int:
        """The tokens of prompt and output."""
        return self.prompt + self.output

    @property
    def is_in_time(self) -> bool:
        """Whether the stream kept all its limits in time."""
        return (
            self.is_served
            and self.first_event_seconds <= self.kind.target
            and self.max_gap <= MAX_GAP_SECONDS
        )

    @property
    def deadline(self) -> float:
        """When the client gives the stream up."""
        return self.arrived_at + TIMEOUT_SECONDS

    def record_event(self, now: float) -> None:
        """Record an event that reaches the client."""
        if self.events:
            self.max_gap = max(self.max_gap, now - self.last_event_at)
        else:
            self.first_event_seconds = now - self.arrived_at
        self.events += 1
        self.last_event_at = now


def generate_streams(
    pattern: LoadPattern, seconds: float, seed: int
) -> list[LineStream]:
    """Return the streams of a pattern in the order of their arrival.

    They depend on the pattern and the seed only, so that all policies are
    given the same ones.
    """
    rng = random.Random(f'{pattern.name} {seed}')
    arrivals = [
        (_after_outage(pattern, at, rng), kind, domain)
        for kind, domain in itertools.product(pattern.kinds, pattern.domains)
        for at in _arrival_times(pattern, kind, domain, seconds, rng)
    ]
    arrivals.sort(key=_arrival_time)
    return [
        LineStream(number, kind, domain, at, _draw_tokens(rng))
        for number, (at, kind, domain) in enumerate(arrivals)
    ]


def _arrival_time(arrival: tuple[float, StreamKind, str]) -> float:
    return arrival[0]


def _arrival_times(
    pattern: LoadPattern,
    kind: StreamKind,
    domain: str,
    seconds: float,
    rng: random.Random,
) -> Iterator[float]:
    """Yield Poisson arrivals, by thinning those of the highest rate."""
    mean_rate = kind.per_second / len(pattern.domains)
    peak = 1 + pattern.swing
    now = kind.begin
    end = min(kind.end, seconds)
    while True:
        now += rng.expovariate(mean_rate * peak)
        if now >= end:
            return
        if rng.random() * peak < _rate_factor(pattern, domain, now):
            yield now


def _rate_factor(pattern: LoadPattern, domain: str, now: float) -> float:
    """Return the rate of a domain relative to its mean."""
    phase = pattern.domains.index(domain) / len(pattern.domains)
    turn = math.tau * (now / pattern.period + phase)
    return 1 + pattern.swing * math.sin(turn)


def _after_outage(pattern: LoadPattern, at: float, rng: random.Random) -> float:
    """Return when a client reaches a host; an outage delays it."""
    outage = pattern.outage
    if outage is None or not outage.begin <= at < outage.end:
        return at
    return outage.end + RETURN_SECONDS * rng.random()


def _draw_tokens(rng: random.Random) -> tuple[int, int, int]:
    """Draw the tokens of a prompt, of its output, and the client's estimate."""
    prompt = max(1, int(MEAN_PROMPT_TOKENS * _draw_factor(rng)))
    drawn = int(MEAN_OUTPUT_TOKENS * _draw_factor(rng))
    output = max(MIN_OUTPUT_TOKENS, drawn)
    hint = max(1, int(output * rng.lognormvariate(0, HINT_SIGMA)))
    return prompt, output, hint


def _draw_factor(rng: random.Random) -> float:
    """Draw from a lognormal distribution with the mean 1."""
    return rng.lognormvariate(-LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA)
