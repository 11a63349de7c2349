"""Whether a request may be sent to a run of an endpoint now."""

import math
import os
import random

import msgspec
import pytest

from wigeonspoke.core.availability import (
    Backoffs,
    EndpointAvailability,
    ObstacleReason,
)
from wigeonspoke.core.fleet import Endpoint, Fleet, LeavingReport
from wigeonspoke.core.limits import NamedLimits, SenderRegistry

REPLICA = Endpoint('r-1', 'ledger', '10.0.0.1:80', 'one', born=7)
OTHER = Endpoint('r-2', 'ledger', '10.0.0.2:80', 'one', born=3)
# From here on a node knows which other nodes there are.
STARTED = 100.0
FUZZ_STEPS = 10000
FUZZ_SEED = int(os.environ.get('WIGEONSPOKE_FUZZ_SEED', '7'))


def make_availability() -> EndpointAvailability:
    """Create the availability that knows two replicas of a service."""
    fleet = Fleet()
    for endpoint in (REPLICA, OTHER):
        fleet.put(endpoint)
    return EndpointAvailability(
        fleet, NamedLimits(SenderRegistry('node', 'one', 0))
    )


def _leave(availability: EndpointAvailability) -> None:
    availability.fleet.record_leaving(REPLICA.start_id, STARTED)


def _name_backoff(availability: EndpointAvailability) -> None:
    availability.backoffs.record_refusal(
        REPLICA.start_id, 4.0, STARTED - 0.1, STARTED
    )


def _name_limit(availability: EndpointAvailability) -> None:
    availability.limits.record_answer(REPLICA.start_id, 0.5, STARTED)


@pytest.mark.parametrize(
    ('say', 'reason', 'until'),
    [
        pytest.param(_leave, ObstacleReason.LEAVING, math.inf, id='leaving'),
        pytest.param(
            _name_backoff, ObstacleReason.BACKOFF, STARTED + 4, id='backoff'
        ),
        pytest.param(
            _name_limit, ObstacleReason.LIMIT, STARTED + 2, id='limit'
        ),
    ],
)
def test_an_obstacle_tells_why_and_until_when(say, reason, until):
    availability = make_availability()
    assert availability.may_send(REPLICA, STARTED)
    say(availability)
    obstacle = availability.find_obstacle(REPLICA, STARTED)
    assert obstacle.reason is reason
    assert obstacle.until == pytest.approx(until)
    assert availability.may_send(OTHER, STARTED)
    assert availability.next_send_at((REPLICA, OTHER), STARTED) is None
    assert availability.next_send_at((REPLICA,), STARTED) == pytest.approx(
        until
    )


@pytest.mark.parametrize(
    'next_run',
    [
        msgspec.structs.replace(REPLICA, born=8),
        msgspec.structs.replace(REPLICA, endpoint_id='r-9'),
    ],
    ids=['same id', 'new id'],
)
@pytest.mark.parametrize('say', [_leave, _name_backoff, _name_limit])
def test_what_a_run_said_ends_with_it(say, next_run):
    availability = make_availability()
    say(availability)
    availability.fleet.put(next_run)
    assert availability.may_send(next_run, STARTED)
    assert not availability.may_send(REPLICA, STARTED)


def test_a_row_that_still_says_ready_does_not_end_a_leaving():
    availability = make_availability()
    _leave(availability)
    availability.fleet.put(msgspec.structs.replace(REPLICA, slots=9))
    assert availability.fleet.of_service('ledger') == (OTHER,)
    availability.fleet.drop(REPLICA.endpoint_id)
    availability.fleet.put(REPLICA)
    assert availability.fleet.of_service('ledger') == (OTHER,)


