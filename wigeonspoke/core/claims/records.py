"""Rows of the claims table and the results of operations on them."""

import enum
import hashlib

import msgspec


@enum.unique
class ClaimState(enum.StrEnum):
    """The state of a claimed call.

    ``CLAIMED``: in progress.  ``DONE``: a replica replied.  ``UNKNOWN``: the
    call ended and a replica may or may not have run it.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    UNKNOWN = 'unknown'


@enum.unique
class ClaimAnswer(enum.StrEnum):
    """The result of an insertion or a read of a claim row.

    ``UNAVAILABLE``: the operation had no effect.  ``UNCERTAIN``: it may or
    may not have taken effect.
    """

    INSERTED = 'inserted'
    EXISTS = 'exists'
    MISSING = 'missing'
    UNAVAILABLE = 'unavailable'
    UNCERTAIN = 'uncertain'


class KeptReply(msgspec.Struct, frozen=True):
    """A service's reply, stored unchanged for repeats of the call."""

    status: int
    content_type: str
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """The claim of one operation by one call.

    ``token`` is a random string.  When the result of an insertion was lost,
    it tells whether the existing row belongs to this call.
    """

    key: str
    token: str
    body_digest: str
    state: ClaimState
    kept: KeptReply | None = None


def claim_key(account: str, service: str, identity: str) -> str:
    """Return the table key of an operation.

    Each part is hashed together with its length, so that different parts
    whose concatenation is equal have different keys.

    >>> claim_key('a', 'bc', 'd') == claim_key('ab', 'c', 'd')
    False
    """
    digest = hashlib.sha256()
    for part in (account, service, identity):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, 'big'))
        digest.update(encoded)
    return digest.hexdigest()
