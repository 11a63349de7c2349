"""Rows of the claims table and the answers to operations on them."""

import enum
import hashlib

import msgspec


@enum.unique
class ClaimState(enum.StrEnum):
    """How far a claimed call has come."""

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'


@enum.unique
class ClaimAnswer(enum.StrEnum):
    """What is known after an operation on a claim row."""

    INSERTED = 'inserted'
    EXISTS = 'exists'
    MISSING = 'missing'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class KeptReply(msgspec.Struct, frozen=True):
    """A service's reply, kept byte for byte for repeats of the call."""

    status: int
    content_type: str
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """The claim of one operation by one call.

    ``token`` is random and tells the claimant's own row from another's when
    the answer to the insertion was lost.
    """

    key: str
    token: str
    body_digest: str
    state: ClaimState
    kept: KeptReply | None = None


def claim_key(account: str, service: str, identity: str) -> str:
    """Give the table key of an operation.

    The parts are hashed with their lengths, so that no choice of names can
    make two operations share a key.

    >>> claim_key('a', 'bc', 'd') == claim_key('ab', 'c', 'd')
    False
    """
    digest = hashlib.sha256()
    for part in (account, service, identity):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return digest.hexdigest()
