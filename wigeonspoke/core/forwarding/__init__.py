"""Forwarding of whole requests: retry budgets, replicas, and a node's stop."""

from wigeonspoke.core.forwarding.budget import RetryWindowBudget
from wigeonspoke.core.forwarding.replicas import ReplicaSelector
from wigeonspoke.core.forwarding.response_times import ResponseTimes
from wigeonspoke.core.forwarding.shutdown import Shutdown

__all__ = (
    'ReplicaSelector',
    'ResponseTimes',
    'RetryWindowBudget',
    'Shutdown',
)
