"""Speeds of engines, from which the times of a request are estimated."""

import msgspec


class EngineSpeeds(msgspec.Struct, frozen=True):
    """Times in seconds of an engine that runs all layers at the usual speed.

    A generation step takes ``step_seconds``, and ``request_step_seconds`` more
    for each request that is generating and ``context_token_seconds`` for each
    token of their contexts.  Reading a prompt takes ``read_token_seconds`` for
    each token and ``token_pair_seconds`` for each pair of a token and an
    earlier one.  Each pass reads at most ``chunk_tokens`` tokens of prompts
    and makes ``steps_per_pass`` generation steps.

    A chain forwards the activations of each token over the link of an engine
    in ``link_token_seconds`` and, between failure domains, over a shared link
    in ``shared_link_token_seconds``.  ``delays`` holds the one-way delays
    between failure domains.  ``prompt_tokens`` and ``answer_tokens`` are the
    mean lengths of requests.  ``token_capacity`` is the number of tokens that
    an engine with all layers has memory for, 0 if it is not known.
    """

    step_seconds: float
    read_token_seconds: float
    request_step_seconds: float = 0
    context_token_seconds: float = 0
    token_pair_seconds: float = 0
    chunk_tokens: int = 512
    steps_per_pass: int = 1
    link_token_seconds: float = 0
    shared_link_token_seconds: float = 0
    delays: dict[tuple[str, str], float] = {}
    prompt_tokens: float = 500
    answer_tokens: float = 200
    token_capacity: float = 0

    def delay_seconds(self, one: str, other: str) -> float:
        """Return the one-way delay between two failure domains."""
        if one == other:
            return 0
        delay = self.delays.get((one, other))
        return self.delays.get((other, one), 0) if delay is None else delay
