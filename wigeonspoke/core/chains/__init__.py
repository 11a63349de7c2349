"""Chains of engines that serve whole requests."""

from wigeonspoke.core.chains.activity import ChainActivity
from wigeonspoke.core.chains.chooser import ChainChooser
from wigeonspoke.core.chains.elsewhere import LoadElsewhere
from wigeonspoke.core.chains.paths import Chain, Hop, find_chain
from wigeonspoke.core.chains.room import ChainRoom
from wigeonspoke.core.chains.suspects import SuspectBook, Suspicion

__all__ = (
    'Chain',
    'ChainActivity',
    'ChainChooser',
    'ChainRoom',
    'Hop',
    'LoadElsewhere',
    'SuspectBook',
    'Suspicion',
    'find_chain',
)
