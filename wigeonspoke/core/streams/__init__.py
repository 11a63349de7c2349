"""Generation sessions: attempts, steps and the order of tokens."""

from wigeonspoke.core.keys import StepKey
from wigeonspoke.core.streams.session import GenerationSession

__all__ = ('GenerationSession', 'StepKey')
