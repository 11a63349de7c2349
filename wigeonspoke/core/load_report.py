"""Which loads a node tells its peers, in a bounded number.

An owner needs to know what others have borrowed of its engines, and a
borrower where there is room.  So a node tells its streams on engines that
are not its own, and all streams at some of its own, which take turns.
"""

from wigeonspoke.core.membership import EndpointLoad
from wigeonspoke.core.routes import EndpointState, Ownership
from wigeonspoke.core.view import ClusterView

FOREIGN_LOADS = 32
OWN_LOADS = 24


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
        for state in busy[:FOREIGN_LOADS]
    )


def own_loads(view: ClusterView, turn: int) -> tuple[EndpointLoad, ...]:
    """Give all streams at some of this node's own engines, in turn."""
    found = view.registry.owned
    start = turn * OWN_LOADS % max(1, len(found))
    chosen = (found[start:] + found[:start])[:OWN_LOADS]
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
