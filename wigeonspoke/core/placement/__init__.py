"""Placement: which engine holds which layers of a model."""

from wigeonspoke.core.placement.balance import balance_domain
from wigeonspoke.core.placement.orders import PendingOrder, Steward
from wigeonspoke.core.placement.plan import (
    Placing,
    even_room,
    free_tokens,
    plan_domain,
)
from wigeonspoke.core.placement.repair import (
    find_gaps,
    repair_domain,
    replace_slow,
)

__all__ = (
    'PendingOrder',
    'Placing',
    'Steward',
    'balance_domain',
    'even_room',
    'find_gaps',
    'free_tokens',
    'plan_domain',
    'repair_domain',
    'replace_slow',
)
