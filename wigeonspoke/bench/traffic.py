"""Requests that arrive at the nodes of a virtual cluster."""

import random

from wigeonspoke.bench.cluster import VirtualCluster
from wigeonspoke.bench.deployment import MODEL, pick_account
from wigeonspoke.core.events import GenerationRequested
from wigeonspoke.standins.model import FIRST_LETTER, LETTER_COUNT

PROMPT_TOKENS = (8, 24)
ANSWER_TOKENS = (8, 40)
MEAN_ANSWER = 24
PROMPTS = 400


class Traffic:
    """Poisson arrivals, spread in turn over the nodes that are alive.

    Prompts come from a fixed set, so that the answers that a check expects
    need not all be worked out.
    """

    __slots__ = ('batch_share', 'cluster', 'count', 'prompts', 'random', 'rate')

    def __init__(
        self,
        cluster: VirtualCluster,
        tokens_per_second: float,
        seed: int,
        batch_share: float = 0,
    ) -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.rate = tokens_per_second / MEAN_ANSWER
        self.batch_share = batch_share
        self.count = 0
        self.prompts = [self._prompt() for _ in range(PROMPTS)]

    def start(self) -> None:
        """Let the first request arrive."""
        self.cluster.scheduler.after(self._gap(), self._arrive)

    def _arrive(self) -> None:
        self.count += 1
        alive = [
            name for name, node in self.cluster.nodes.items() if node.alive
        ]
        self.cluster.ask(alive[self.count % len(alive)], self._request())
        self.cluster.scheduler.after(self._gap(), self._arrive)

    def _request(self) -> GenerationRequested:
        return GenerationRequested(
            request_id=f'r{self.count}',
            account=pick_account(self.random),
            model=MODEL.name,
            prompt=self.random.choice(self.prompts),
            max_tokens=self.random.randint(*ANSWER_TOKENS),
            interactive=self.random.random() >= self.batch_share,
        )

    def _prompt(self) -> tuple[int, ...]:
        length = self.random.randint(*PROMPT_TOKENS)
        letters = range(FIRST_LETTER, FIRST_LETTER + LETTER_COUNT)
        return tuple(self.random.choices(letters, k=length))

    def _gap(self) -> float:
        return self.random.expovariate(self.rate)
