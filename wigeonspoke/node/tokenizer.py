"""Text to tokens and back."""

import codecs
from collections.abc import Sequence
from typing import Protocol


class Tokenizer(Protocol):
    """Turns prompts into tokens and tokens into text."""

    def encode(self, text: str) -> tuple[int, ...]:
        """Give the tokens of a text."""

    def decoder(self) -> 'TextDecoder':
        """Give a decoder for the tokens of one answer."""


class TextDecoder(Protocol):
    """Turns the tokens of one answer into text, piece by piece."""

    def feed(self, tokens: Sequence[int]) -> str:
        """Give the text that the tokens complete."""

    def finish(self) -> str:
        """Give the text of what is left over."""


class ByteDecoder:
    """Joins bytes into characters that may span several tokens."""

    __slots__ = ('codec',)

    def __init__(self) -> None:
        self.codec = codecs.getincrementaldecoder('utf-8')('replace')

    def feed(self, tokens: Sequence[int]) -> str:
        """Give the text that the tokens complete."""
        return self.codec.decode(bytes(tokens))

    def finish(self) -> str:
        """Give the text of what is left over."""
        return self.codec.decode(b'', final=True)


class ByteTokenizer:
    """A vocabulary of the 256 bytes of UTF-8.

    >>> ByteTokenizer().encode('año')
    (97, 195, 177, 111)
    """

    __slots__ = ()

    def encode(self, text: str) -> tuple[int, ...]:
        """Give the tokens of a text."""
        return tuple(text.encode())

    def decoder(self) -> ByteDecoder:
        """Give a decoder for the tokens of one answer."""
        return ByteDecoder()
