"""Token ids: one for each byte, and the end-of-sequence token."""

BYTE_TOKEN_COUNT = 256
END_OF_SEQUENCE = 256
