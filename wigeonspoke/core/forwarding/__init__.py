"""Forwarding of whole requests: retry budgets and replica selection."""

from wigeonspoke.core.forwarding.budget import RetryWindowBudget
from wigeonspoke.core.forwarding.replicas import ReplicaSelector

__all__ = ('ReplicaSelector', 'RetryWindowBudget')
