"""Routes: sequences of engines that together hold all layers of a model."""

from collections.abc import Sequence

import msgspec
from returns.result import Failure, Result, Success

from wigeonspoke.core.deployment import Engine


class RouteError(msgspec.Struct, frozen=True):
    """Why engines do not form a route, and the engine at fault."""

    problem: str
    peer: str


class Route(msgspec.Struct, frozen=True):
    """A sequence of engines whose ranges cover all layers once, in order.

    Use :func:`build_route` to create one from unchecked stages.
    """

    stages: tuple[Engine, ...]

    @property
    def last_stage(self) -> int:
        """Return the index of the final stage, which generates the tokens."""
        return len(self.stages) - 1


def build_route(
    stages: Sequence[Engine],
    layers: int,
) -> Result[Route, RouteError]:
    """Build a route after checking that its stages cover ``[0, layers)``.

    A gap, an overlap, an empty range or an end other than ``layers`` gives a
    :class:`RouteError` that names the engine where it was detected.
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
        return Failure(RouteError(f'ends at layer {covered} of {layers}', peer))
    return Success(Route(tuple(stages)))
