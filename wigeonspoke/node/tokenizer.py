"""Conversion between text and tokens."""

import codecs
from collections.abc import Sequence
from typing import Protocol


class Tokenizer(Protocol):
    """Encodes prompts and creates decoders for answers."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the tokens of a text."""

    def decoder(self) -> 'TextDecoder':
        """Return a new decoder for the tokens of one answer."""


class TextDecoder(Protocol):
    """Decodes the tokens of one answer incrementally."""

    def feed(self, tokens: Sequence[int]) -> str:
        """Return the text that is complete after these tokens."""

    def finish(self) -> str:
        """Return the text of an incomplete character at the end."""


class ByteDecoder:
    """Decodes UTF-8 bytes; a character may span several tokens."""

    __slots__ = ('codec',)

    def __init__(self) -> None:
        self.codec = codecs.getincrementaldecoder('utf-8')('replace')

    def feed(self, tokens: Sequence[int]) -> str:
        """Return the text that is complete after these tokens."""
        return self.codec.decode(bytes(tokens))

    def finish(self) -> str:
        """Return the text of an incomplete character at the end."""
        return self.codec.decode(b'', final=True)


class ByteTokenizer:
    """Encodes text as UTF-8 bytes, with one token per byte.

    >>> ByteTokenizer().encode('año')
    (97, 195, 177, 111)
    """

    __slots__ = ()

    def encode(self, text: str) -> tuple[int, ...]:
        """Return the tokens of a text."""
        return tuple(text.encode())

    def decoder(self) -> ByteDecoder:
        """Return a new decoder for the tokens of one answer."""
        return ByteDecoder()
