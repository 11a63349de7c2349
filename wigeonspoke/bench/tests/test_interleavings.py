"""Late, crossed, repeated and lost replies break no promise.

A state machine of hypothesis plays the part of engines and network: it
decides which reply comes when, how often, or never.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from wigeonspoke.bench.engine import VirtualEngine
from wigeonspoke.bench.scheduler import Scheduler
from wigeonspoke.core import actions, events
from wigeonspoke.core.outcomes import Outcome, Reason
from wigeonspoke.core.router import Router
from wigeonspoke.core.tests.examples import (
    ENGINES,
    LAYERS,
    make_configuration,
    make_request,
)
from wigeonspoke.standins.model import expected_tokens

MAX_TOKENS = 4
PICK = st.integers(0, 1000)
LOSSES = st.sampled_from(
    (
        (Outcome.UNKNOWN, Reason.RESET),
        (Outcome.UNKNOWN, Reason.TIMEOUT),
        (Outcome.NOT_RUN, Reason.BUSY),
        (Outcome.NOT_RUN, Reason.CONNECT),
    )
)


class Interleavings(RuleBasedStateMachine):
    """A router whose engines' replies come as chance has it."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.scheduler = Scheduler()
        self.router = Router('n1', 'a', random.Random(1))
        self.engines = {
            record.name: VirtualEngine(record, LAYERS, self.scheduler)
            for record in ENGINES
        }
        self.on_the_way = []
        self.delivered = []
        self.requests = {}
        self.tokens = {}
        self.finished = {}
        self.performers = {
            actions.SendStep: self._send,
            actions.EmitToken: self._emit,
            actions.FinishGeneration: self._finish,
            actions.CancelStream: self._cancel,
        }

    @initialize()
    def configure(self):
        """Put the configuration in force."""
        self._feed(events.ConfigurationAdopted(make_configuration()))

    @rule(length=st.integers(1, 5))
    def ask(self, length):
        """Let a caller ask."""
        request_id = f'r{len(self.requests)}'
        prompt = tuple(range(97, 97 + length))
        request = make_request(request_id, 'big', MAX_TOKENS, prompt)
        self.requests[request_id] = request
        self.tokens[request_id] = []
        self._feed(request)

    @rule(pick=PICK)
    def deliver(self, pick):
        """Let one of the replies on the way arrive, whichever it is."""
        if self.on_the_way:
            event = self.on_the_way.pop(pick % len(self.on_the_way))
            self.delivered.append(event)
            self._feed(event)

    @rule(pick=PICK)
    def repeat(self, pick):
        """Let a reply that arrived before arrive again."""
        if self.delivered:
            self._feed(self.delivered[pick % len(self.delivered)])

    @rule(pick=PICK, loss=LOSSES)
    def lose(self, pick, loss):
        """Lose a reply; the node learns of an error, the engine ran it."""
        if self.on_the_way:
            event = self.on_the_way.pop(pick % len(self.on_the_way))
            self._feed(events.StepFailed(event.key, event.endpoint, *loss))

    @rule(seconds=st.sampled_from((0.05, 1.5, 11)))
    def wait(self, seconds):
        """Let time pass, enough of it to time out."""
        self.now += seconds
        self._feed(events.TimerFired())

    @rule(name=st.sampled_from([record.name for record in ENGINES]))
    def come_back(self, name):
        """Let an ejected endpoint come back."""
        self._feed(events.ProbeAnswered(name, healthy=True))

    @invariant()
    def each_layer_runs_once_for_each_token(self):
        """Check the engines' own records."""
        for engine in self.engines.values():
            assert all(count == 1 for count in engine.runs.values())

    @invariant()
    def answers_are_the_models_own(self):
        """Check every token and every end that a caller has seen."""
        for request_id, request in self.requests.items():
            expected = expected_tokens(LAYERS, request.prompt, MAX_TOKENS)
            seen = self.tokens[request_id]
            assert seen == expected[: len(seen)]
            end = self.finished.get(request_id)
            if end and end.error is None:
                assert seen == expected
            if end and end.error and end.error.outcome is Outcome.NOT_RUN:
                assert not self._ran(request_id)

    def _ran(self, request_id):
        return any(
            key.request_id == request_id
            for engine in self.engines.values()
            for key in engine.runs
        )

    def _feed(self, event):
        self.now += 0.001
        for action in self.router.handle(event, self.now):
            perform = self.performers.get(type(action))
            if perform:
                perform(action)

    def _send(self, action):
        engine = self.engines[action.endpoint]
        engine.submit(action, self.on_the_way.append)
        self.scheduler.run_until(self.scheduler.now + 1)

    def _emit(self, action):
        seen = self.tokens[action.request_id]
        assert action.index == len(seen)
        seen.append(action.token)

    def _finish(self, action):
        assert action.request_id not in self.finished
        self.finished[action.request_id] = action

    def _cancel(self, action):
        stream = (action.request_id, action.attempt)
        self.engines[action.endpoint].cancel(stream)


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)
