"""Admission control: account limits and fair queueing of requests."""

from wigeonspoke.core.admission.accounts import AccountLimits
from wigeonspoke.core.admission.fair_queue import FairQueue, QueuedRequest

__all__ = ('AccountLimits', 'FairQueue', 'QueuedRequest')