def test_a_peers_word_ends_in_time_and_own_knowledge_does_not():
    told, heard = Fleet(), Fleet()
    for fleet in (told, heard):
        fleet.put(REPLICA)
    assert told.record_leaving(REPLICA.start_id, STARTED)
    assert not told.record_leaving(REPLICA.start_id, STARTED + 1)
    reports = told.leaving.reports(STARTED + 5)
    assert reports == (LeavingReport(REPLICA.start_id, 4.0),)
    report = reports[0]
    assert heard.merge_leaving(report, STARTED + 5)
    assert not heard.merge_leaving(report, STARTED + 5)
    assert heard.is_leaving(REPLICA)
    for fleet in (told, heard):
        fleet.expire_leaving(STARTED + 32)
    assert told.is_leaving(REPLICA)
    assert not heard.is_leaving(REPLICA)
    assert heard.of_service('ledger') == (REPLICA,)


def test_reports_of_leaving_are_bounded():
    fleet = Fleet()
    for born in range(9000):
        run = msgspec.structs.replace(REPLICA, born=born)
        fleet.record_leaving(run.start_id, STARTED)
    assert len(fleet.leaving.reports(STARTED)) == 16
    assert len(fleet.leaving.told_at) <= 4096
    assert len(fleet.leaving.own) <= 4096


# Refusals: when the request was sent, when it was refused, and for how long.
@pytest.mark.parametrize(
    ('refusals', 'until'),
    [
        pytest.param([(0, 1, 4)], 5, id='one'),
        pytest.param([(0, 1, 4), (0, 2, 1)], 5, id='late and shorter'),
        pytest.param([(0, 1, 4), (0, 2, 9)], 11, id='late and longer'),
        pytest.param([(0, 1, 4), (6, 7, 1)], 8, id='later and shorter'),
        pytest.param([(0, 1, 0)], 1, id='none'),
        pytest.param([(0, 1, 1e9)], 601, id='absurd'),
    ],
)
def test_the_latest_word_counts(refusals, until):
    backoffs = Backoffs()
    for sent_at, heard_at, seconds in refusals:
        backoffs.record_refusal('r', seconds, sent_at, heard_at)
    last = refusals[-1][1]
    if until > last:
        assert backoffs.find_until('r', last) == until
    assert backoffs.find_until('r', until) is None


def test_one_request_tries_first_when_the_time_has_passed():
    backoffs = Backoffs()
    backoffs.record_refusal('r', 4.0, 0, 1)
    assert backoffs.find_until('r', 5.0) is None
    backoffs.record_sent('r', 5.0)
    assert backoffs.find_until('r', 5.1) == pytest.approx(5.25)
    # An answer to a request of before does not end it.
    assert not backoffs.record_answer('r', 0.5)
    assert backoffs.find_until('r', 5.1) == pytest.approx(5.25)
    assert backoffs.record_answer('r', 5.0)
    assert backoffs.find_until('r', 5.1) is None


class NaiveModel:
    """The same rules for one run, replayed from all that happened to it."""

    def __init__(self) -> None:
        # What happened and when; with an answer or a refusal, when its request
        # was sent; with a refusal, also the seconds that it named.
        self.events: list[tuple[str, float, float, float]] = []
        self.forget()

    def record(
        self, kind: str, at: float, sent_at: float = 0, seconds: float = 0
    ) -> None:
        """Add what happened."""
        self.events.append((kind, at, sent_at, seconds))

    def find_until(self, now: float) -> float:
        """Return until when nothing may be sent, ``-inf`` if it may be now."""
        self.forget()
        replays = {
            'sent': self.replay_send,
            'answered': self.replay_answer,
            'refused': self.replay_refusal,
        }
        for kind, at, sent_at, seconds in self.events:
            replays[kind](at, sent_at, seconds)
        if self.until == -math.inf:
            return -math.inf
        end = max(self.until, self.tried_at + 0.25)
        return end if now < end else -math.inf

    def replay_send(self, at: float, _sent_at: float, _seconds: float) -> None:
        """Count the last request after the time as a try."""
        if self.until <= at:
            self.tried_at = at

    def replay_answer(
        self, _at: float, sent_at: float, _seconds: float
    ) -> None:
        """End the time by an answer to a request of after it."""
        if sent_at >= self.until:
            self.forget()

    def replay_refusal(self, at: float, sent_at: float, seconds: float) -> None:
        """Take the latest refusal, or the longer of two at the same time."""
        if sent_at < self.heard_at:
            self.until = max(self.until, at + seconds)
            return
        self.until = at + seconds
        self.heard_at = at
        self.tried_at = -math.inf

    def forget(self) -> None:
        """Begin anew, without a time."""
        self.until = -math.inf
        self.heard_at = -math.inf
        self.tried_at = -math.inf


