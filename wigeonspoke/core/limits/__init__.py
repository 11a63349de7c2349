"""Limits that endpoints name for the requests of all nodes together."""

from wigeonspoke.core.limits.named_limits import LimitReport, NamedLimits
from wigeonspoke.core.limits.senders import SenderRegistry, max_senders

__all__ = ('LimitReport', 'NamedLimits', 'SenderRegistry', 'max_senders')
