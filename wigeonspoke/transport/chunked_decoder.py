"""Taking a body in chunks apart as its bytes come, of requests and answers.

Streams of events consist of many small chunks; a general parser of HTTP
spends more on each than all the rest of passing it on.
"""

import re

MAX_LINE_BYTES = 1024
# With the empty line that ends them.
MAX_TRAILERS = 16
HEXADECIMAL_BASE = 16
CRLF = b'\r\n'

_SIZE_LINE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\r\n\x00]*)?')


class ChunkError(Exception):
    """The bytes are no body in chunks."""


class ChunkedDecoder:
    r"""The body of one answer; ``is_complete`` after its last chunk.

    ``buffer`` holds what has come and is not taken apart yet; behind a whole
    body it belongs to nothing.

    >>> body = ChunkedDecoder()
    >>> body.feed(b'5\r\nhello\r\n0\r')
    b'hello'
    >>> body.feed(b'\n\r\n'), body.is_complete
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
        # Bytes of the chunk at hand that are still to come.
        self.remaining = 0
        # The chunk at hand is there but for the end of its line.
        self.awaits_chunk_end = False
        # Lines that followed the last chunk, none before it.
        self.trailer_count: int | None = None
        self.is_complete = False

    def feed(self, received: bytes) -> bytes:
        """Take bytes in; give what they add to the body.

        Raises
        ------
        ChunkError
            The bytes break the format, or a line is too long.
        """
        self.buffer += received
        parts: list[bytes] = []
        part = self._decode_next()
        while part is not None:
            parts.append(part)
            part = self._decode_next()
        return b''.join(parts)

    def _decode_next(self) -> bytes | None:
        """Take the next piece; give what it adds, none if it is not there."""
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
        """Take a size or a trailer."""
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
