"""Outcomes of an attempt of a request, and the error that reports them.

Retry decisions depend on the outcome: an attempt that ended with
:attr:`Outcome.NOT_RUN` may always be repeated, and one that ended with
:attr:`Outcome.UNKNOWN` only if the request is idempotent.
"""

import enum

import msgspec


@enum.unique
class Outcome(enum.StrEnum):
    """The outcome of one attempt at an endpoint.

    ``UNKNOWN``: the endpoint may or may not have run the request.
    """

    COMPLETED = 'completed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


@enum.unique
class Reason(enum.StrEnum):
    """The reason for the outcome of a request or an attempt."""

    DONE = 'done'
    ACCOUNT_LIMIT = 'account-limit'
    ATTEMPTS_SPENT = 'attempts-spent'
    BODY_MISMATCH = 'body-mismatch'
    BUDGET_SPENT = 'retry-budget-spent'
    BROKEN_OFF = 'answer-broken-off'
    BUSY = 'endpoint-busy'
    CALLER_GONE = 'caller-gone'
    CLAIM_PENDING = 'claim-in-progress'
    CLAIM_UNKNOWN = 'claim-outcome-unknown'
    CONNECT = 'connect-failed'
    CONTRACT = 'endpoint-contract'
    DEADLINE = 'deadline-passed'
    NO_CONFIGURATION = 'no-configuration'
    NO_ENDPOINT = 'no-endpoint'
    OVERLOAD = 'overload'
    REFUSED = 'endpoint-refused'
    RESET = 'connection-lost'
    STOPPING = 'node-stopping'
    STORE = 'store-unavailable'
    TIMEOUT = 'timeout'
    TOO_LARGE = 'answer-too-large'


class StepError(msgspec.Struct, frozen=True):
    """An error with the step and the peer at which it occurred.

    ``step`` names the stage of processing, such as ``prefill`` or
    ``claiming``.  ``peer`` is the endpoint that the node was communicating
    with; it is empty for errors raised by the node itself.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str = ''

    def describe(self) -> str:
        """Return a one-line description for callers and logs."""
        where = f' at {self.peer}' if self.peer else ''
        return f'{self.reason.value} in step {self.step}{where}'
