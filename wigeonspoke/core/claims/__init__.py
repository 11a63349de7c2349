"""Claims, by which a call that may not be repeated runs at most once."""

from wigeonspoke.core.claims.records import (
    ClaimAnswer,
    ClaimRow,
    ClaimState,
    KeptReply,
    claim_key,
)

__all__ = ('ClaimAnswer', 'ClaimRow', 'ClaimState', 'KeptReply', 'claim_key')
