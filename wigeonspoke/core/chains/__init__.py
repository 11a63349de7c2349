"""Selection and health of chains of engines that serve whole requests."""

from wigeonspoke.core.chains.activity import ChainActivity
from wigeonspoke.core.chains.capacity import estimate_capacities
from wigeonspoke.core.chains.concurrency_limits import ChainConcurrencyLimits
from wigeonspoke.core.chains.demand import (
    PromptPart,
    RequestDemand,
    expected_answer_tokens,
)
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
from wigeonspoke.core.chains.times import ChainUse
from wigeonspoke.core.chains.token_load import TokenLoad

__all__ = (
    'Chain',
    'ChainActivity',
    'ChainConcurrencyLimits',
    'ChainSelector',
    'ChainUse',
    'Hop',
    'PeerLoad',
    'PromptPart',
    'RequestDemand',
    'SuspectRegistry',
    'Suspicion',
    'TokenLoad',
    'estimate_capacities',
    'expected_answer_tokens',
    'explain_missing_chain',
    'find_chain',
    'find_chains',
)
