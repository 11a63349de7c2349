"""Generation requests: attempts, token order and rebuilding of streams."""

from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.streams.session import GenerationSession

__all__ = ('GenerationSession', 'StepKey')
