"""Error responses that report the outcome of a failed request."""

import http
import math

import msgspec
from werkzeug.wrappers import Response

from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.webapp import JsonReply

OUTCOME_HEADER = 'X-Wigeonspoke-Outcome'
REQUEST_ID_HEADER = 'X-Wigeonspoke-Request-Id'

_STATUSES = {
    Reason.ACCOUNT_LIMIT: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.OVERLOAD: http.HTTPStatus.TOO_MANY_REQUESTS,
    Reason.BODY_MISMATCH: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.CLAIM_PENDING: http.HTTPStatus.CONFLICT,
}
_OUTCOME_STATUSES = {
    Outcome.NOT_RUN: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    Outcome.FAILED: http.HTTPStatus.BAD_GATEWAY,
}


class OutcomeDetail(msgspec.Struct, frozen=True):
    """An error, its outcome, and the step and peer at which it occurred."""

    message: str
    type: str
    code: str
    outcome: str
    step: str
    peer: str


class OutcomeBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: OutcomeDetail


def error_body(error: StepError) -> OutcomeBody:
    """Build the body that describes an error."""
    detail = OutcomeDetail(
        message=error.describe(),
        type='outcome',
        code=error.reason.value,
        outcome=error.outcome.value,
        step=error.step,
        peer=error.peer,
    )
    return OutcomeBody(detail)


def outcome_reply(
    request_id: str,
    error: StepError,
    retry_after_seconds: float,
) -> Response:
    """Build the response to a failed request.

    It has a ``Retry-After`` header if the request was not run and the time
    to wait is known.
    """
    status = _STATUSES.get(error.reason, _OUTCOME_STATUSES[error.outcome])
    headers = {
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: error.outcome.value,
    }
    if error.outcome is Outcome.NOT_RUN and retry_after_seconds:
        headers['Retry-After'] = str(math.ceil(retry_after_seconds))
    return JsonReply(error_body(error), status, headers)
