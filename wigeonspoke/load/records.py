"""Records of requests and their replies, as seen by callers."""

import enum

import msgspec


@enum.unique
class AnswerResult(enum.StrEnum):
    """The result of a request for an answer, as seen by its caller.

    ``WHOLE``: the complete expected answer.  ``CUT``: an incomplete answer
    that is correct as far as it goes.  ``WRONG``: text that differs from the
    expected answer.  ``REFUSED``: an error reply that says that the request
    was not run.  ``FAILED``: any other error reply, or no reply.
    """

    WHOLE = 'whole'
    CUT = 'cut'
    WRONG = 'wrong'
    REFUSED = 'refused'
    FAILED = 'failed'


class AnswerRecord(msgspec.Struct, frozen=True):
    """A request for an answer and its result.

    Times are in monotonic seconds.  ``due`` is when the request should have
    been sent, ``started`` when it was, and ``first_token`` when the first
    text of a streamed answer arrived.  ``tokens`` counts characters, as each
    token of the stand-in model is one.  ``detail`` describes an error.
    """

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
    """A service call and its result.

    ``identity`` is the idempotency key.  ``outcome`` is ``completed``, the
    outcome that an error reply states (``failed`` if it states none), or
    ``unknown`` if there was no reply.
    """

    node: str
    identity: str
    status: int
    outcome: str
    started: float
    ended: float
