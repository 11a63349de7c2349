"""Test doubles of the platform's store, replicas and engines.

Each serves requests on a loopback socket and can inject faults.
"""

from wigeonspoke.platform.standins.engine import EngineStandin
from wigeonspoke.platform.standins.replica import (
    ReceivedRequest,
    ReplicaFault,
    ReplicaStandin,
)
from wigeonspoke.platform.standins.store import StoreFault, StoreStandin

__all__ = (
    'EngineStandin',
    'ReceivedRequest',
    'ReplicaFault',
    'ReplicaStandin',
    'StoreFault',
    'StoreStandin',
)
