"""Decoding of messages that other programs have written."""

from wigeonspoke.serialization.json_decoding import decode_json

__all__ = ('decode_json',)
