"""Decisions about relayed requests: ways, allowances, counts and outcomes."""

import random

import msgspec
import pytest

from wigeonspoke.core.forwarding import RetryWindowBudget
from wigeonspoke.core.outcomes import Outcome
from wigeonspoke.core.reachability import MAX_RELAYED_REQUESTS
from wigeonspoke.core.relay import (
    PeerAnswer,
    RelayTraffic,
    RunCounts,
    Way,
    choose_way,
    may_hand_over,
    outcome_of,
    plan_handover,
    settle,
)

FUZZ_STEPS = 10_000


@pytest.mark.parametrize(
    ('relayed', 'isolated', 'any_group', 'own', 'peer', 'way'),
    [
        # Without isolation a request is served as before.
        (False, False, False, False, True, Way.OWN),
        # The endpoints of the other groups come first, and wait as before if
        # no peer helps.
        (False, False, True, True, True, Way.OWN),
        (False, False, True, False, True, Way.PEER),
        (False, False, True, False, False, Way.OWN),
        (False, True, True, False, True, Way.PEER),
        (False, True, True, False, False, Way.REFUSE),
        # A second hop could become a circle.
        (True, True, True, False, True, Way.REFUSE),
        (True, False, True, False, True, Way.OWN),
    ],
)
def test_the_way_of_a_request(relayed, isolated, any_group, own, peer, way):
    chosen = choose_way(
        is_relayed=relayed,
        is_isolated=isolated,
        has_isolated_group=any_group,
        has_own=own,
        has_peer=peer,
    )
    assert chosen is way


@pytest.mark.parametrize(
    ('executions', 'max_executions', 'may_repeat', 'limit'),
    [
        (0, 1, False, 1),
        (0, 3, False, 1),
        # One run is kept for another peer where there is more than one.
        (0, 2, True, 1),
        (0, 4, True, 3),
        (1, 2, True, 2),
        (0, 1, True, 1),
    ],
)
def test_the_runs_that_a_peer_is_allowed(
    executions, max_executions, may_repeat, limit
):
    plan = plan_handover(
        RunCounts(0, executions), max_executions, may_repeat=may_repeat
    )
    assert plan.execution_limit == limit


def test_a_peer_that_ends_unheard_is_taken_to_have_used_all_its_runs():
    plan = plan_handover(RunCounts(1, 0), 4, may_repeat=True)
    assert settle(plan, None, was_sent=True) == RunCounts(4, 3)
    assert settle(plan, None, was_sent=False) == RunCounts(1, 0)


def test_an_answer_cannot_lower_the_counts():
    plan = plan_handover(RunCounts(2, 1), 4, may_repeat=True)
    answer = PeerAnswer(Outcome.COMPLETED, RunCounts(0, 0))
    assert settle(plan, answer, was_sent=True) == RunCounts(2, 2)


@pytest.mark.parametrize(
    ('status', 'before', 'after', 'outcome'),
    [
        (200, 0, 1, Outcome.COMPLETED),
        (404, 0, 1, Outcome.COMPLETED),
        (500, 0, 1, Outcome.FAILED),
        (None, 1, 1, Outcome.NOT_RUN),
        (None, 1, 2, Outcome.UNKNOWN),
    ],
)
def test_the_outcome_that_a_peer_names(status, before, after, outcome):
    assert outcome_of(status, before, after) is outcome


def test_a_retry_that_did_not_arrive_is_put_back():
    """Guards against connections not established that use up the budget."""
    budget = RetryWindowBudget(0, 4, 10, 0)
    assert [budget.withdraw(10) for _ in range(4)] == [True] * 3 + [False]
    budget.put_back(10)
    assert budget.withdraw(10)
    assert not budget.withdraw(10)


def test_a_node_serves_a_limited_number_of_relayed_requests():
    traffic = RelayTraffic()
    accepted = [traffic.begin() for _ in range(MAX_RELAYED_REQUESTS + 1)]
    assert accepted == [True] * MAX_RELAYED_REQUESTS + [False]
    traffic.end()
    assert traffic.begin()


