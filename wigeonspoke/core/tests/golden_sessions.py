"""Recorded sessions of the router: its events and the resulting actions.

Run as a program, this module regenerates the files and prints the diff.
"""

import difflib
import random
from collections.abc import Callable
from pathlib import Path

import click
import msgspec

from wigeonspoke.core import events
from wigeonspoke.core.actions import AnyAction, SendStep
from wigeonspoke.core.claims import ClaimAnswer, ClaimRow, ClaimState
from wigeonspoke.core.membership import EndpointMark, MarkState
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.core.router import Router
from wigeonspoke.core.tests.examples import (
    make_call,
    make_configuration,
    make_engine,
    make_request,
)

FOLDER = Path(__file__).parent / 'golden'
SEED = 7


class SessionEntry(msgspec.Struct, frozen=True):
    """One event, its time and the resulting actions."""

    now: float
    event: events.AnyEvent
    actions: tuple[AnyAction, ...]


class Recorder:
    """Feeds events to a router and records its actions."""

    def __init__(self) -> None:
        self.router = make_router()
        self.now: float = 0
        self.entries: list[SessionEntry] = []

    def feed(self, event: events.AnyEvent, after: float = 0.01) -> list:
        """Feed an event ``after`` seconds after the previous one."""
        self.now = round(self.now + after, 6)
        actions = self.router.handle(event, self.now)
        self.entries.append(SessionEntry(self.now, event, tuple(actions)))
        return actions

    def answer_steps(self, actions: list, tokens: list[int]) -> list:
        """Reply to steps as engines do, until ``tokens`` is empty."""
        step = _last_step(actions)
        while step and tokens:
            token = None
            outputs = step.inputs
            if step.layers.end == 4:
                token = tokens.pop(0)
                outputs = ()
            actions = self.feed(
                events.StepReplied(step.key, step.endpoint, outputs, token),
            )
            step = _last_step(actions)
        return actions

    def fail(self, actions: list, outcome: Outcome, reason: Reason) -> list:
        """Fail the last step that was sent."""
        step = _last_step(actions)
        return self.feed(
            events.StepFailed(step.key, step.endpoint, outcome, reason),
        )


def make_router() -> Router:
    """Create the router that all sessions start with."""
    return Router('n1', 'a', random.Random(SEED))


def _last_step(actions: list) -> SendStep | None:
    steps = [action for action in actions if isinstance(action, SendStep)]
    return steps[-1] if steps else None


def _configured_recorder() -> Recorder:
    recorder = Recorder()
    recorder.feed(events.ConfigurationAdopted(make_configuration()))
    return recorder


def complete_answer() -> Recorder:
    """Record an answer without failures."""
    recorder = _configured_recorder()
    recorder.answer_steps(recorder.feed(make_request()), [65, 66, 67])
    return recorder


def stage_fails() -> Recorder:
    """Record a stage that fails between two tokens and recovers."""
    recorder = _configured_recorder()
    actions = recorder.answer_steps(recorder.feed(make_request()), [65])
    retried = recorder.fail(actions, Outcome.UNKNOWN, Reason.RESET)
    recorder.answer_steps(retried, [66, 67])
    recorder.feed(events.TimerFired(), after=1)
    recorder.feed(events.ProbeCompleted('a1', healthy=True))
    recorder.feed(make_request('r2'))
    return recorder


def stage_times_out() -> Recorder:
    """Record a stage that times out and then replies late."""
    recorder = _configured_recorder()
    actions = recorder.feed(make_request())
    step = _last_step(actions)
    retried = recorder.feed(events.TimerFired(), after=2)
    recorder.feed(
        events.StepReplied(step.key, step.endpoint, step.inputs, None),
    )
    recorder.answer_steps(retried, [65, 66, 67])
    return recorder


def requests_exceed_capacity() -> Recorder:
    """Record requests above capacity: one is queued, one expires."""
    recorder = Recorder()
    engines = (make_engine('a1', 'a', 0, 4, max_streams=1),)
    recorder.feed(
        events.ConfigurationAdopted(make_configuration(1, engines)),
    )
    running = recorder.feed(make_request('r1'))
    recorder.feed(make_request('r2'))
    recorder.answer_steps(running, [65, 66, 67])
    recorder.feed(make_request('r3'))
    recorder.feed(events.TimerFired(), after=6)
    return recorder


