"""Decoding of messages that other programs have written."""

from wigeonspoke.serialization.json_decoding import decode_json
from wigeonspoke.serialization.numbers import (
    Count,
    parse_count,
)

__all__ = ('Count', 'decode_json', 'parse_count')
