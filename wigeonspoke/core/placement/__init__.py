"""Placement: which engine holds which layers of a model."""

from wigeonspoke.core.placement.orders import PendingOrder, Steward
from wigeonspoke.core.placement.plan import (
    Placing,
    free_tokens,
    plan_domain,
)
from wigeonspoke.core.placement.repair import find_gaps, repair_domain

__all__ = (
    'PendingOrder',
    'Placing',
    'Steward',
    'find_gaps',
    'free_tokens',
    'plan_domain',
    'repair_domain',
)
