"""Selection and health of chains of engines that serve whole requests."""

from wigeonspoke.core.chains.activity import ChainActivity
from wigeonspoke.core.chains.capacity import estimate_capacities
from wigeonspoke.core.chains.concurrency_limits import ChainConcurrencyLimits
from wigeonspoke.core.chains.demand import PromptPart, RequestDemand
from wigeonspoke.core.chains.paths import (
    Chain,
    Hop,
    explain_missing_chain,
    find_chain,
    find_chains,
)
from wigeonspoke.core.chains.peer_load import PeerLoad
from wigeonspoke.core.chains.selector import ChainSelector
from wigeonspoke.core.chains.suspicion import SuspectRegistry, Suspicion

__all__ = (
    'Chain',
    'ChainActivity',
    'ChainConcurrencyLimits',
    'ChainSelector',
    'Hop',
    'PeerLoad',
    'PromptPart',
    'RequestDemand',
    'SuspectRegistry',
    'Suspicion',
    'estimate_capacities',
    'explain_missing_chain',
    'find_chain',
    'find_chains',
)
