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

LINES_A_SECOND = 20
BURST_LINES = 60


class _Meter(msgspec.Struct):
    """The lines that a kind may still write, and those left out."""

    left: float = BURST_LINES
    at: float = 0
    left_out: int = 0


class DecisionLog:
    """Writes decision lines of one node.

    >>> lines = []
    >>> log = DecisionLog('entry-1', lines.append)
    >>> log.write('start', version=7)
    >>> '"kind":"start","version":7' in lines[0]
    True
    """

    __slots__ = ('meters', 'node', 'put')

    def __init__(
        self,
        node: str,
        put: Callable[[str], None] = logger.info,
    ) -> None:
        self.node = node
        self.put = put
        self.meters: dict[str, _Meter] = {}

    def write(self, kind: str, **facts: object) -> None:
        """Write a line of a kind with its facts, if its budget allows."""
        now = time.monotonic()
        meter = self.meters.setdefault(kind, _Meter(at=now))
        refilled = meter.left + (now - meter.at) * LINES_A_SECOND
        meter.left = min(BURST_LINES, refilled)
        meter.at = now
        if meter.left < 1:
            meter.left_out += 1
            return
        meter.left -= 1
        if meter.left_out:
            facts['left_out'] = meter.left_out
            meter.left_out = 0
        self.put(self._line(kind, now, facts))

    def _line(self, kind: str, now: float, facts: dict[str, object]) -> str:
        line = {
            'at': round(now, 3),
            'time': round(time.time(), 3),
            'node': self.node,
            'kind': kind,
            **facts,
        }
        return msgspec.json.encode(line).decode()


def send_decisions_to_stdout() -> None:
    """Let the log write to standard output without ever waiting on it."""
    logger.remove()
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(_put_line, level='INFO', format='{message}')


def _put_line(text: str) -> None:
    # A reader of the logs that does not keep up must not hold requests.
    with suppress(BlockingIOError, BrokenPipeError):
        os.write(sys.stdout.fileno(), text.encode())
