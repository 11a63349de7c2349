"""Generation of requests for a virtual cluster."""

import random

from wigeonspoke.bench.cluster import VirtualCluster
from wigeonspoke.bench.deployment import MODEL, pick_account
from wigeonspoke.core.events import GenerationRequested
from wigeonspoke.standins.model import FIRST_LETTER, LETTER_COUNT

PROMPT_LENGTH_RANGE = (8, 24)
MAX_TOKENS_RANGE = (8, 40)
MEAN_ANSWER_TOKENS = 24
PROMPT_COUNT = 400


class TrafficGenerator:
    """Submits requests with Poisson arrivals to the live nodes in rotation.

    Prompts are drawn from a fixed set, so that the expected answer of each
    prompt is computed only once.  ``batch_share`` is the share of requests
    that are not interactive.
    """

    __slots__ = (
        'batch_share',
        'cluster',
        'prompts',
        'request_count',
        'request_rate',
        'rng',
    )

    def __init__(
        self,
        cluster: VirtualCluster,
        tokens_per_second: float,
        seed: int,
        batch_share: float = 0,
    ) -> None:
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.request_rate = tokens_per_second / MEAN_ANSWER_TOKENS
        self.batch_share = batch_share
        self.request_count = 0
        self.prompts = [self._make_prompt() for _ in range(PROMPT_COUNT)]

    def start(self) -> None:
        """Schedule the first request."""
        self.cluster.scheduler.call_later(
            self._next_interval(), self._submit_next
        )

    def _submit_next(self) -> None:
        self.request_count += 1
        alive = [
            name for name, node in self.cluster.nodes.items() if node.alive
        ]
        self.cluster.submit_request(
            alive[self.request_count % len(alive)], self._make_request()
        )
        self.cluster.scheduler.call_later(
            self._next_interval(), self._submit_next
        )

    def _make_request(self) -> GenerationRequested:
        return GenerationRequested(
            request_id=f'r{self.request_count}',
            account=pick_account(self.rng),
            model=MODEL.name,
            prompt=self.rng.choice(self.prompts),
            max_tokens=self.rng.randint(*MAX_TOKENS_RANGE),
            interactive=self.rng.random() >= self.batch_share,
        )

    def _make_prompt(self) -> tuple[int, ...]:
        length = self.rng.randint(*PROMPT_LENGTH_RANGE)
        letters = range(FIRST_LETTER, FIRST_LETTER + LETTER_COUNT)
        return tuple(self.rng.choices(letters, k=length))

    def _next_interval(self) -> float:
        return self.rng.expovariate(self.request_rate)
