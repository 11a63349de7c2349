"""Calls of plain services, including operations that must not be repeated."""

from wigeonspoke.core.calls.coordinator import CallCoordinator
from wigeonspoke.core.calls.session import CallSession, CallStage

__all__ = ('CallCoordinator', 'CallSession', 'CallStage')
