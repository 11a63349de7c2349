"""A node that cannot reach a group of endpoints that its peers reach."""

import random
from collections import Counter
from functools import partial

import pytest

from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.reachability import Reachability, ReachedReport

SERVICE = 'draft'
STEPS = 10_000
REACHED_SECONDS = 2.5


def _endpoint(name: str, domain: str = 'one') -> Endpoint:
    return Endpoint(name, SERVICE, f'{name}:1', domain)


def _reachability(*names: str) -> tuple[Reachability, dict[str, Endpoint]]:
    """Return the evidence of a node in domain ``one``.

    The first letter of an endpoint's name tells its failure domain.
    """
    fleet = Fleet()
    for name in names:
        fleet.put(_endpoint(name, {'a': 'one', 'b': 'two'}[name[0]]))
    return Reachability(fleet, 'one'), fleet.endpoints


def _tell(reachability, now, age=0, peer='p1', domain='one', **options):
    """Merge a report of a peer that has reached both groups."""
    is_isolated = options.pop('is_isolated', False)
    reports = [
        ReachedReport(SERVICE, group_domain, age, is_isolated)
        for group_domain in ('one', 'two')
    ]
    reachability.merge(peer, f'{peer}:9', domain, reports, now, **options)


def _isolated(*names: str):
    """Return a node isolated at 10.0 from the group of domain ``one``."""
    reachability, endpoints = _reachability(*names)
    _tell(reachability, 10.0)
    for name in names:
        if name[0] == 'a':
            reachability.record_failed(endpoints[name], 10.0)
    assert reachability.is_isolated(SERVICE, 'one', 10.0)
    reachability.take_changes()
    return reachability, endpoints


# Each row: endpoints, attempts as (time, endpoint, succeeded), time and age of
# the peer's report, and whether the node is isolated at 11.0.
EVIDENCE = {
    'two failed': (('a1', 'a2'), [(10, 'a1', 0), (10.9, 'a2', 0)], 10, 0, 1),
    'one of two': (('a1', 'a2'), [(10.9, 'a1', 0)], 10, 0, 0),
    'one twice': (('a1', 'a2'), [(10, 'a1', 0), (10.9, 'a1', 0)], 10, 0, 0),
    'the only one': (('a1', 'b1'), [(10.9, 'a1', 0)], 10, 0, 1),
    'two of three': (
        ('a1', 'a2', 'a3'),
        [(10, 'a1', 0), (10.1, 'a2', 0)],
        10,
        0,
        1,
    ),
    'success between': (
        ('a1', 'a2'),
        [(10, 'a1', 0), (10.5, 'a1', 1), (10.9, 'a2', 0)],
        10,
        0,
        0,
    ),
    'success before': (
        ('a1', 'a2'),
        [(9.9, 'a1', 1), (10, 'a1', 0), (10.9, 'a2', 0)],
        10,
        0,
        1,
    ),
    'old failure': (('a1', 'a2'), [(8.8, 'a1', 0), (10.9, 'a2', 0)], 10, 0, 0),
    'peer 2.4 s ago': (('a1',), [(11, 'a1', 0)], 11, 2.4, 1),
    'peer 2.6 s ago': (('a1',), [(11, 'a1', 0)], 11, 2.6, 0),
    'age at the peer and since': (('a1',), [(11, 'a1', 0)], 9.4, 1, 0),
}


@pytest.mark.parametrize('case', EVIDENCE)
def test_isolation_needs_all_of_the_evidence(case):
    names, attempts, *report, is_isolated = EVIDENCE[case]
    reachability, endpoints = _reachability(*names)
    _tell(reachability, *report)
    for at, name, succeeded in attempts:
        record = reachability.record_failed
        if succeeded:
            record = reachability.record_connected
        record(endpoints[name], at)
    assert reachability.is_isolated(SERVICE, 'one', 11.0) == is_isolated
    assert not reachability.is_isolated(SERVICE, 'two', 11.0)


def test_endpoints_that_ended_together_isolate_no_node():
    """The trial after the first failure decides, not the second failure."""
    reachability, endpoints = _reachability('a1', 'a2', 'a3')
    _tell(reachability, 10.0)
    reachability.record_failed(endpoints['a1'], 10.0)
    reachability.record_failed(endpoints['a2'], 10.0)
    trials = reachability.due_trials(10.0)
    assert [trial.endpoint_id for trial in trials] == ['a3']
    reachability.record_connected(trials[0], 10.01)
    assert not reachability.is_isolated(SERVICE, 'one', 10.5)
    assert not reachability.is_determining(endpoints['a1'], 10.01)


