"""Admission control: account limits, fair queueing, reserved capacity."""

from wigeonspoke.core.admission.accounts import AccountLimits
from wigeonspoke.core.admission.fair_queue import FairQueue, QueuedRequest
from wigeonspoke.core.admission.reservation import ChainLoad, RankReservation

__all__ = (
    'AccountLimits',
    'ChainLoad',
    'FairQueue',
    'QueuedRequest',
    'RankReservation',
)
