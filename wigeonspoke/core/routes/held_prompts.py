"""Prompts that engines keep after a request, weighed in the choice of a route.

In force for models whose retention time is not 0.
"""

from collections.abc import Sequence

import msgspec

from wigeonspoke.core.deployment import Model
from wigeonspoke.core.prefixes import Prefix, block_prefixes
from wigeonspoke.core.prefixes.index import PrefixIndex

# Tokens of a prompt that an engine reads in the time of one step.
TOKENS_PER_STEP = 16


class PromptDemand(msgspec.Struct, frozen=True):
    """The beginnings of a prompt, and the tokens to be generated for it.

    The time saved by a held beginning is divided by ``answer_tokens``, since
    the cost of a route is its time per generated token.
    """

    prefixes: tuple[Prefix, ...] = ()
    answer_tokens: int = 1


NO_PROMPT = PromptDemand()


class HeldPrompts:
    """Records the prompts of a node's requests at the engines of a route.

    ``attempts`` holds the engines and the beginnings of each request whose
    prompt has been read, by request id.
    """

    __slots__ = ('attempts', 'index')

    def __init__(self) -> None:
        self.index = PrefixIndex()
        self.attempts: dict[
            str, tuple[tuple[str, ...], tuple[Prefix, ...]]
        ] = {}

    def demand(
        self, model: Model, prompt: Sequence[int], answer_tokens: int
    ) -> PromptDemand:
        """Return what is weighed for a request, if prompts are kept."""
        if not model.prompt_retention_seconds:
            return NO_PROMPT
        return PromptDemand(block_prefixes(prompt), max(1, answer_tokens))

    def record_read(
        self,
        request_id: str,
        model: Model,
        prompt: Sequence[int],
        engines: tuple[str, ...],
        now: float,
    ) -> None:
        """Record that all engines of a route have read a prompt."""
        if not model.prompt_retention_seconds or request_id in self.attempts:
            return
        prefixes = block_prefixes(prompt)
        self.attempts[request_id] = (engines, prefixes)
        for engine in engines:
            self.index.record_begin(engine, prefixes, now)

    def record_end(self, request_id: str, model: Model, now: float) -> None:
        """Record that an attempt of a request has ended."""
        engines, prefixes = self.attempts.pop(request_id, ((), ()))
        for engine in engines:
            self.index.record_end(
                engine, prefixes, now, model.prompt_retention_seconds
            )


def saved_steps(held_tokens: int) -> float:
    """Return the steps that an engine does not need for a held beginning."""
    return held_tokens / TOKENS_PER_STEP
