"""At most once, whatever becomes of nodes, table and answers.

A table, a service and nodes in memory; hypothesis decides which of the
things under way happens next, which answers are lost and who dies.
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
MAX_TURNS = 200


class ClaimWorld:
    """Nodes that all get the same operation, a table and a service."""

    def __init__(self, choose):
        self.choose = choose
        self.rows = {}
        self.runs = 0
        self.now = 0
        self.under_way = []
        self.ends = []
        self.routers = {}
        self.performers = {
            actions.InsertClaim: self._insert,
            actions.ReadClaim: self._read,
            actions.SendCall: self._run,
            actions.ReleaseClaim: self._release,
            actions.KeepOutcome: self._keep,
            actions.ProbeEndpoint: self._probe,
        }
        for number in range(NODES):
            router = Router(f'n{number}', 'a', random.Random(number))
            router.handle(events.ConfigurationAdopted(make_configuration()), 0)
            self.routers[number] = router

    def ask(self, number, digest='d1'):
        """Let a caller send the operation to a node."""
        call = make_call('c1', token=f't{number}', digest=digest)
        self._feed(number, call)

    def play(self):
        """Let things happen until nothing is under way."""
        for _ in range(MAX_TURNS):
            if not self.under_way:
                return
            turn = self.choose(len(self.under_way) + 2)
            if turn < len(self.under_way):
                self.perform(*self.under_way.pop(turn))
            elif turn == len(self.under_way):
                self.pass_time()
            else:
                self.kill_one()

    def kill_one(self):
        """Let a node die, unless it is the last one."""
        if len(self.routers) > 1:
            victim = self.choose(len(self.routers))
            self.routers.pop(sorted(self.routers)[victim])

    def pass_time(self):
        """Let a second pass at all nodes."""
        self.now += 1
        for number in tuple(self.routers):
            self._feed(number, events.TimerFired())

    def perform(self, number, action):
        """Carry out an action of a node, unless the node has died."""
        if number in self.routers:
            self.performers[type(action)](number, action)

    def _feed(self, number, event):
        router = self.routers.get(number)
        for action in router.handle(event, self.now):
            if isinstance(action, actions.FinishCall):
                self.ends.append(action)
            elif not isinstance(action, actions.Note):
                self.under_way.append((number, action))

    def _read(self, number, action):
        row = self.rows.get(action.key)
        answer = ClaimAnswer.EXISTS if row else ClaimAnswer.MISSING
        self._feed(number, events.ClaimAnswered('c1', answer, row))

    def _probe(self, number, action):
        healthy = bool(self.choose(2))
        self._feed(number, events.ProbeAnswered(action.endpoint, healthy))

    def _release(self, number, action):
        row = self.rows.get(action.row.key)
        if row and row.token == action.row.token:
            self.rows.pop(row.key)

    def _insert(self, number, action):
        fate = self.choose(4)
        row = self.rows.get(action.row.key)
        answer = ClaimAnswer.EXISTS
        if fate == 0:
            answer = ClaimAnswer.UNAVAILABLE
            row = None
        elif row is None:
            row = action.row
            self.rows[row.key] = row
            answer = ClaimAnswer.INSERTED
        if fate == 1:
            answer = ClaimAnswer.UNCERTAIN
            row = None
        self._feed(number, events.ClaimAnswered('c1', answer, row))

    def _run(self, number, action):
        tried = ('c1', action.try_number, action.endpoint)
        fates = (
            events.CallFailed(*tried, Outcome.NOT_RUN, Reason.CONNECT),
            events.CallReplied(*tried, 503),
            events.CallFailed(*tried, Outcome.UNKNOWN, Reason.RESET),
            events.CallReplied(*tried, 200),
        )
        fate = self.choose(len(fates))
        self.runs += fate >= 2
        self._feed(number, fates[fate])

    def _keep(self, number, action):
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


def _outcomes(world):
    return [end.error and end.error.outcome for end in world.ends]


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.data())
def test_at_most_one_run_in_every_interleaving(data):
    world = ClaimWorld(lambda count: data.draw(st.integers(0, count - 1)))
    for number in range(NODES):
        world.ask(number)
    world.play()
    assert world.runs <= 1
    outcomes = _outcomes(world)
    # A caller has an answer only if there was a run; and if all callers
    # were told that nothing was run, nothing was.
    assert world.runs or None not in outcomes
    all_refused = outcomes == [Outcome.NOT_RUN for _ in range(NODES)]
    assert not (all_refused and world.runs)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.data())
def test_not_run_from_the_claimant_means_not_run(data):
    world = ClaimWorld(lambda count: data.draw(st.integers(0, count - 1)))
    world.ask(0)
    world.play()
    if _outcomes(world) == [Outcome.NOT_RUN]:
        assert world.runs == 0


class NaiveCalls:
    """Sends a call at once, and again whenever it does not know the end."""

    def __init__(self):
        self.tries = 0

    def handle(self, event, now):
        """Give the actions of a client that resends."""
        if isinstance(event, events.CallRequested | events.CallFailed):
            self.tries += 1
            return [actions.SendCall('c1', self.tries, 'f1', False, 1)]
        if isinstance(event, events.CallReplied):
            return [actions.FinishCall('c1')]
        return []


def _most_runs(make_router):
    most = 0
    for seed in range(100):
        world = ClaimWorld(random.Random(seed).randrange)
        for number in range(NODES):
            if make_router:
                world.routers[number] = make_router()
            world.ask(number)
        world.play()
        most = max(most, world.runs)
    return most


@pytest.mark.parametrize(
    ('make_router', 'keeps_promise'),
    [(None, True), (NaiveCalls, False)],
)
def test_same_interleavings_with_and_without_claims(
    make_router,
    keeps_promise,
):
    assert (_most_runs(make_router) <= 1) is keeps_promise


def _settled(state, digest='d1'):
    world = ClaimWorld(lambda count: 0)
    call = make_call('c0', token='other', digest=digest)
    row = _row_of(world, call)
    kept = None
    if state is ClaimState.DONE:
        kept = KeptReply(200, 'text/plain', b'receipt')
    world.rows[row.key] = type(row)(row.key, 'other', digest, state, kept)
    return world


def _row_of(world, call):
    router = world.routers[5]
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
    world = _settled(state)
    world.choose = lambda count: 2 if count == 4 else 0
    world.ask(0, digest)
    for _ in range(20):
        if world.under_way:
            world.play()
        world.pass_time()
    assert world.runs == 0
    end = world.ends[0]
    if end.error:
        assert end.error.reason is reason
    else:
        assert (reason, end.kept.body) == (None, b'receipt')


@pytest.mark.parametrize('refusal', [0, 1])
def test_claim_of_a_call_that_was_not_run_is_released(refusal):
    world = ClaimWorld(lambda count: 3 if len(world.rows) == 0 else refusal)
    world.ask(0)
    while world.under_way:
        world.perform(*world.under_way.pop(0))
    assert _outcomes(world) == [Outcome.NOT_RUN]
    assert (world.rows, world.runs) == ({}, 0)
