"""A route: the chain of engines whose layer ranges make up a model."""

from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.deployment import Engine


class RouteError(msgspec.Struct, frozen=True):
    """Why a chain of engines is no route: what is wrong, and at whom."""

    problem: str
    peer: str


class Route(msgspec.Struct, frozen=True):
    """A chain of engines that tiles all layers of a model in order.

    Make one with :func:`build_route`, which checks the tiling.
    """

    stages: tuple[Engine, ...]

    @property
    def last_stage(self) -> int:
        """Give the position of the stage that yields tokens."""
        return len(self.stages) - 1


def build_route(
    stages: Sequence[Engine],
    layers: int,
) -> Result[Route, RouteError]:
    """Check that the stages tile ``[0, layers)`` and make a route of them.

    A gap, an overlap, an empty range or a missing end is a
    :class:`RouteError` that names the engine at which it shows.
    """
    covered = 0
    peer = ''
    for engine in stages:
        peer = engine.name
        if engine.layers.first != covered:
            return Failure(
                RouteError(f'expected first layer {covered}', peer),
            )
        if engine.layers.end <= covered:
            return Failure(RouteError('empty layer range', peer))
        covered = engine.layers.end
    if covered != layers:
        return Failure(RouteError(f'ends at {covered} of {layers}', peer))
    return Success(Route(tuple(stages)))
