"""Which loads a node tells its peers, in a bounded number.

An owner needs to know what others have borrowed of its engines, and a
borrower where there is room.  So a node tells its streams on engines that
are not its own, and all streams at some of its own, which take turns.
"""

from wigeonspoke.core.membership import EndpointLoad
from wigeonspoke.core.routes import EndpointState, Ownership
from wigeonspoke.core.view import ClusterView

MAX_FOREIGN_LOADS = 32
MAX_OWN_LOADS = 24


def foreign_loads(view: ClusterView) -> tuple[EndpointLoad, ...]:
    """Give this node's streams on engines not its own, the most first."""
    busy = [
        state
        for state in view.registry.endpoints.values()
        if _is_foreign(state)
    ]
    busy.sort(key=_streams, reverse=True)
    return tuple(
        EndpointLoad(state.index, state.streams)
        for state in busy[:MAX_FOREIGN_LOADS]
    )


def own_loads(view: ClusterView, round_number: int) -> tuple[EndpointLoad, ...]:
    """Give all streams at some of this node's own engines, in turn."""
    engines = view.registry.own
    start = round_number * MAX_OWN_LOADS % max(1, len(engines))
    chosen = (engines[start:] + engines[:start])[:MAX_OWN_LOADS]
    return tuple(
        EndpointLoad(
            state.index,
            state.streams + view.peers.streams_at(state.index),
        )
        for state in chosen
    )


def _streams(state: EndpointState) -> int:
    return state.streams


def _is_foreign(state: EndpointState) -> bool:
    listed = state.index >= 0 and state.streams > 0
    return listed and state.ownership is not Ownership.OWN
