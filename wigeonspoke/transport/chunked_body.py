"""Taking a body in chunks apart as its bytes come, of requests and answers.

Streams of events consist of many small chunks; a general parser of HTTP
spends more on each than all the rest of passing it on.
"""

import re

MAX_LINE = 1024
# With the empty line that ends them.
MAX_TRAILERS = 16
HEXADECIMAL = 16
LINE_END = b'\r\n'

_SIZE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:[ \t]*;[^\r\n\x00]*)?')


class ChunkError(Exception):
    """The bytes are no body in chunks."""


class ChunkedBody:
    r"""The body of one answer; ``is_whole`` after its last chunk.

    ``rest`` holds what has come and is not taken apart yet; behind a whole
    body it belongs to nothing.

    >>> body = ChunkedBody()
    >>> body.feed(b'5\r\nhello\r\n0\r')
    b'hello'
    >>> body.feed(b'\n\r\n'), body.is_whole
    (b'', True)
    """

    __slots__ = ('awaits_end', 'is_whole', 'left', 'rest', 'trailers')

    def __init__(self) -> None:
        self.rest = b''
        # Bytes of the chunk at hand that are still to come.
        self.left = 0
        # The chunk at hand is there but for the end of its line.
        self.awaits_end = False
        # Lines that followed the last chunk, none before it.
        self.trailers: int | None = None
        self.is_whole = False

    def feed(self, received: bytes) -> bytes:
        """Take bytes in; give what they add to the body.

        Raises
        ------
        ChunkError
            The bytes break the format, or a line is too long.
        """
        self.rest += received
        parts: list[bytes] = []
        part = self._step()
        while part is not None:
            parts.append(part)
            part = self._step()
        return b''.join(parts)

    def _step(self) -> bytes | None:
        """Take the next piece; give what it adds, none if it is not there."""
        if self.is_whole:
            return None
        if self.left:
            return self._take_data()
        return self._take_end() if self.awaits_end else self._take_line()

    def _take_data(self) -> bytes | None:
        taken = self.rest[: self.left]
        self.rest = self.rest[self.left :]
        self.left -= len(taken)
        self.awaits_end = not self.left
        return taken or None

    def _take_end(self) -> bytes | None:
        end = self.rest[: len(LINE_END)]
        if not LINE_END.startswith(end):
            raise ChunkError('end of a chunk')
        if end != LINE_END:
            return None
        self.rest = self.rest[len(LINE_END) :]
        self.awaits_end = False
        return b''

    def _take_line(self) -> bytes | None:
        """Take a size or a trailer."""
        line, found, after = self.rest.partition(LINE_END)
        if len(line) > MAX_LINE:
            raise ChunkError('length of a line')
        if not found:
            return None
        self.rest = after
        if self.trailers is None:
            self._take_size(line)
        else:
            self._take_trailer(line)
        return b''

    def _take_size(self, line: bytes) -> None:
        matched = _SIZE.fullmatch(line)
        if matched is None:
            raise ChunkError('size of a chunk')
        size = int(matched[1], HEXADECIMAL)
        self.left = size
        if not size:
            self.trailers = 0

    def _take_trailer(self, line: bytes) -> None:
        if not line:
            self.is_whole = True
            return
        self.trailers += 1
        if self.trailers >= MAX_TRAILERS:
            raise ChunkError('trailers')
