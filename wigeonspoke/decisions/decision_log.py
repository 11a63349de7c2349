"""Log lines that tell what a node decided or assumes, and why.

Each line is one JSON object on standard output.  A token bucket for each kind
of line limits their rate.  Lines above the limit are dropped, and the next
line of the kind reports their number as ``left_out``.  Writing never blocks.
"""

import os
import sys
import time
from collections.abc import Callable
from contextlib import suppress

import msgspec
from loguru import logger

LINES_PER_SECOND = 20
BURST_LINES = 60


class _TokenBucket(msgspec.Struct):
    """The rate limit of one kind of line.

    ``dropped`` counts the lines dropped since the last one written.
    """

    tokens: float = BURST_LINES
    refilled_at: float = 0
    dropped: int = 0


class DecisionLog:
    """Writes the log lines of one node to ``sink``.

    >>> lines = []
    >>> log = DecisionLog('entry-1', lines.append)
    >>> log.write('start', version=7)
    >>> '"kind":"start","version":7' in lines[0]
    True
    """

    __slots__ = ('buckets', 'node', 'sink')

    def __init__(
        self,
        node: str,
        sink: Callable[[str], None] = logger.info,
    ) -> None:
        self.node = node
        self.sink = sink
        self.buckets: dict[str, _TokenBucket] = {}

    def write(self, kind: str, **fields: object) -> None:
        """Write a line with its fields unless its kind is over the limit."""
        now = time.monotonic()
        bucket = self.buckets.setdefault(kind, _TokenBucket(refilled_at=now))
        tokens = bucket.tokens + (now - bucket.refilled_at) * LINES_PER_SECOND
        bucket.tokens = min(BURST_LINES, tokens)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.dropped += 1
            return
        bucket.tokens -= 1
        if bucket.dropped:
            fields['left_out'] = bucket.dropped
            bucket.dropped = 0
        self.sink(self._format_line(kind, now, fields))

    def _format_line(
        self, kind: str, now: float, fields: dict[str, object]
    ) -> str:
        line = {
            'at': round(now, 3),
            'time': round(time.time(), 3),
            'node': self.node,
            'kind': kind,
            **fields,
        }
        return msgspec.json.encode(line).decode()


def send_decisions_to_stdout() -> None:
    """Make the log write to standard output without ever blocking."""
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(_write_line, level='INFO', format='{message}')


def _write_line(text: str) -> None:
    # A slow reader of the log must not delay requests; the line is lost.
    with suppress(BlockingIOError, BrokenPipeError):
        os.write(sys.stdout.fileno(), text.encode())
