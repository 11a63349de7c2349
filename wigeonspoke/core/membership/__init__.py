"""What nodes tell each other: endpoint marks and load."""

from wigeonspoke.core.membership.marks import MarkBook
from wigeonspoke.core.membership.peers import PeerBook
from wigeonspoke.core.membership.records import (
    EndpointLoad,
    EndpointMark,
    MarkState,
    PeerReport,
)

__all__ = (
    'EndpointLoad',
    'EndpointMark',
    'MarkBook',
    'MarkState',
    'PeerBook',
    'PeerReport',
)
