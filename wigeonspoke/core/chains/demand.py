"""What one request asks of the chain that serves it."""

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt, and its length in tokens."""

    part_id: str
    tokens: int


class RequestDemand(msgspec.Struct, frozen=True):
    """Length of a request and how soon its events are expected.

    ``output_tokens`` is the number of tokens that the answer is expected to
    have, and ``parts`` are the parts of the prompt in order; together they may
    be shorter than the prompt.  ``yields`` is set if ranks differ and a more
    urgent one is in use: such a request leaves the fastest chains to it.
    """

    prompt_tokens: int
    output_tokens: int
    target_latency_seconds: float
    target_event_gap_seconds: float
    parts: tuple[PromptPart, ...] = ()
    yields: bool = False


def expected_answer_tokens(
    max_tokens: int, length_hint: int, usual_tokens: float
) -> int:
    """Return the length that an answer is expected to have.

    This is what the client expects, or else the usual length, but not more
    than the maximum.  An argument of 0 is not known.
    """
    expected = length_hint or int(usual_tokens)
    return min(expected, max_tokens) if max_tokens else expected
