"""Detection of endpoints that this node cannot reach while its peers can."""

from wigeonspoke.core.reachability.peer_reach import MAX_RELAYED_REQUESTS
from wigeonspoke.core.reachability.reachability import Reachability
from wigeonspoke.core.reachability.records import (
    IsolationChange,
    ReachedReport,
    RelayPeer,
)

__all__ = (
    'IsolationChange',
    'MAX_RELAYED_REQUESTS',
    'Reachability',
    'ReachedReport',
    'RelayPeer',
)