@pytest.mark.parametrize(
    ('after', 'has_peers', 'is_determining'),
    [(0.5, True, True), (1.1, True, False), (0.5, False, False)],
)
def test_determination_ends(after, has_peers, is_determining):
    """Without an end, failures of endpoints that are down never counted."""
    reachability, endpoints = _reachability('a1', 'a2')
    if has_peers:
        _tell(reachability, 10.0, 60.0)
    reachability.record_failed(endpoints['a1'], 10.0)
    found = reachability.suspends_beliefs(endpoints['a1'], 10 + after)
    assert found is is_determining


@pytest.mark.parametrize(
    ('names', 'successes', 'is_isolated'),
    [
        (('a1', 'a2'), ['a1'], True),
        (('a1', 'a2'), ['a1', 'a1'], True),
        (('a1', 'a2'), ['a1', 'a2'], False),
        # One of two has ended meanwhile.
        (('a1', 'a2'), ['a1', 'a1', 'a1'], False),
        (('a1',), ['a1'], True),
        (('a1',), ['a1', 'a1'], False),
    ],
)
def test_two_successes_end_an_isolation(names, successes, is_isolated):
    reachability, endpoints = _isolated(*names)
    for number, name in enumerate(successes):
        reachability.record_connected(endpoints[name], 10.5 + number / 2)
    assert reachability.is_isolated(SERVICE, 'one', 12.0) is is_isolated


def test_requests_return_gradually():
    reachability, endpoints = _isolated('a1')
    assert not reachability.may_try(endpoints['a1'], 10.1, 0)
    reachability.record_connected(endpoints['a1'], 11.0)
    reachability.record_connected(endpoints['a1'], 12.0)
    shares = [
        sum(
            reachability.may_try(endpoints['a1'], at, draw / 100)
            for draw in range(100)
        )
        for at in (12.0, 13.0, 14.0)
    ]
    assert shares == [10, 55, 100]


def test_trials_are_rarer_after_each_relapse():
    reachability, endpoints = _isolated('a1')
    now = 10.0
    intervals = []
    for _ in range(5):
        reachability.record_connected(endpoints['a1'], now)
        reachability.record_connected(endpoints['a1'], now)
        reachability.record_failed(endpoints['a1'], now + 1)
        now += 1
        began_at = now
        while not reachability.due_trials(now):
            now += 0.125
        intervals.append(now - began_at)
    assert intervals == [1, 2, 4, 4, 4]
    reachability.record_connected(endpoints['a1'], now)
    reachability.record_connected(endpoints['a1'], now)
    now += 10.5
    _tell(reachability, now)
    reachability.record_failed(endpoints['a1'], now)
    assert not reachability.due_trials(now + 0.4)
    assert reachability.due_trials(now + 0.5)


def test_wrong_isolation_is_withdrawn():
    """Endpoints that are down must not be held for out of reach for good."""
    reachability, endpoints = _isolated('a1', 'b1')
    reachability.record_answered(endpoints['b1'], 12.5)
    assert reachability.is_isolated(SERVICE, 'one', 12.4)
    assert not reachability.is_isolated(SERVICE, 'one', 12.6)
    changes = reachability.take_changes()
    assert [change.is_withdrawn for change in changes] == [True]


def test_group_without_endpoints_isolates_no_node():
    """No trial could end the isolation."""
    reachability, endpoints = _isolated('a1')
    gone = endpoints['a1']
    reachability.fleet.drop('a1')
    assert not reachability.is_isolated(SERVICE, 'one', 10.1)
    reachability.record_failed(gone, 10.2)
    assert not reachability.is_isolated(SERVICE, 'one', 10.2)


@pytest.mark.parametrize(
    ('peers', 'excluded', 'expected'),
    [
        ({'p1': {}}, (), {'p1'}),
        ({'p1': {}, 'p2': {}}, ('p1',), {'p2'}),
        ({'p1': {'domain': 'two'}, 'p2': {}}, (), {'p2'}),
        ({'p1': {'domain': 'two'}, 'p2': {'is_isolated': True}}, (), {'p1'}),
        ({'p1': {'is_stopping': True}}, (), {None}),
        ({'p1': {'age': 2.6}}, (), {None}),
        ({}, (), {None}),
    ],
)
def test_unfit_peers_are_not_chosen(peers, excluded, expected):
    reachability, _ = _reachability('a1', 'b1')
    for name, options in peers.items():
        _tell(reachability, 10.0, peer=name, **options)
    chosen = {
        reachability.choose_peer(SERVICE, 10.0, excluded, draw / 10)
        for draw in range(10)
    }
    assert {peer and peer.name for peer in chosen} == expected


