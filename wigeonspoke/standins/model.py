"""An arithmetic model whose output reveals every error of a pipeline.

Each layer has a state that depends on all inputs so far, like a KV cache,
and mixes it into its output.  Skipping a layer, running it twice or running
it out of order changes all following tokens.
"""

from collections.abc import Sequence

from wigeonspoke.core.streams.tokens import END_OF_SEQUENCE

MERSENNE_EXPONENT = 61
MODULUS = (1 << MERSENNE_EXPONENT) - 1
# The multiplier and the increment of Knuth's MMIX random number generator;
# both serve as multipliers here.
ACTIVATION_MULTIPLIER = 6364136223846793005
STATE_MULTIPLIER = 1442695040888963407
# Tokens are ASCII codes: 97 is the letter a.
FIRST_LETTER = 97
LETTER_COUNT = 26
SPACE = 32
# An activation divisible by END_DIVISOR ends the answer, and one divisible by
# SPACE_DIVISOR is a space.
SPACE_DIVISOR = 7
END_DIVISOR = 509


class StandInModel:
    """The state of one stream in a range of layers."""

    __slots__ = ('first', 'states')

    def __init__(self, first: int, end: int) -> None:
        self.first = first
        self.states = [0 for _ in range(first, end)]

    def run(self, activation: int) -> int:
        """Pass one input through all layers of the range."""
        for offset, state in enumerate(self.states):
            new_state = (state * STATE_MULTIPLIER + activation + 1) % MODULUS
            self.states[offset] = new_state
            layer = self.first + offset + 1
            activation = (
                activation * ACTIVATION_MULTIPLIER + new_state * layer
            ) % MODULUS
        return activation


def activation_to_token(activation: int) -> int:
    """Return the token for an activation of the last layer."""
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
    """Return the tokens that the undivided model would generate."""
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
    """Return the expected complete answer to a prompt as text."""
    tokens = expected_tokens(layers, prompt.encode(), max_tokens)
    return bytes(tokens).decode()
