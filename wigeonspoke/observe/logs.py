"""Logs: one line for a change of state, on standard error."""

import sys

from loguru import logger

LINE_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


def configure_logs(level: str, as_json: bool) -> None:
    """Send log lines of a level and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, serialize=as_json)
