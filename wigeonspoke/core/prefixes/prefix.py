"""Names of the beginnings of a prompt.

An engine can use what it holds of another prompt only up to the first
difference.  The name of a beginning therefore covers all that precedes it.
"""

import hashlib
from collections.abc import Iterable, Sequence

import msgspec

# Tokens of a block: a shorter beginning saves less than one unit of work.
BLOCK_TOKENS = 64
# Beginnings that are recorded of one prompt.
MAX_PREFIXES = 16
NAME_BYTES = 16


class Prefix(msgspec.Struct, frozen=True):
    """The beginning of a prompt: its name and its length in tokens."""

    name: str
    tokens: int


def part_prefixes(parts: Iterable[tuple[str, int]]) -> tuple[Prefix, ...]:
    """Return the beginnings that end with each part, given as id and tokens.

    >>> short, long = part_prefixes([('a', 40), ('b', 700)])
    >>> short.tokens, long.tokens
    (40, 740)
    """
    return _accumulate(
        (f'{part_id}:{tokens},'.encode(), tokens) for part_id, tokens in parts
    )


def block_prefixes(prompt: Sequence[int]) -> tuple[Prefix, ...]:
    """Return the beginnings that end with each whole block of tokens."""
    blocks = min(MAX_PREFIXES, len(prompt) // BLOCK_TOKENS)
    starts = range(0, blocks * BLOCK_TOKENS, BLOCK_TOKENS)
    return _accumulate(
        (repr(prompt[start : start + BLOCK_TOKENS]).encode(), BLOCK_TOKENS)
        for start in starts
    )


def _accumulate(
    pieces: Iterable[tuple[bytes, int]],
) -> tuple[Prefix, ...]:
    digest = hashlib.blake2b(digest_size=NAME_BYTES)
    prefixes: list[Prefix] = []
    total = 0
    for text, tokens in pieces:
        digest.update(text)
        total += tokens
        prefixes.append(Prefix(digest.hexdigest(), total))
        if len(prefixes) == MAX_PREFIXES:
            break
    return tuple(prefixes)
