"""What nodes tell each other: endpoint marks and load."""

from wigeonspoke.core.membership.exchange import (
    Exchange,
    message_size,
    round_seconds,
)
from wigeonspoke.core.membership.marks import MarkBook
from wigeonspoke.core.membership.peers import PeerBook
from wigeonspoke.core.membership.records import (
    Contact,
    Departure,
    EndpointLoad,
    EndpointMark,
    GossipMessage,
    MarkState,
    PeerReport,
)

__all__ = (
    'Contact',
    'Departure',
    'EndpointLoad',
    'EndpointMark',
    'Exchange',
    'GossipMessage',
    'MarkBook',
    'MarkState',
    'PeerBook',
    'PeerReport',
    'message_size',
    'round_seconds',
)
