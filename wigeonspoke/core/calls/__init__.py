"""Calls of plain services, of which some may not be repeated."""

from wigeonspoke.core.calls.coordinator import CallCoordinator
from wigeonspoke.core.calls.session import CallSession, CallStage

__all__ = ('CallCoordinator', 'CallSession', 'CallStage')
