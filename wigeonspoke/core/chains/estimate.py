"""Expected times of a request on a chain.

In a pass, a chain makes some generation steps for the requests whose prompts
it has read, and reads a piece of the prompt that is next.  A request therefore
waits until the prompts before it have been read, and each piece of a prompt
also waits for the steps of the others.
"""

import math

import msgspec

from wigeonspoke.core.chains.demand import RequestDemand
from wigeonspoke.core.chains.speed import ChainSpeed

# Age of the news of peers, in seconds: nodes exchange it in rounds of
# 0.7 s.  Requests that peers have sent since are not known.
NEWS_AGE_SECONDS = 0.7
# Above this share of the memory, a request has to wait until others have
# given back as many tokens as it needs.  Answers may be longer than expected.
AMPLE_MEMORY_SHARE = 0.8
# A request does not start if the memory would be used beyond this share: an
# engine that runs out of memory evicts other requests.
MAX_MEMORY_SHARE = 0.95
# Up to this share of the time for reading that arrivals take, the wait of a
# random arrival is that of a queue with equal service times.  It grows without
# a bound at 1; the excess is added as it is above this share.
BUSY_READING_SHARE = 0.8


class ChainLoad(msgspec.Struct, frozen=True):
    """What runs and waits on a chain, of all nodes, as far as is known.

    ``tokens`` is what the requests need with their expected answers.  The
    unread ones have not had a first event.
    """

    streams: float = 0
    tokens: float = 0
    unread_requests: float = 0
    unread_tokens: float = 0


IDLE = ChainLoad()


class ChainEstimate:
    """Estimates the times of one request on one chain.

    ``held_tokens`` is the beginning of its prompt that the chain holds, which
    is not read again.  ``correction`` is the ratio of observed to expected
    times to the first event.
    """

    __slots__ = ('correction', 'demand', 'held_tokens', 'load', 'speed')

    def __init__(
        self,
        speed: ChainSpeed,
        load: ChainLoad,
        demand: RequestDemand,
        correction: float = 1,
        held_tokens: int = 0,
    ) -> None:
        self.speed = speed
        self.load = load
        self.demand = demand
        self.correction = correction
        self.held_tokens = held_tokens

    def first_event_seconds(self, arrivals: float = 0) -> float:
        """Return the expected time to the first event.

        ``arrivals`` are the requests that peers are expected to send to this
        chain within ``NEWS_AGE_SECONDS``.
        """
        return self.correction * self._first_event_seconds(arrivals)

    def gap_seconds(self) -> float:
        """Return the expected longest time between two events.

        The request then generates, as do those that wait now, and a piece of
        another prompt is read.
        """
        load = self.load
        return self._gap_seconds(load.streams + 1, load.tokens)

    def idle_gap_seconds(self) -> float:
        """Return the same if the request were alone on the chain."""
        return self._gap_seconds(1, 0)

    def current_gap_seconds(self) -> float:
        """Return the same for the requests that run there now."""
        return self._gap_seconds(self.load.streams, self.load.tokens, 0)

    @property
    def needed_tokens(self) -> float:
        """Return the tokens that the request needs memory for."""
        return self.demand.prompt_tokens + self.demand.output_tokens

    def has_memory(self) -> bool:
        """Return whether the request fits in beside those that run there.

        One that is too long for any chain may try an idle one.
        """
        capacity = self.speed.token_capacity
        if not capacity or not self.load.streams:
            return True
        used = self.load.tokens + self.needed_tokens
        return used <= MAX_MEMORY_SHARE * capacity

    def _first_event_seconds(self, arrivals: float) -> float:
        speed = self.speed
        load = self.load
        engine = speed.engine
        generating = max(0, load.streams - load.unread_requests) + arrivals
        step = self._step_seconds(
            generating,
            max(0, load.tokens - load.unread_tokens)
            + arrivals * speed.usual_tokens,
        )
        steps = engine.steps_per_pass * step if generating else 0
        # The pass that runs when the request arrives has half of it left.
        seconds = speed.reach_seconds + step + min(1, generating) * steps / 2
        seconds += self._read_seconds(load.unread_tokens, steps)
        prompt_tokens = self.demand.prompt_tokens
        held_tokens = min(self.held_tokens, prompt_tokens)
        seconds += self._read_seconds(prompt_tokens - held_tokens, steps)
        seconds += (
            held_tokens
            * (prompt_tokens - held_tokens)
            * (speed.token_pair_seconds)
        )
        if arrivals:
            usual = self._read_seconds(engine.prompt_tokens, steps)
            seconds += _expected_wait(arrivals, usual)
        return seconds + self._admission_seconds(arrivals, step)

    def _admission_seconds(self, arrivals: float, step: float) -> float:
        """Return the time until there is a slot and memory."""
        speed = self.speed
        load = self.load
        streams = load.streams + arrivals
        duration = step * speed.engine.answer_tokens
        missing_slots = max(0, streams + 1 - max(1, speed.slots))
        seconds = missing_slots * duration / max(1, speed.slots)
        ample_tokens = AMPLE_MEMORY_SHARE * speed.token_capacity
        missing_tokens = load.tokens + self.needed_tokens - ample_tokens
        if ample_tokens and missing_tokens > 0 and load.tokens:
            waited_tokens = min(missing_tokens, self.needed_tokens)
            seconds += waited_tokens * duration / load.tokens
        return seconds

    def _gap_seconds(
        self, generating: float, context_tokens: float, own: int = 1
    ) -> float:
        engine = self.speed.engine
        step = self._step_seconds(
            generating, context_tokens + own * self.needed_tokens
        )
        piece = min(engine.chunk_tokens, engine.prompt_tokens)
        return engine.steps_per_pass * step + self.speed.read_seconds(piece)

    def _step_seconds(self, generating: float, context_tokens: float) -> float:
        speed = self.speed
        return (
            speed.step_seconds
            + speed.request_step_seconds * generating
            + speed.context_token_seconds * context_tokens
        )

    def _read_seconds(self, tokens: float, steps: float) -> float:
        """Return the time to read tokens with the steps of others between."""
        pieces = math.ceil(tokens / self.speed.engine.chunk_tokens)
        return pieces * steps + self.speed.read_seconds(tokens)


def _expected_wait(arrivals: float, read_seconds: float) -> float:
    """Return the time that arrivals within the age of news delay a request."""
    share = arrivals * read_seconds / NEWS_AGE_SECONDS
    busy_share = min(share, BUSY_READING_SHARE)
    excess_seconds = (share - busy_share) * NEWS_AGE_SECONDS
    return excess_seconds + read_seconds * busy_share / (2 * (1 - busy_share))
