"""Tokens with a meaning of their own."""

BYTE_TOKEN_COUNT = 256
END_OF_SEQUENCE = 256
