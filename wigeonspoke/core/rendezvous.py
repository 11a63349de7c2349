"""Rendezvous hashing: an order of names that all nodes compute alike."""

import zlib
from collections.abc import Iterable


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names by a hash of each with a key.

    A name that comes or goes does not change the order of the others.

    >>> rank_names('one', ('a', 'b')) == rank_names('one', ('b', 'a'))
    True
    """
    return tuple(
        sorted(
            names,
            key=lambda name: (zlib.crc32(f'{key} {name}'.encode()), name),
        )
    )
