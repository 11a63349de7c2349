"""Incremental decoder of the chunked transfer coding.

It decodes the bodies of requests and responses as their bytes arrive.  Event
streams consist of many small chunks, and a general HTTP parser takes longer
for each of them than all other work of forwarding it.
"""

import re

MAX_LINE_BYTES = 1024
# Includes the empty line that ends the trailer section.
MAX_TRAILERS = 16
# How much more the sizes and ends of chunks may take than their data.  Chunks
# of a few bytes cost many times what the same data costs in larger ones.
MAX_FRAMING_BYTES = 65536
HEXADECIMAL_BASE = 16
CRLF = b'\r\n'

_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\r\n\x00]*)?')


class ChunkError(Exception):
    """The received bytes violate the chunked transfer coding.

    The message becomes a reason in metrics and in the decision log.
    """


class ChunkedDecoder:
    r"""Decodes one body; ``is_complete`` is true after its trailer section.

    ``buffer`` holds bytes that were received but not decoded.  Once the body
    is complete, these are the bytes that followed it.

    >>> decoder = ChunkedDecoder()
    >>> decoder.feed(b'5\r\nhello\r\n0\r')
    b'hello'
    >>> decoder.feed(b'\n\r\n'), decoder.is_complete
    (b'', True)
    """

    __slots__ = (
        'awaits_chunk_end',
        'buffer',
        'element_count',
        'is_complete',
        'remaining',
        'surplus_bytes',
        'trailer_count',
    )

    def __init__(self) -> None:
        self.buffer = b''
        # Data bytes of the current chunk that are not decoded yet.
        self.remaining = 0
        # The data of the current chunk is decoded, its final CRLF is not.
        self.awaits_chunk_end = False
        # Lines of the trailer section, or None before the last chunk.
        self.trailer_count: int | None = None
        self.is_complete = False
        # Data, sizes and ends of chunks that were decoded so far.
        self.element_count = 0
        # Decoded bytes, less those that they took beside.
        self.surplus_bytes = 0

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the body data decoded from them.

        Raises
        ------
        ChunkError
            The bytes are malformed, a line or the trailer section is too
            long, or the chunks are too small.
        """
        parts: list[bytes] = []
        source = self.buffer + received
        position = 0
        following = self._decode_next(source, position, parts)
        while following is not None:
            self.element_count += 1
            position = following
            following = self._decode_next(source, position, parts)
        self.buffer = source[position:]
        body = b''.join(parts)
        self.surplus_bytes += 2 * len(body) - position
        if self.surplus_bytes < -MAX_FRAMING_BYTES:
            raise ChunkError('size of the chunks')
        return body

    def _decode_next(
        self, source: bytes, position: int, parts: list[bytes]
    ) -> int | None:
        """Decode the next element; return where it ends, None if incomplete."""
        if self.is_complete:
            return None
        if self.remaining:
            return self._decode_data(source, position, parts)
        if self.awaits_chunk_end:
            return self._decode_chunk_end(source, position)
        return self._decode_line(source, position)

    def _decode_data(
        self, source: bytes, position: int, parts: list[bytes]
    ) -> int | None:
        taken = source[position : position + self.remaining]
        if not taken:
            return None
        parts.append(taken)
        self.remaining -= len(taken)
        self.awaits_chunk_end = not self.remaining
        return position + len(taken)

    def _decode_chunk_end(self, source: bytes, position: int) -> int | None:
        end = source[position : position + len(CRLF)]
        if not CRLF.startswith(end):
            raise ChunkError('end of a chunk')
        if end != CRLF:
            return None
        self.awaits_chunk_end = False
        return position + len(CRLF)

    def _decode_line(self, source: bytes, position: int) -> int | None:
        """Decode a chunk size line or a trailer line."""
        end = source.find(CRLF, position)
        has_end = end >= 0
        line = source[position:end] if has_end else source[position:]
        if len(line) > MAX_LINE_BYTES:
            raise ChunkError('length of a line')
        if not has_end:
            return None
        if self.trailer_count is None:
            self._parse_size(line)
        else:
            self._check_trailer(line)
        return end + len(CRLF)

    def _parse_size(self, line: bytes) -> None:
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise ChunkError('size of a chunk')
        size = int(match[1], HEXADECIMAL_BASE)
        self.remaining = size
        if not size:
            self.trailer_count = 0

    def _check_trailer(self, line: bytes) -> None:
        if not line:
            self.is_complete = True
            return
        self.trailer_count += 1
        if self.trailer_count >= MAX_TRAILERS:
            raise ChunkError('trailers')
