"""Limits on the additional work caused by retries."""

from wigeonspoke.core.retries.budget import RetryBudget

__all__ = ('RetryBudget',)
