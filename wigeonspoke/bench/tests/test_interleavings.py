"""Late, reordered, duplicate and lost replies corrupt no answer.

A Hypothesis state machine stands for the engines and the network and decides
when each reply arrives, how often, or whether it is lost.
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
REPLY_INDEX = st.integers(0, 1000)
FAILURES = st.sampled_from(
    (
        (Outcome.UNKNOWN, Reason.RESET),
        (Outcome.UNKNOWN, Reason.TIMEOUT),
        (Outcome.NOT_RUN, Reason.BUSY),
        (Outcome.NOT_RUN, Reason.CONNECT),
    )
)


class Interleavings(RuleBasedStateMachine):
    """A router that receives the replies of its engines in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0
        self.scheduler = Scheduler()
        self.router = Router('n1', 'a', random.Random(1))
        self.engines = {
            record.name: VirtualEngine(record, LAYERS, self.scheduler)
            for record in ENGINES
        }
        self.in_flight = []
        self.delivered = []
        self.requests = {}
        self.tokens = {}
        self.finished = {}
        self.action_handlers = {
            actions.SendStep: self._send_step,
            actions.EmitToken: self._record_token,
            actions.FinishGeneration: self._record_finish,
            actions.CancelStream: self._cancel_stream,
        }

    @initialize()
    def configure(self):
        """Apply the configuration."""
        self._handle(events.ConfigurationAdopted(make_configuration()))

    @rule(length=st.integers(1, 5))
    def submit_request(self, length):
        """Submit a request."""
        request_id = f'r{len(self.requests)}'
        prompt = tuple(range(97, 97 + length))
        request = make_request(request_id, 'big', MAX_TOKENS, prompt)
        self.requests[request_id] = request
        self.tokens[request_id] = []
        self._handle(request)

    @rule(index=REPLY_INDEX)
    def deliver(self, index):
        """Deliver any of the replies in flight."""
        if self.in_flight:
            event = self.in_flight.pop(index % len(self.in_flight))
            self.delivered.append(event)
            self._handle(event)

    @rule(index=REPLY_INDEX)
    def repeat(self, index):
        """Deliver a reply a second time."""
        if self.delivered:
            self._handle(self.delivered[index % len(self.delivered)])

    @rule(index=REPLY_INDEX, failure=FAILURES)
    def fail(self, index, failure):
        """Replace a reply by an error, although the engine ran the step."""
        if self.in_flight:
            event = self.in_flight.pop(index % len(self.in_flight))
            self._handle(events.StepFailed(event.key, event.endpoint, *failure))

    @rule(seconds=st.sampled_from((0.05, 1.5, 11)))
    def wait(self, seconds):
        """Advance the clock; the longest wait exceeds the step timeout."""
        self.now += seconds
        self._handle(events.TimerFired())

    @rule(name=st.sampled_from([record.name for record in ENGINES]))
    def readmit_endpoint(self, name):
        """Report a successful probe of an endpoint."""
        self._handle(events.ProbeCompleted(name, healthy=True))

    @invariant()
    def each_layer_runs_once_for_each_token(self):
        """Check that no engine has run a step twice."""
        for engine in self.engines.values():
            assert all(count == 1 for count in engine.step_runs.values())

    @invariant()
    def answers_match_the_model(self):
        """Check all tokens and final outcomes sent to callers."""
        for request_id, request in self.requests.items():
            expected = expected_tokens(LAYERS, request.prompt, MAX_TOKENS)
            seen = self.tokens[request_id]
            assert seen == expected[: len(seen)]
            end = self.finished.get(request_id)
            if end and end.error is None:
                assert seen == expected
            if end and end.error and end.error.outcome is Outcome.NOT_RUN:
                assert not self._has_run(request_id)

    def _has_run(self, request_id):
        return any(
            key.request_id == request_id
            for engine in self.engines.values()
            for key in engine.step_runs
        )

    def _handle(self, event):
        self.now += 0.001
        for action in self.router.handle(event, self.now):
            perform_action = self.action_handlers.get(type(action))
            if perform_action:
                perform_action(action)

    def _send_step(self, action):
        engine = self.engines[action.endpoint]
        engine.submit(action, self.in_flight.append)
        self.scheduler.run_until(self.scheduler.now + 1)

    def _record_token(self, action):
        seen = self.tokens[action.request_id]
        assert action.index == len(seen)
        seen.append(action.token)

    def _record_finish(self, action):
        assert action.request_id not in self.finished
        self.finished[action.request_id] = action

    def _cancel_stream(self, action):
        stream = (action.request_id, action.attempt)
        self.engines[action.endpoint].cancel(stream)


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)