def test_busy_peers_are_chosen_less_often():
    reachability, _ = _reachability('a1')
    for name, requests in (('p1', 0), ('p2', 8), ('p3', 24)):
        _tell(reachability, 10.0, peer=name, open_requests=requests)
    chosen = Counter(
        reachability.choose_peer(SERVICE, 10.0, (), draw / 700).name
        for draw in range(700)
    )
    assert chosen == {'p1': 400, 'p2': 200, 'p3': 100}


def test_refusal_if_no_peer_reaches_the_service():
    reachability, _ = _isolated('a1')
    refuses_at = reachability.refusal_retry_after
    assert refuses_at(SERVICE, 10.1, 9, 0.5) is None
    _tell(reachability, 10.2, is_isolated=True)
    waits = [refuses_at(SERVICE, 10.2, left, 0.5) for left in (9, 3)]
    assert waits == [1.5, 1]


def test_message_is_bounded():
    fleet = Fleet()
    reachability = Reachability(fleet, 'one')
    for number in range(40):
        endpoint = Endpoint(f'e{number}', f's{number}', 'h:1', 'one')
        reachability.record_answered(endpoint, 10 + number / 100)
    reports = reachability.reports(10.4)
    assert [report.service for report in reports] == [
        f's{number}' for number in range(39, 7, -1)
    ]


