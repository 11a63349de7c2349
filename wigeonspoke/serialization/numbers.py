"""Numbers in messages and headers that other programs have written."""

import re
from typing import Annotated

import msgspec

# The greatest integer that all JSON libraries read without loss.
MAX_COUNT = 9007199254740991
# Longer texts are greater than MAX_COUNT.  Python refuses to convert numbers
# of some thousand digits.
MAX_COUNT_DIGITS = 15

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_COUNT = re.compile('[0-9]+')


def parse_count(text: str) -> int | None:
    """Return a whole number without a sign, None for other texts.

    A number that is too long is ``MAX_COUNT``.

    >>> parse_count('12'), parse_count('-1'), parse_count('9' * 5000)
    (12, None, 9007199254740991)
    """
    if not _COUNT.fullmatch(text):
        return None
    digits = text.lstrip('0') or '0'
    return int(digits) if len(digits) <= MAX_COUNT_DIGITS else MAX_COUNT
