"""Limits of a peer to which a request is handed over, and their accounting.

Both nodes together stay within the limits of the request's rule, also if the
peer ends without an answer.  The node therefore tells the peer how often the
request may run in all, and counts all of these runs if no answer comes.
"""

import http

import msgspec

from wigeonspoke.core.outcomes import Outcome

# Peers that one request is handed to.  A peer that fails without an answer
# takes up to the target latency, so that the deadline is reached after a few.
MAX_HANDOVERS = 3


class RunCounts(msgspec.Struct, frozen=True):
    """How often a request has reached an endpoint, and may have run there."""

    arrivals: int = 0
    executions: int = 0


class Handover(msgspec.Struct, frozen=True):
    """The limits that a peer is sent with a request.

    ``execution_limit`` is how often the request may have run in all when the
    peer has ended, those counted in ``before`` included.
    """

    before: RunCounts
    execution_limit: int


class PeerAnswer(msgspec.Struct, frozen=True):
    """A peer's account of a request; ``after`` are its counts from then on."""

    outcome: Outcome
    after: RunCounts


def may_hand_over(
    counts: RunCounts,
    handovers: int,
    max_executions: int,
    *,
    may_repeat: bool,
) -> bool:
    """Return whether a request may be handed to a further peer."""
    if handovers >= MAX_HANDOVERS:
        return False
    if not counts.executions:
        return True
    return may_repeat and counts.executions < max_executions


def plan_handover(
    counts: RunCounts, max_executions: int, *, may_repeat: bool
) -> Handover:
    """Return the limits for a peer.

    If more than one run is left, one of them is kept for another peer, since
    this one may end without saying how many it has used.
    """
    remaining = max_executions - counts.executions
    runs = remaining - 1 if may_repeat else 1
    return Handover(counts, counts.executions + max(1, runs))


def settle(
    handover: Handover, answer: PeerAnswer | None, *, was_sent: bool
) -> RunCounts:
    """Return the counts after a handover.

    ``answer`` is None if the peer gave no valid one.  It is taken to have used
    all runs then, unless not a byte of the request ``was_sent``.
    """
    before = handover.before
    if answer is None:
        if not was_sent:
            return before
        runs = handover.execution_limit - before.executions
        return RunCounts(before.arrivals + runs, handover.execution_limit)
    arrivals = max(before.arrivals, answer.after.arrivals)
    if answer.outcome is Outcome.NOT_RUN:
        return RunCounts(arrivals, before.executions)
    executions = max(before.executions + 1, answer.after.executions)
    return RunCounts(arrivals, executions)


def outcome_of(
    endpoint_status: int | None, executions_before: int, executions: int
) -> Outcome:
    """Return the outcome that a peer names.

    ``endpoint_status`` is the status of an endpoint's answer, None if the peer
    has none.
    """
    if endpoint_status is None:
        is_run = executions > executions_before
        return Outcome.UNKNOWN if is_run else Outcome.NOT_RUN
    if endpoint_status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.FAILED
    return Outcome.COMPLETED
