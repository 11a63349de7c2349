"""Gossip between nodes: live peers, their load and endpoint marks."""

from wigeonspoke.core.membership.gossip import (
    GossipState,
    message_size,
    round_seconds,
)
from wigeonspoke.core.membership.marks import MarkRegistry
from wigeonspoke.core.membership.peers import PeerRegistry
from wigeonspoke.core.membership.records import (
    Contact,
    Departure,
    EndpointLoad,
    EndpointMark,
    GossipMessage,
    MarkState,
    PeerReport,
)
from wigeonspoke.core.membership.watchers import choose_watchers

__all__ = (
    'Contact',
    'Departure',
    'EndpointLoad',
    'EndpointMark',
    'GossipMessage',
    'GossipState',
    'MarkRegistry',
    'MarkState',
    'PeerRegistry',
    'PeerReport',
    'message_size',
    'round_seconds',
    'choose_watchers',
)
