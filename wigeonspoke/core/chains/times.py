"""Expected times of a node's requests on chains, corrected by observed ones.

They are used only where the configuration names the speeds of engines.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from wigeonspoke.core.chains.corrections import Corrections
from wigeonspoke.core.chains.demand import RequestDemand
from wigeonspoke.core.chains.estimate import (
    IDLE,
    MAX_MEMORY_SHARE,
    ChainEstimate,
    ChainLoad,
)
from wigeonspoke.core.chains.known_chains import KnownChain
from wigeonspoke.core.chains.paths import Chain
from wigeonspoke.core.chains.peer_load import PeerLoad
from wigeonspoke.core.chains.speed import ChainSpeed
from wigeonspoke.core.chains.timed_choice import (
    ArrivalRate,
    Candidate,
    TimedChoice,
    expected_domain_requests,
)
from wigeonspoke.core.chains.token_load import NO_LOAD, TokenLoad, add_load
from wigeonspoke.core.prefixes import Prefix, PrefixIndex, part_prefixes

# Gaps are compared with what was expected when their request began, for this
# many seconds: after them the load of the chain has changed.
GAP_OBSERVATION_SECONDS = 2.0
# A gap above this multiple of the expected one comes from a fault of the chain,
# which other means detect, and says nothing about its load.
MAX_GAP_RATIO = 3.0
# Engines that serve whole requests keep no prompt after its request.
RETENTION_SECONDS = 0


class ChainUse(msgspec.Struct):
    """A request of this node on a chain, from its start to its end there.

    ``expected_seconds`` is the expected time to its first event without the
    correction, 0 if it is not known.  ``prefixes`` are the beginnings of its
    prompt, which ``run`` holds from the first event to the end.
    """

    head_id: str
    begun_at: float
    load: TokenLoad = NO_LOAD
    expected_seconds: float = 0
    correction: float = 1
    expected_gap: float = 0
    has_event: bool = False
    held_tokens: int = 0
    run: str = ''
    prefixes: tuple[Prefix, ...] = ()

    def describe(self) -> dict[str, float]:
        """Return the expected times and the load for the log."""
        return {
            'first_event': round(self.expected_seconds * self.correction, 3),
            'correction': round(self.correction, 2),
            'gap': round(self.expected_gap, 3),
            'tokens': self.load.tokens,
            'held': self.held_tokens,
        }


class ChainTimes:
    """Estimates the times of requests, and learns from their events.

    ``in_flight`` and ``peer_load`` are the requests of this node and of the
    others, and ``loads`` the tokens of the former, by the id of a chain's
    head.  ``corrections`` are the ratios of observed to expected times to the
    first event, and ``event_gaps`` those between events.  ``count_nodes``
    returns how many nodes there are.
    """

    __slots__ = (
        'arrival_rate',
        'corrections',
        'count_nodes',
        'event_gaps',
        'in_flight',
        'loads',
        'peer_load',
        'prefixes',
        'rng',
    )

    def __init__(
        self,
        in_flight: Counter[str],
        peer_load: PeerLoad,
        rng: random.Random,
        count_nodes: Callable[[], int],
    ) -> None:
        self.in_flight = in_flight
        self.peer_load = peer_load
        self.rng = rng
        self.count_nodes = count_nodes
        self.loads: dict[str, TokenLoad] = {}
        self.arrival_rate = ArrivalRate()
        self.corrections = Corrections()
        self.event_gaps = Corrections(keeps_peaks=True)
        self.prefixes = PrefixIndex()

    def load_at(self, head_id: str, speed: ChainSpeed) -> ChainLoad:
        """Return what runs and waits on a chain, of all nodes.

        Requests of unknown lengths count with the mean lengths.
        """
        told = self.peer_load.loads_by_head.get(head_id, NO_LOAD)
        load = self.loads.get(head_id, NO_LOAD).plus(told)
        streams = (
            self.in_flight[head_id] + self.peer_load.streams_by_head[head_id]
        )
        unknown = max(0, streams - load.requests)
        return ChainLoad(
            streams,
            load.tokens + unknown * speed.usual_tokens,
            load.unread_requests,
            load.unread_tokens,
        )

    def capacity(self, known: KnownChain) -> float:
        """Return how many requests a chain can serve at once.

        Requests in flight count with their own lengths, and further ones with
        the mean length.
        """
        speed = known.speed
        if speed is None or not speed.token_capacity:
            return known.capacity
        load = self.load_at(known.head_id, speed)
        free_tokens = MAX_MEMORY_SHARE * speed.token_capacity - load.tokens
        more = free_tokens / max(1, speed.usual_tokens)
        return min(speed.slots, load.streams + more)

    def estimate(
        self,
        known: KnownChain,
        demand: RequestDemand,
        prefixes: tuple[Prefix, ...],
        now: float,
    ) -> ChainEstimate:
        """Estimate the times of a request on a chain.

        What the chain holds of the prompt is not read again, but the request
        takes memory for all of it.
        """
        return ChainEstimate(
            known.speed,
            self.load_at(known.head_id, known.speed),
            demand,
            self.corrections.factor(known.head_id, now),
            self.prefixes.held_tokens(known.run, prefixes, now),
        )

    def choose(
        self,
        chains: Sequence[KnownChain],
        domains: int,
        demand: RequestDemand,
        now: float,
    ) -> Chain | None:
        """Choose the best chain on which a request may start.

        ``domains`` is the number of failure domains that have chains.
        """
        prefixes = _prefixes(demand)
        estimates = [
            (known, self.estimate(known, demand, prefixes, now))
            for known in chains
        ]
        candidates = [
            self._candidate(known, estimate)
            for known, estimate in estimates
            if self._may_start(known, estimate, now)
        ]
        if not candidates:
            return None
        expected = expected_domain_requests(
            self.arrival_rate.per_second(now), self.count_nodes(), domains
        )
        return TimedChoice(candidates, expected, self.rng).choose().chain

    def begin(
        self,
        chain: Chain,
        known: KnownChain | None,
        demand: RequestDemand | None,
        now: float,
    ) -> ChainUse:
        """Record that a request is sent to a chain."""
        use = ChainUse(chain.head.endpoint_id, now)
        if demand is None:
            return use
        if known is not None and known.speed is not None:
            use.run = known.run
            use.prefixes = _prefixes(demand)
            estimate = self.estimate(known, demand, use.prefixes, now)
            use.held_tokens = estimate.held_tokens
            seconds = estimate.first_event_seconds()
            use.correction = estimate.correction
            use.expected_seconds = seconds / use.correction
            use.expected_gap = estimate.gap_seconds()
            self.arrival_rate.record(now)
        tokens = demand.prompt_tokens + demand.output_tokens
        use.load = TokenLoad(1, tokens, 1, demand.prompt_tokens)
        add_load(self.loads, use.head_id, use.load)
        return use

    def record_event(
        self, use: ChainUse, gap: float, now: float
    ) -> float | None:
        """Record an event of a request, ``gap`` seconds after the last one.

        For the first event, return the ratio of its time to the expected one,
        if there was one.
        """
        if use.has_event:
            self._record_gap(use, gap, now)
            return None
        use.has_event = True
        self.prefixes.record_begin(use.run, use.prefixes, now)
        read = TokenLoad(0, 0, use.load.unread_requests, use.load.unread_tokens)
        use.load = use.load.plus(read, -1)
        add_load(self.loads, use.head_id, read, -1)
        if not use.expected_seconds:
            return None
        seconds = max(0, now - use.begun_at)
        self.corrections.record(use.head_id, seconds, use.expected_seconds, now)
        return seconds / (use.expected_seconds * use.correction)

    def end(self, use: ChainUse, now: float) -> None:
        """Record the end of a request on a chain.

        One that has waited in vain for longer than expected is an observation,
        too: otherwise a chain would never be known as slow if its requests are
        given up before their first event.
        """
        add_load(self.loads, use.head_id, use.load, -1)
        if use.has_event:
            self.prefixes.record_end(
                use.run, use.prefixes, now, RETENTION_SECONDS
            )
        if use.has_event or not use.expected_seconds:
            return
        seconds = now - use.begun_at
        factor = self.corrections.factor(use.head_id, now)
        if seconds > factor * use.expected_seconds:
            self.corrections.record(
                use.head_id, seconds, use.expected_seconds, now
            )

    def forget(self, known: KnownChain) -> None:
        """Forget what was learned of a chain that has other engines now."""
        self.corrections.forget(known.head_id)
        self.event_gaps.forget(known.head_id)
        self.prefixes.end_run(known.run)

    def _record_gap(self, use: ChainUse, gap: float, now: float) -> None:
        """Learn from a gap between events how far expected ones are off."""
        is_recent = now <= use.begun_at + GAP_OBSERVATION_SECONDS
        if is_recent and 0 < gap <= MAX_GAP_RATIO * use.expected_gap:
            self.event_gaps.record(use.head_id, gap, use.expected_gap, now)

    def _candidate(
        self, known: KnownChain, estimate: ChainEstimate
    ) -> Candidate:
        idle = ChainEstimate(known.speed, IDLE, estimate.demand)
        return Candidate(
            known.chain,
            known.is_own_domain,
            estimate,
            idle.first_event_seconds(),
        )

    def _may_start(
        self, known: KnownChain, estimate: ChainEstimate, now: float
    ) -> bool:
        """Return whether a request would leave others their memory and pace.

        The rule on gaps does not apply to a chain that would exceed the target
        without any load, as it would never be used.
        """
        if not estimate.has_memory():
            return False
        target = estimate.demand.target_event_gap_seconds
        if not estimate.load.streams or estimate.idle_gap_seconds() > target:
            return True
        correction = self.event_gaps.factor(known.head_id, now)
        return correction * estimate.gap_seconds() <= target


def _prefixes(demand: RequestDemand) -> tuple[Prefix, ...]:
    return part_prefixes((part.part_id, part.tokens) for part in demand.parts)
