"""How a try of a request can end, and the error that reports it.

The four outcomes are the vocabulary of every retry decision: a try that is
:attr:`Outcome.NOT_RUN` may always be repeated, one that is
:attr:`Outcome.UNKNOWN` only if the request is idempotent.
"""

import enum

import msgspec


@enum.unique
class Outcome(enum.StrEnum):
    """The end of one try at an endpoint."""

    COMPLETED = 'completed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


@enum.unique
class Reason(enum.StrEnum):
    """Why a request or a try ended the way it did."""

    DONE = 'done'
    ACCOUNT_LIMIT = 'account-limit'
    ATTEMPTS_SPENT = 'attempts-spent'
    BODY_MISMATCH = 'body-mismatch'
    BUDGET_SPENT = 'retry-budget-spent'
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


class StepError(msgspec.Struct, frozen=True):
    """An error with the step and the peer at which it arose.

    ``step`` names the step of the request's path, such as ``prefill`` or
    ``claim``; ``peer`` is the endpoint or service that was being talked to,
    and is empty where the node itself decided.
    """

    outcome: Outcome
    reason: Reason
    step: str
    peer: str = ''

    def describe(self) -> str:
        """Give the error as one line for callers and logs."""
        where = f' at {self.peer}' if self.peer else ''
        return f'{self.reason.value} in step {self.step}{where}'
