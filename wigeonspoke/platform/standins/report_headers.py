"""What the answers of an endpoint of the stand-ins say of itself."""

import time
from typing import Protocol

MIN_AWAY_SECONDS = 0.01


class ReportingStandin(Protocol):
    """An endpoint whose answers say something of itself."""

    named_limit: float | None
    says_leaving: bool
    away_until: float
    retry_after: str | None


def report_headers(standin: ReportingStandin) -> dict[str, str]:
    """Return the headers in which each answer speaks of its endpoint."""
    headers: dict[str, str] = {}
    if standin.named_limit is not None:
        headers['Server-Limit'] = str(standin.named_limit)
    if standin.says_leaving:
        headers['Server-Leaving'] = '1'
    return headers


def backoff_headers(standin: ReportingStandin) -> dict[str, str]:
    """Return the headers of a refusal that names the time to stay away."""
    left = max(MIN_AWAY_SECONDS, standin.away_until - time.monotonic())
    retry_after = standin.retry_after
    if retry_after is None:
        retry_after = f'{left:.2f}'
    return report_headers(standin) | {
        'Not-Executed': '1',
        'Retry-After': retry_after,
    }