class Walk:
    """Random events of one run, at a availability and at the naive model."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = STARTED
        self.open_sends: list[float] = []
        self.start_run()

    def start_run(self) -> None:
        """Begin with a run of which nothing is known."""
        self.availability = make_availability()
        self.model = NaiveModel()
        self.open_sends.clear()

    def step(self) -> None:
        """Compare both, and let one thing happen."""
        self.now += self.rng.choice((0.01, 0.1, 0.4, 2.0))
        until = self.model.find_until(self.now)
        obstacle = self.availability.find_obstacle(REPLICA, self.now)
        if self.availability.fleet.is_leaving(REPLICA):
            until = math.inf
        found = -math.inf if obstacle is None else obstacle.until
        assert found == pytest.approx(until)
        if not self.availability.backoffs.backoffs:
            self.model.events.clear()
        self.rng.choices(
            (self.send, self.answer, self.refuse, self.leave, self.start_run),
            (50, 25, 20, 0.5, 0.5),
        )[0]()

    def send(self) -> None:
        """Send a request, at times also against the availability."""
        if self.availability.may_send(
            REPLICA, self.now
        ) or not self.rng.randrange(10):
            self.availability.record_sent(REPLICA, self.now)
            self.model.record('sent', self.now)
            self.open_sends.append(self.now)

    def answer(self) -> None:
        """Answer a request that is open."""
        if self.open_sends:
            sent_at = self._take_open()
            self.availability.backoffs.record_answer(REPLICA.start_id, sent_at)
            self.model.record('answered', self.now, sent_at)

    def refuse(self) -> None:
        """Refuse a request that is open, for a time."""
        if self.open_sends:
            sent_at = self._take_open()
            seconds = self.rng.choice((0, 0.3, 1.5, 5.0))
            self.availability.backoffs.record_refusal(
                REPLICA.start_id, seconds, sent_at, self.now
            )
            self.model.record('refused', self.now, sent_at, seconds)

    def leave(self) -> None:
        """Let the run say that it leaves."""
        self.availability.fleet.record_leaving(REPLICA.start_id, self.now)

    def _take_open(self) -> float:
        return self.open_sends.pop(self.rng.randrange(len(self.open_sends)))


def test_the_gate_agrees_with_a_naive_model():
    walk = Walk(FUZZ_SEED)
    for _ in range(FUZZ_STEPS):
        walk.step()


@pytest.mark.parametrize('count', [1, 40, 200])
def test_a_replica_that_names_a_backoff_gets_what_was_on_its_way(count):
    availability = make_availability()
    for number in range(count):
        availability.record_sent(REPLICA, STARTED + number / 1000)
    refused_at = STARTED + 0.3
    for number in range(count):
        availability.backoffs.record_refusal(
            REPLICA.start_id, 4.0, STARTED + number / 1000, refused_at
        )
    sent = []
    for step in range(250):
        at = refused_at + step / 50
        if availability.may_send(REPLICA, at):
            availability.record_sent(REPLICA, at)
            sent.append(at)
    assert sent[0] >= refused_at + 4.0
    # Without an answer, one request tries at a time.
    assert len(sent) <= 1 + (5.0 - 4.0) / 0.25
