"""Selection of the loads in a node's report, bounded in number.

The owner of an engine needs to know how many streams other nodes run on it,
and other nodes need to know which engines have free capacity.  A report
therefore contains the node's streams on engines that it does not own, and
the total number of streams on some of its own engines, chosen in rotation.
"""

from wigeonspoke.core.membership import EndpointLoad
from wigeonspoke.core.routes import EndpointState, Ownership
from wigeonspoke.core.view import ClusterView

MAX_FOREIGN_LOADS = 32
MAX_OWN_LOADS = 24


def foreign_loads(view: ClusterView) -> tuple[EndpointLoad, ...]:
    """Return this node's streams on engines it does not own.

    The engines with the most streams come first.
    """
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
    """Return the total streams on the own engines due in this round."""
    engines = view.registry.owned
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
