"""The active routing configuration and the lookup of rules in it."""

from wigeonspoke.core.routing.ranks import RankTable
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
    'RankTable',
    'RequestKind',
    'RoutingConfiguration',
    'RoutingTable',
    'Rule',
    'ServiceProfile',
    'Target',
    'choose_target',
)
