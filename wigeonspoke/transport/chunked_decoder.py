"""Incremental decoder of the chunked transfer coding.

It decodes the bodies of requests and responses as their bytes arrive.  Event
streams consist of many small chunks, and a general HTTP parser takes longer
for each of them than all other work of forwarding it.
"""

import re

MAX_LINE_BYTES = 1024
# Includes the empty line that ends the trailer section.
MAX_TRAILERS = 16
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
        'is_complete',
        'remaining',
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

    def feed(self, received: bytes) -> bytes:
        """Add received bytes and return the body data decoded from them.

        Raises
        ------
        ChunkError
            The bytes are malformed, or a line or the trailer section is too
            long.
        """
        self.buffer += received
        parts: list[bytes] = []
        part = self._decode_next()
        while part is not None:
            parts.append(part)
            part = self._decode_next()
        return b''.join(parts)

    def _decode_next(self) -> bytes | None:
        """Decode the next element and return its data, None if incomplete."""
        if self.is_complete:
            return None
        if self.remaining:
            return self._decode_data()
        return (
            self._decode_chunk_end()
            if self.awaits_chunk_end
            else self._decode_line()
        )

    def _decode_data(self) -> bytes | None:
        taken = self.buffer[: self.remaining]
        self.buffer = self.buffer[self.remaining :]
        self.remaining -= len(taken)
        self.awaits_chunk_end = not self.remaining
        return taken or None

    def _decode_chunk_end(self) -> bytes | None:
        end = self.buffer[: len(CRLF)]
        if not CRLF.startswith(end):
            raise ChunkError('end of a chunk')
        if end != CRLF:
            return None
        self.buffer = self.buffer[len(CRLF) :]
        self.awaits_chunk_end = False
        return b''

    def _decode_line(self) -> bytes | None:
        """Decode a chunk size line or a trailer line."""
        line, found, after = self.buffer.partition(CRLF)
        if len(line) > MAX_LINE_BYTES:
            raise ChunkError('length of a line')
        if not found:
            return None
        self.buffer = after
        if self.trailer_count is None:
            self._parse_size(line)
        else:
            self._check_trailer(line)
        return b''

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