def drained_endpoint() -> Recorder:
    """Record a drain: open streams finish, new ones avoid the endpoint."""
    recorder = _configured_recorder()
    running = recorder.feed(make_request('r1'))
    mark = EndpointMark('a1', MarkState.DRAIN, 1)
    recorder.feed(events.MarksReceived((mark,)))
    recorder.feed(make_request('r2'))
    recorder.answer_steps(running, [65, 66, 67])
    recorder.feed(events.MarksReceived((mark,)))
    return recorder


def older_configuration() -> Recorder:
    """Record a configuration that arrives after a newer one."""
    recorder = Recorder()
    newer = make_configuration(2)
    recorder.feed(events.ConfigurationAdopted(newer))
    recorder.feed(events.ConfigurationAdopted(make_configuration(1)))
    return recorder


def claimed_call() -> Recorder:
    """Record a claim whose insertion took effect but lost its result."""
    recorder = _configured_recorder()
    recorder.feed(make_call())
    recorder.feed(events.ClaimAnswered('c1', ClaimAnswer.UNCERTAIN))
    row = ClaimRow(_claim_key(recorder), 't1', 'd1', ClaimState.CLAIMED)
    sent = recorder.feed(
        events.ClaimAnswered('c1', ClaimAnswer.EXISTS, row),
    )
    recorder.feed(events.CallReplied('c1', 1, sent[0].endpoint, 200))
    return recorder


def call_outcome_unknown() -> Recorder:
    """Record a claimed call whose connection was lost after sending."""
    recorder = _configured_recorder()
    recorder.feed(make_call())
    sent = recorder.feed(events.ClaimAnswered('c1', ClaimAnswer.INSERTED))
    recorder.feed(
        events.CallFailed(
            'c1',
            1,
            sent[0].endpoint,
            Outcome.UNKNOWN,
            Reason.RESET,
        ),
    )
    return recorder


def store_unavailable() -> Recorder:
    """Record a store outage: claims fail, repeatable calls still run."""
    recorder = _configured_recorder()
    recorder.feed(make_call())
    recorder.feed(events.ClaimAnswered('c1', ClaimAnswer.UNAVAILABLE))
    recorder.feed(make_call('c2', method='GET', path='/status'))
    return recorder


def planned_stop() -> Recorder:
    """Record a planned stop while an answer is in progress."""
    recorder = _configured_recorder()
    running = recorder.feed(make_request('r1'))
    recorder.feed(events.StopRequested())
    recorder.feed(make_request('r2'))
    recorder.answer_steps(running, [65, 66, 67])
    return recorder


def caller_disconnects() -> Recorder:
    """Record a caller that disconnects during an answer."""
    recorder = _configured_recorder()
    recorder.answer_steps(recorder.feed(make_request()), [65])
    recorder.feed(events.CallerGone('r1'))
    return recorder


SESSIONS: tuple[Callable[[], Recorder], ...] = (
    complete_answer,
    stage_fails,
    stage_times_out,
    requests_exceed_capacity,
    drained_endpoint,
    older_configuration,
    claimed_call,
    call_outcome_unknown,
    store_unavailable,
    planned_stop,
    caller_disconnects,
)


def session_path(name: str) -> Path:
    """Return the path of a session's file."""
    return FOLDER / f'{name}.jsonl'


def encode(entries: list[SessionEntry]) -> str:
    """Encode a session as JSON lines."""
    lines = [msgspec.json.encode(entry).decode() for entry in entries]
    return '\n'.join([*lines, ''])


def regenerate() -> None:
    """Regenerate all files and print their diffs."""
    for session in SESSIONS:
        path = session_path(session.__name__)
        before = path.read_text() if path.exists() else ''
        after = encode(session().entries)
        path.write_text(after)
        click.echo(
            ''.join(
                difflib.unified_diff(
                    before.splitlines(keepends=True),
                    after.splitlines(keepends=True),
                    f'{path.name} before',
                    f'{path.name} after',
                ),
            ),
            nl=False,
        )


def _claim_key(recorder: Recorder) -> str:
    return recorder.router.calls.sessions['c1'].claim_row.key


if __name__ == '__main__':
    regenerate()
