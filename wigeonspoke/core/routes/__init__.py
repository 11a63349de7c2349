"""Routes over engines, the endpoint registry and the route planner."""

from wigeonspoke.core.routes.planner import RoutePlanner
from wigeonspoke.core.routes.registry import (
    EndpointRegistry,
    EndpointState,
    Ownership,
)
from wigeonspoke.core.routes.route import Route, RouteError, build_route

__all__ = (
    'EndpointRegistry',
    'EndpointState',
    'Ownership',
    'Route',
    'RouteError',
    'RoutePlanner',
    'build_route',
)
