"""Placement of model layers on the engines of a failure domain."""

from wigeonspoke.core.placement.balance import balance_domain
from wigeonspoke.core.placement.controller import (
    PendingOrder,
    PlacementController,
)
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    plan_domain,
    token_capacity,
)
from wigeonspoke.core.placement.repair import (
    find_gaps,
    offload_slow_engines,
    repair_domain,
)

__all__ = (
    'PendingOrder',
    'Placement',
    'PlacementController',
    'balance_domain',
    'balanced_capacity',
    'find_gaps',
    'offload_slow_engines',
    'plan_domain',
    'repair_domain',
    'token_capacity',
)
