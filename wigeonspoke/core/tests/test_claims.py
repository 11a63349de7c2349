"""Non-repeatable calls run at most once, whatever fails.

The tests guard against a second run after a lost table result, a lost reply
or the crash of a node.  They simulate a table, a service and several nodes in
memory; Hypothesis chooses the order of the pending actions, the results that
are lost and the nodes that crash.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonspoke.core import actions, events
from wigeonspoke.core.claims import ClaimAnswer, ClaimState, KeptReply
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.core.router import Router
from wigeonspoke.core.tests.examples import make_call, make_configuration

NODES = 6
MAX_STEPS = 200


class ClaimSimulation:
    """Simulates nodes with the same operation, a table and a service."""

    def __init__(self, choose):
        self.choose = choose
        self.rows = {}
        self.runs = 0
        self.now = 0
        self.pending = []
        self.results = []
        self.routers = {}
        self.handlers = {
            actions.InsertClaim: self._insert,
            actions.ReadClaim: self._read,
            actions.SendCall: self._send_call,
            actions.ReleaseClaim: self._release,
            actions.RecordOutcome: self._record_outcome,
            actions.ProbeEndpoint: self._probe,
        }
        for number in range(NODES):
            router = Router(f'n{number}', 'a', random.Random(number))
            router.handle(events.ConfigurationAdopted(make_configuration()), 0)
            self.routers[number] = router

    def send_request(self, number, digest='d1'):
        """Send the operation to a node."""
        call = make_call('c1', token=f't{number}', digest=digest)
        self._feed(number, call)

    def run(self):
        """Perform actions, timers and crashes until no action is pending."""
        for _ in range(MAX_STEPS):
            if not self.pending:
                return
            choice = self.choose(len(self.pending) + 2)
            if choice < len(self.pending):
                self.perform(*self.pending.pop(choice))
            elif choice == len(self.pending):
                self.advance_time()
            else:
                self.crash_node()

    def crash_node(self):
        """Remove a node, unless it is the last one."""
        if len(self.routers) > 1:
            index = self.choose(len(self.routers))
            self.routers.pop(sorted(self.routers)[index])

    def advance_time(self):
        """Advance the time by a second and fire the timer of all nodes."""
        self.now += 1
        for number in tuple(self.routers):
            self._feed(number, events.TimerFired())

    def perform(self, number, action):
        """Perform an action of a node, unless the node has crashed."""
        if number in self.routers:
            self.handlers[type(action)](number, action)

    def _feed(self, number, event):
        router = self.routers.get(number)
        for action in router.handle(event, self.now):
            if isinstance(action, actions.FinishCall):
                self.results.append(action)
            elif not isinstance(action, actions.Note):
                self.pending.append((number, action))

    def _read(self, number, action):
        row = self.rows.get(action.key)
        answer = ClaimAnswer.EXISTS if row else ClaimAnswer.MISSING
        self._feed(number, events.ClaimAnswered('c1', answer, row))

    def _probe(self, number, action):
        healthy = bool(self.choose(2))
        self._feed(number, events.ProbeCompleted(action.endpoint, healthy))

    def _release(self, number, action):
        row = self.rows.get(action.row.key)
        if row and row.token == action.row.token:
            self.rows.pop(row.key)

    def _insert(self, number, action):
        choice = self.choose(4)
        row = self.rows.get(action.row.key)
        answer = ClaimAnswer.EXISTS
        if choice == 0:
            answer = ClaimAnswer.UNAVAILABLE
            row = None
        elif row is None:
            row = action.row
            self.rows[row.key] = row
            answer = ClaimAnswer.INSERTED
        if choice == 1:
            answer = ClaimAnswer.UNCERTAIN
            row = None
        self._feed(number, events.ClaimAnswered('c1', answer, row))

    def _send_call(self, number, action):
        attempt = ('c1', action.attempt, action.endpoint)
        possible_results = (
            events.CallFailed(*attempt, Outcome.NOT_RUN, Reason.CONNECT),
            events.CallReplied(*attempt, 503),
            events.CallFailed(*attempt, Outcome.UNKNOWN, Reason.RESET),
            events.CallReplied(*attempt, 200),
        )
        choice = self.choose(len(possible_results))
        self.runs += choice >= 2
        self._feed(number, possible_results[choice])

    def _record_outcome(self, number, action):
        row = self.rows.get(action.row.key)
        if row and row.token == action.row.token:
            kept = None
            if action.state is ClaimState.DONE:
                kept = KeptReply(200, 'text/plain', b'receipt')
            self.rows[row.key] = type(row)(
                row.key,
                row.token,
                row.body_digest,
                action.state,
                kept,
            )


def _outcomes(simulation):
    return [
        result.error and result.error.outcome for result in simulation.results
    ]


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.data())
def test_at_most_one_run_in_every_interleaving(data):
    simulation = ClaimSimulation(
        lambda count: data.draw(st.integers(0, count - 1))
    )
    for number in range(NODES):
        simulation.send_request(number)
    simulation.run()
    assert simulation.runs <= 1
    outcomes = _outcomes(simulation)
    # A caller receives a reply only if the operation ran.  If all callers
    # are told that it did not run, it did not.
    assert simulation.runs or None not in outcomes
    none_ran = outcomes == [Outcome.NOT_RUN for _ in range(NODES)]
    assert not (none_ran and simulation.runs)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.data())
def test_not_run_outcome_means_no_run(data):
    simulation = ClaimSimulation(
        lambda count: data.draw(st.integers(0, count - 1))
    )
    simulation.send_request(0)
    simulation.run()
    if _outcomes(simulation) == [Outcome.NOT_RUN]:
        assert simulation.runs == 0


class RetryingClient:
    """Sends a call without a claim and retries it after any failure."""

    def __init__(self):
        self.attempts = 0

    def handle(self, event, now):
        """Return the actions of a client that retries every failure."""
        if isinstance(event, events.CallRequested | events.CallFailed):
            self.attempts += 1
            return [actions.SendCall('c1', self.attempts, 'f1', False, 1)]
        if isinstance(event, events.CallReplied):
            return [actions.FinishCall('c1')]
        return []


def _max_runs(make_router):
    max_runs = 0
    for seed in range(100):
        simulation = ClaimSimulation(random.Random(seed).randrange)
        for number in range(NODES):
            if make_router:
                simulation.routers[number] = make_router()
            simulation.send_request(number)
        simulation.run()
        max_runs = max(max_runs, simulation.runs)
    return max_runs


@pytest.mark.parametrize(
    ('make_router', 'at_most_once'),
    [(None, True), (RetryingClient, False)],
)
def test_same_interleavings_with_and_without_claims(
    make_router,
    at_most_once,
):
    assert (_max_runs(make_router) <= 1) is at_most_once


def _with_existing_claim(state, digest='d1'):
    simulation = ClaimSimulation(lambda count: 0)
    call = make_call('c0', token='other', digest=digest)
    row = _row_of(simulation, call)
    kept = None
    if state is ClaimState.DONE:
        kept = KeptReply(200, 'text/plain', b'receipt')
    simulation.rows[row.key] = type(row)(row.key, 'other', digest, state, kept)
    return simulation


def _row_of(simulation, call):
    router = simulation.routers[5]
    inserted = router.handle(call, 0)[0]
    return inserted.row


@pytest.mark.parametrize(
    ('state', 'digest', 'reason'),
    [
        (ClaimState.DONE, 'd1', None),
        (ClaimState.UNKNOWN, 'd1', Reason.CLAIM_UNKNOWN),
        (ClaimState.CLAIMED, 'd1', Reason.CLAIM_PENDING),
        (ClaimState.DONE, 'd2', Reason.BODY_MISMATCH),
    ],
)
def test_repeat_of_a_claimed_operation(state, digest, reason):
    simulation = _with_existing_claim(state)
    simulation.choose = lambda count: 2 if count == 4 else 0
    simulation.send_request(0, digest)
    for _ in range(20):
        if simulation.pending:
            simulation.run()
        simulation.advance_time()
    assert simulation.runs == 0
    result = simulation.results[0]
    if result.error:
        assert result.error.reason is reason
    else:
        assert (reason, result.kept.body) == (None, b'receipt')


@pytest.mark.parametrize('refusal', [0, 1])
def test_claim_of_a_call_that_was_not_run_is_released(refusal):
    simulation = ClaimSimulation(
        lambda count: 3 if len(simulation.rows) == 0 else refusal
    )
    simulation.send_request(0)
    while simulation.pending:
        simulation.perform(*simulation.pending.pop(0))
    assert _outcomes(simulation) == [Outcome.NOT_RUN]
    assert (simulation.rows, simulation.runs) == ({}, 0)
