"""Limits on the work that retries may add."""

from wigeonspoke.core.retries.budget import RetryBudget

__all__ = ('RetryBudget',)
