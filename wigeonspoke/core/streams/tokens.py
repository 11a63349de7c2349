"""Tokens with a meaning of their own."""

BYTE_TOKENS = 256
END_OF_ANSWER = 256
