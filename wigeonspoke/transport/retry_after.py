"""The header ``Retry-After`` of HTTP: a number of seconds, or a date."""

import time
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from wigeonspoke.transport.decimal_text import parse_decimal


def parse_retry_after(text: str, date: str = '') -> float | None:
    """Return a time in seconds, None if the header has no meaning.

    HTTP allows whole seconds only; fractions are common between services.
    ``date`` is the header of that name in the same response.  It is preferred
    to the clock of this host, which may differ.  A date in the past is 0.

    >>> parse_retry_after('2.5')
    2.5
    >>> parse_retry_after('-3') is None
    True
    """
    stripped = text.strip()
    seconds = parse_decimal(stripped)
    if seconds is not None:
        return seconds
    until = _parse_date(stripped)
    if until is None:
        return None
    sent = _parse_date(date.strip())
    sent_at = time.time() if sent is None else sent.timestamp()
    return max(0, until.timestamp() - sent_at)


def _parse_date(text: str) -> datetime | None:
    if not text:
        return None
    try:
        parsed = parsedate_to_datetime(text)
    except (TypeError, ValueError):
        return None
    if parsed.tzinfo is None:
        return parsed.replace(tzinfo=UTC)
    return parsed
