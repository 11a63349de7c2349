"""Whether a node sends a request to endpoints or relays it to a peer."""

import enum


@enum.unique
class Way(enum.StrEnum):
    """Where a request goes next."""

    OWN = 'own'
    PEER = 'peer'
    REFUSE = 'refuse'


def choose_way(
    *,
    is_relayed: bool,
    is_isolated: bool,
    has_isolated_group: bool,
    has_own: bool,
    has_peer: bool,
) -> Way:
    """Return where a request goes next.

    ``is_isolated`` is whether the node is isolated from the whole service, and
    ``has_isolated_group`` whether it is from any group.  ``has_own`` is
    whether an endpoint of the other groups has capacity, and ``has_peer``
    whether a peer may be handed the request.

    A request that came from a peer is never relayed again: its sender
    can choose another peer, and relaying loops are ruled out.
    """
    if has_own or not has_isolated_group:
        return Way.OWN
    if has_peer and not is_relayed:
        return Way.PEER
    return Way.REFUSE if is_isolated else Way.OWN
