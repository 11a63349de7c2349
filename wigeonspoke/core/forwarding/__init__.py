"""Forwarding of whole requests: budgets and the choice of a replica."""

from wigeonspoke.core.forwarding.budget import RetryWindowBudget
from wigeonspoke.core.forwarding.replicas import ReplicaSelector

__all__ = ('ReplicaSelector', 'RetryWindowBudget')
