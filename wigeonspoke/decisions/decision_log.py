"""Decision lines: what a node decided on a request or believes, and why.

Each line is one JSON object on standard output.  Lines are bounded by a
budget a second for each kind, and never block: what does not fit is counted
and told with the next line of its kind.
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
    """The lines that a kind may still write, and those left out."""

    tokens: float = BURST_LINES
    refilled_at: float = 0
    dropped: int = 0


class DecisionLog:
    """Writes decision lines of one node.

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
        """Write a line of a kind with its facts, if its budget allows."""
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
    """Let the log write to standard output without ever waiting on it."""
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(_write_line, level='INFO', format='{message}')


def _write_line(text: str) -> None:
    # A reader of the logs that does not keep up must not hold requests.
    with suppress(BlockingIOError, BrokenPipeError):
        os.write(sys.stdout.fileno(), text.encode())
