"""Admission control: account limits, fair queueing, reserved capacity."""

from wigeonspoke.core.admission.accounts import AccountLimits
from wigeonspoke.core.admission.fair_queue import FairQueue, QueuedRequest
from wigeonspoke.core.admission.reservation import ChainLoad, RankReservation
from wigeonspoke.core.admission.returning_clients import ReturningClients
from wigeonspoke.core.admission.size_classes import SizeClasses
from wigeonspoke.core.admission.start_rate import StartRate

__all__ = (
    'AccountLimits',
    'ChainLoad',
    'FairQueue',
    'QueuedRequest',
    'RankReservation',
    'ReturningClients',
    'SizeClasses',
    'StartRate',
)
