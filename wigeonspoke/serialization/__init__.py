"""Decoding of messages that other programs have written."""

from wigeonspoke.serialization.json_decoding import decode_json
from wigeonspoke.serialization.numbers import MAX_COUNT, Count, parse_count

__all__ = ('MAX_COUNT', 'Count', 'decode_json', 'parse_count')
