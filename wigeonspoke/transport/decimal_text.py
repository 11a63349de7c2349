"""Decimal numbers in HTTP headers."""

import re

_DECIMAL = re.compile('[0-9]{1,9}([.][0-9]{1,9})?')


def parse_decimal(text: str) -> float | None:
    """Return a number without a sign or an exponent, None for other texts.

    >>> parse_decimal('2.5')
    2.5
    >>> parse_decimal('-3') is None
    True
    """
    return float(text) if _DECIMAL.fullmatch(text) else None
