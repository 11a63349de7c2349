"""Placement of model layers on the engines of a failure domain."""

from wigeonspoke.core.placement.balance import balance_copy
from wigeonspoke.core.placement.controller import (
    PendingOrder,
    PlacementController,
)
from wigeonspoke.core.placement.copies import (
    Division,
    count_copies,
    divide_engines,
)
from wigeonspoke.core.placement.plan import (
    Placement,
    balanced_capacity,
    plan_copy,
    token_capacity,
)
from wigeonspoke.core.placement.repair import (
    find_gaps,
    relieve_engines,
    repair_copy,
)

__all__ = (
    'Division',
    'PendingOrder',
    'Placement',
    'PlacementController',
    'balance_copy',
    'balanced_capacity',
    'count_copies',
    'divide_engines',
    'find_gaps',
    'relieve_engines',
    'plan_copy',
    'repair_copy',
    'token_capacity',
)
