"""Logging to standard error, with one line for each change of state."""

import sys

from loguru import logger

LINE_FORMAT = '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}'


def configure_logs(level: str, as_json: bool) -> None:
    """Write log lines of a level and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, serialize=as_json)