class _Endpoints(msgspec.Struct):
    """What happened to one request at endpoints, whatever nodes believe."""

    arrivals: int = 0
    runs: int = 0


class RelayModel:
    """A request of an isolated node, its peers and their endpoints.

    Endpoints refuse, answer, fail or break off; peers refuse, die before or
    after they ran the request, or lose their answer.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.may_repeat = rng.choice((False, True))
        self.max_executions = rng.choice((1, 1, 2, 3, 4))
        self.counts = RunCounts()
        self.handovers = 0
        self.truth = _Endpoints()

    def run(self) -> int:
        """Run the request; return the number of steps."""
        steps = 0
        while self._may_hand_over():
            steps += 1
            self.handovers += 1
            plan = plan_handover(
                self.counts, self.max_executions, may_repeat=self.may_repeat
            )
            assert plan.execution_limit <= self._limit()
            answer, was_sent = self._serve_at_peer(plan)
            if answer is None and was_sent and self._is_rare():
                # The peer is silent: the runs it may still make are counted,
                # and others are tried beside it.
                self.truth.runs += self.rng.randint(
                    0, max(0, plan.execution_limit - self.truth.runs)
                )
            self.counts = settle(plan, answer, was_sent=was_sent)
            if answer is not None and answer.outcome is Outcome.COMPLETED:
                break
        return steps + 1

    def check(self) -> None:
        """Check what must hold whatever happened."""
        assert self.truth.runs <= self._limit()
        assert self.counts.executions >= self.truth.runs
        assert self.counts.arrivals >= self.truth.runs

    def _limit(self) -> int:
        return max(1, self.max_executions) if self.may_repeat else 1

    def _may_hand_over(self) -> bool:
        return may_hand_over(
            self.counts,
            self.handovers,
            self.max_executions,
            may_repeat=self.may_repeat,
        )

    def _serve_at_peer(self, plan) -> tuple[PeerAnswer | None, bool]:
        fault = self.rng.choice(('none', 'connect', 'dies', 'refuses', 'lost'))
        if fault == 'connect':
            return None, False
        is_isolated = fault == 'refuses'
        way = choose_way(
            is_relayed=True,
            is_isolated=is_isolated,
            has_isolated_group=is_isolated,
            has_own=not is_isolated,
            has_peer=True,
        )
        assert way is not Way.PEER, 'second hop'
        if way is Way.REFUSE:
            return PeerAnswer(Outcome.NOT_RUN, plan.before), True
        counts, status = self._try_endpoints(plan, dies=fault == 'dies')
        if fault in {'dies', 'lost'}:
            return None, True
        outcome = outcome_of(status, plan.before.executions, counts.executions)
        return PeerAnswer(outcome, counts), True

    def _try_endpoints(self, plan, dies) -> tuple[RunCounts, int | None]:
        """Run the request at a peer as its own, within the sender's limit."""
        counts = plan.before
        status: int | None = None
        may_go_on = True
        while may_go_on and not (dies and self._is_rare()):
            fate = self.rng.choice(('answers', 'error', 'refuses', 'breaks'))
            is_run = fate != 'refuses'
            self.truth.arrivals += 1
            self.truth.runs += is_run
            counts = RunCounts(
                counts.arrivals + 1, counts.executions + int(is_run)
            )
            status = {'answers': 200, 'error': 500}.get(fate)
            may_go_on = self._may_try_again(plan, counts, fate)
        return counts, status

    def _may_try_again(self, plan, counts, fate) -> bool:
        if fate == 'refuses':
            return self.rng.choice((False, True))
        if fate == 'answers' or not self.may_repeat:
            return False
        return counts.executions < plan.execution_limit

    def _is_rare(self) -> bool:
        return self.rng.choice((True, False, False))


def test_relayed_requests_stay_within_their_limits_whatever_fails():
    """Guards against a second run of what must not run twice, and too many.

    The model checks, over 10,000 handovers, that the runs at endpoints stay
    within the rule's limit at both nodes together, and that the node of the
    client never counts fewer runs than there were.
    """
    rng = random.Random(21)
    steps = 0
    while steps < FUZZ_STEPS:
        model = RelayModel(rng)
        steps += model.run()
        model.check()
