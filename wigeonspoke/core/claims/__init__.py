"""Claim rows, which make non-repeatable calls run at most once."""

from wigeonspoke.core.claims.records import (
    ClaimAnswer,
    ClaimRow,
    ClaimState,
    KeptReply,
    claim_key,
)

__all__ = ('ClaimAnswer', 'ClaimRow', 'ClaimState', 'KeptReply', 'claim_key')