class _NaiveModel:
    """Isolation from one group, found by a search of the whole history."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.failures: list[tuple[float, str]] = []
        self.successes: list[tuple[float, str]] = []
        self.told: list[float] = []
        self.began_at: float | None = None

    @property
    def is_isolated(self) -> bool:
        return self.began_at is not None

    def update(self, now: float) -> None:
        last_success = max([0, *(at for at, _ in self.successes[-1:])])
        failed = {
            name
            for at, name in self.failures[-100:]
            if last_success < at and now - 2 <= at
        }
        is_reached = any(now - at <= REACHED_SECONDS for at in self.told[-1:])
        has_failed = len(failed) >= min(2, self.count)
        if self.began_at is None and has_failed and is_reached:
            self.began_at = now

    def succeed(self, now: float, name: str) -> None:
        self.successes.append((now, name))
        if self.began_at is None:
            return
        since = max(self.began_at, now - 3)
        recent = [one for at, one in self.successes[-100:] if at >= since]
        needed = 2 if self.count == 1 else 3
        if len(set(recent)) > 1 or len(recent) >= needed:
            self.began_at = None


@pytest.mark.parametrize('count', [1, 2])
def test_agrees_with_a_naive_model(count):
    """Steps are 3 s apart after an isolation, so that none is a relapse."""
    rng = random.Random(count)
    names = [f'a{number}' for number in range(count)]
    reachability, endpoints = _reachability(*names, 'b1')
    model = _NaiveModel(count)
    now = 10.0
    isolations = 0
    for _ in range(STEPS):
        was_isolated = model.is_isolated
        now += rng.choice((0.05, 0.3, 0.7))
        name = rng.choice(names)
        _apply_step(rng, reachability, endpoints[name], model, now)
        model.update(now)
        found = reachability.is_isolated(SERVICE, 'one', now)
        assert found == model.is_isolated
        assert not (found and reachability.may_try(endpoints[name], now, 0))
        assert len(reachability.groups) <= 2
        isolations += found and not was_isolated
        if was_isolated and not found:
            now += 3
    assert isolations > 100


def _apply_step(rng, reachability, endpoint, model, now):
    """Apply the same random event to the code and to the model."""
    step = rng.choice(('fail', 'fail', 'connect', 'tell', 'trial'))
    if step == 'fail':
        model.failures.append((now, endpoint.endpoint_id))
        reachability.record_failed(endpoint, now)
    elif step == 'connect':
        model.succeed(now, endpoint.endpoint_id)
        reachability.record_connected(endpoint, now)
    elif step == 'tell':
        age = rng.choice((0, 1, 4))
        model.told.append(now - age)
        _tell(reachability, now, age)
    else:
        assert len(reachability.due_trials(now)) <= 1


# Each row: events as (time, kind, endpoint), and whether the node is isolated
# at 11.0.  Endpoint a1 did not answer a request at 10.0.
UNANSWERED = {
    'peer after the trial began': (
        ('a1', 'a2'),
        [(10.1, 'trial', 'a2'), (10.8, 'tell', '')],
        True,
    ),
    'peer before the trial': (
        ('a1', 'a2'),
        [(10.05, 'tell', ''), (10.1, 'trial', 'a2')],
        False,
    ),
    'no trial': (
        ('a1', 'a2'),
        [(10.5, 'silent', 'a2'), (10.8, 'tell', '')],
        False,
    ),
    'trial at the only one': (
        ('a1', 'b1'),
        [(10.1, 'trial', 'a1'), (10.8, 'tell', '')],
        True,
    ),
    'one of two': (
        ('a1', 'a2'),
        [(10.1, 'trial', 'a1'), (10.8, 'tell', '')],
        False,
    ),
    'established since': (
        ('a1', 'a2'),
        [(10.1, 'trial', 'a2'), (10.5, 'open', 'a2'), (10.8, 'tell', '')],
        True,
    ),
    'answered since': (
        ('a1', 'a2'),
        [(10.1, 'trial', 'a2'), (10.5, 'connect', 'a2'), (10.8, 'tell', '')],
        False,
    ),
    'answered late': (
        ('a1', 'a2'),
        [(10.1, 'trial', 'a2'), (10.5, 'answer', 'a1'), (10.8, 'tell', '')],
        False,
    ),
}


@pytest.mark.parametrize('case', UNANSWERED)
def test_silence_isolates_only_beside_answers_to_peers(case):
    """Guards against endpoints that pause being taken for out of reach."""
    names, events, is_isolated = UNANSWERED[case]
    reachability, endpoints = _reachability(*names)
    assert reachability.record_unanswered(endpoints['a1'], 9.5, 10.0)
    assert reachability.needs_answer(endpoints['a1'], 10.0)
    for at, kind, name in events:
        SILENCE_EVENTS[kind](reachability, endpoints.get(name), at)
    assert reachability.is_isolated(SERVICE, 'one', 11.0) is is_isolated


def _fail_trial(reachability, endpoint, at):
    reachability.record_unanswered(endpoint, at, at)
    reachability.record_failed_trial(endpoint, at)


SILENCE_EVENTS = {
    'tell': lambda reachability, _, at: _tell(reachability, at),
    'connect': Reachability.record_connected,
    'open': partial(Reachability.record_connected, is_answered=False),
    'answer': Reachability.record_answered,
    'silent': lambda reachability, endpoint, at: reachability.record_unanswered(
        endpoint, at, at
    ),
    'trial': _fail_trial,
}


def test_only_answers_end_an_isolation_from_silent_endpoints():
    reachability, endpoints = _reachability('a1', 'a2')
    reachability.record_unanswered(endpoints['a1'], 9.5, 10.0)
    _fail_trial(reachability, endpoints['a2'], 10.1)
    _tell(reachability, 10.5)
    assert reachability.is_isolated(SERVICE, 'one', 10.6)
    for is_answered in (False, True):
        assert reachability.needs_answer(endpoints['a1'], 10.7)
        for name in ('a1', 'a2'):
            reachability.record_connected(
                endpoints[name], 10.8, is_answered=is_answered
            )
        found = reachability.is_isolated(SERVICE, 'one', 10.9)
        assert found is not is_answered


def test_a_silent_request_is_no_evidence_beside_later_answers():
    reachability, endpoints = _reachability('a1', 'a2')
    reachability.record_connected(endpoints['a2'], 9.6)
    assert not reachability.record_unanswered(endpoints['a1'], 9.5, 10.0)
    assert not reachability.due_trials(10.0)


def test_peers_ask_where_another_node_doubts_that_it_is_reached():
    """Guards against a group that its own domain alone uses."""
    reachability, _ = _reachability('a1', 'b1')
    report = ReachedReport(SERVICE, 'two', None, False, is_doubted=True)
    reachability.merge('p1', 'p1:9', 'two', [report], 10.0)
    trials = reachability.due_trials(10.0)
    assert [trial.endpoint_id for trial in trials] == ['b1']
    assert reachability.needs_answer(trials[0], 10.0)


@pytest.mark.parametrize(
    ('peers', 'expected'),
    [
        ({'p1': {}, 'p2': {'domain': 'two'}}, 'p2'),
        ({'p1': {}}, 'p1'),
        ({'p1': {'domain': 'two', 'age': 4}, 'p2': {'domain': 'two'}}, 'p2'),
        ({'p1': {'domain': 'two', 'age': 4}, 'p2': {}}, 'p1'),
        ({'p1': {'domain': 'two', 'is_stopping': True}}, None),
        ({}, None),
    ],
)
def test_a_witness_is_of_another_domain_and_has_reached_the_group(
    peers, expected
):
    """Guards against a witness that is cut off with the node that asks."""
    reachability, endpoints = _reachability('a1')
    for name, options in peers.items():
        _tell(reachability, 10.0, peer=name, **options)
    witness = reachability.choose_witness(endpoints['a1'], 10.0, 0.5)
    assert (witness and witness.name) == expected
