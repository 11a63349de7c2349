"""What callers saw."""

import enum

import msgspec


@enum.unique
class AnswerResult(enum.StrEnum):
    """How an answer turned out, from its caller's side.

    ``CUT``: some of the answer came and its end did not.  ``REFUSED``: the
    reply said that the request was not run.
    """

    WHOLE = 'whole'
    CUT = 'cut'
    WRONG = 'wrong'
    REFUSED = 'refused'
    FAILED = 'failed'


class AnswerRecord(msgspec.Struct, frozen=True):
    """One generated answer; times are monotonic seconds."""

    node: str
    result: AnswerResult
    due: float
    started: float
    first_token: float | None
    ended: float
    tokens: int
    status: int
    request_id: str = ''
    detail: str = ''


class CallRecord(msgspec.Struct, frozen=True):
    """One service call and what its reply said of it."""

    node: str
    identity: str
    status: int
    outcome: str
    started: float
    ended: float
