"""The active routing configuration and the lookup of rules in it."""

from wigeonspoke.core.routing.rules import (
    ClientAccount,
    ClientLimits,
    RequestKind,
    RoutingConfiguration,
    Rule,
    ServiceProfile,
    Target,
)
from wigeonspoke.core.routing.table import RoutingTable, choose_target

__all__ = (
    'ClientAccount',
    'ClientLimits',
    'RequestKind',
    'RoutingConfiguration',
    'RoutingTable',
    'Rule',
    'ServiceProfile',
    'Target',
    'choose_target',
)
