"""Forwarding of whole requests: budgets and the choice of a replica."""

from wigeonspoke.core.forwarding.budget import WindowBudget
from wigeonspoke.core.forwarding.replicas import ReplicaChooser

__all__ = ('ReplicaChooser', 'WindowBudget')
