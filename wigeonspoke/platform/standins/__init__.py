"""Small stand-ins for the platform's store and replicas, with faults."""

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
