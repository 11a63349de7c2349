"""A model of arithmetic that shows every error of a pipeline.

Each layer keeps a state that grows with every input, as a KV cache does,
and mixes it into its output.  A layer that is skipped, run twice, or run
out of order changes all tokens that follow.
"""

from collections.abc import Sequence

from wigeonspoke.core.streams.tokens import END_OF_SEQUENCE

MERSENNE_EXPONENT = 61
MODULUS = (1 << MERSENNE_EXPONENT) - 1
ACTIVATION_MULTIPLIER = 6364136223846793005
STATE_MULTIPLIER = 1442695040888963407
FIRST_LETTER = 97
LETTER_COUNT = 26
SPACE = 32
SPACE_DIVISOR = 7
END_DIVISOR = 509


class StandInModel:
    """The state of one stream in one range of layers."""

    __slots__ = ('first', 'states')

    def __init__(self, first: int, end: int) -> None:
        self.first = first
        self.states = [0 for _ in range(first, end)]

    def run(self, activation: int) -> int:
        """Take one input through all layers of the range."""
        for offset, state in enumerate(self.states):
            new_state = (state * STATE_MULTIPLIER + activation + 1) % MODULUS
            self.states[offset] = new_state
            layer = self.first + offset + 1
            activation = (
                activation * ACTIVATION_MULTIPLIER + new_state * layer
            ) % MODULUS
        return activation


def activation_to_token(activation: int) -> int:
    """Give the token that the last layer's activation stands for."""
    if activation % END_DIVISOR == 0:
        return END_OF_SEQUENCE
    if activation % SPACE_DIVISOR == 0:
        return SPACE
    return FIRST_LETTER + activation % LETTER_COUNT


def expected_tokens(
    layers: int,
    prompt: Sequence[int],
    max_tokens: int,
) -> list[int]:
    """Give the answer that a whole model on one host would give."""
    model = StandInModel(0, layers)
    activation = 0
    for prompt_token in prompt:
        activation = model.run(prompt_token)
    answer: list[int] = []
    token = activation_to_token(activation)
    while token != END_OF_SEQUENCE and len(answer) < max_tokens:
        answer.append(token)
        token = activation_to_token(model.run(token))
    return answer


def expected_answer(layers: int, prompt: str, max_tokens: int) -> str:
    """Give the whole answer to a prompt as text."""
    tokens = expected_tokens(layers, prompt.encode(), max_tokens)
    return bytes(tokens).decode()
