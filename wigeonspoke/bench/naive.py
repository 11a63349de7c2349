"""Naive router that serves as the baseline of the benchmarks.

It selects a random route for each request and retries immediately on another
random route after any error.  It has no queue and no limits, and ignores the
health and the load of endpoints.
"""

import random
from collections.abc import Callable

from wigeonspoke.core import actions, events
from wigeonspoke.core.deployment import Engine, Model
from wigeonspoke.core.membership import PeerReport
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.routes import Route
from wigeonspoke.core.streams.session import GenerationSession, OutstandingStep
from wigeonspoke.core.streams.tokens import END_OF_SEQUENCE

MAX_ATTEMPTS = 50
STEP_TIMEOUT_SECONDS = 10.0
NO_ACTIONS: list[actions.AnyAction] = []


class NaiveRouter:
    """Baseline implementation of :class:`~wigeonspoke.bench.cluster.Policy`."""

    def __init__(
        self, node: str, failure_domain: str, rng: random.Random
    ) -> None:
        self.node = node
        self.failure_domain = failure_domain
        self.rng = rng
        self.models: dict[str, Model] = {}
        self.engines: dict[str, list[Engine]] = {}
        self.sessions: dict[str, GenerationSession] = {}
        self.handlers: dict[type, Callable[..., list[actions.AnyAction]]] = {
            events.ConfigurationAdopted: self._adopt_configuration,
            events.GenerationRequested: self._submit,
            events.StepReplied: self._handle_reply,
            events.StepFailed: self._handle_failure,
            events.TimerFired: self._expire_steps,
        }

    def handle(
        self,
        event: events.AnyEvent,
        now: float,
    ) -> list[actions.AnyAction]:
        """Handle an event and return the resulting actions."""
        handle_event = self.handlers.get(type(event))
        return handle_event(event, now) if handle_event else NO_ACTIONS

    def report(self, incarnation: str) -> PeerReport:
        """Return a report without loads, since this router ignores load."""
        return PeerReport(self.node, self.failure_domain, incarnation, 0, 0, ())

    def _adopt_configuration(
        self,
        event: events.ConfigurationAdopted,
        now: float,
    ) -> list[actions.AnyAction]:
        configuration = event.configuration
        self.models = {model.name: model for model in configuration.models}
        for model in configuration.models:
            self.engines[model.name] = [
                engine
                for engine in configuration.engines
                if engine.model == model.name
            ]
        return NO_ACTIONS

    def _submit(
        self,
        event: events.GenerationRequested,
        now: float,
    ) -> list[actions.AnyAction]:
        session = GenerationSession(event, self.models[event.model], now)
        self.sessions[event.request_id] = session
        return [self._start_attempt(session, now)]

    def _start_attempt(
        self,
        session: GenerationSession,
        now: float,
    ) -> actions.SendStep:
        return self._record_sent(
            session, session.start_attempt(self._choose_route(session)), now
        )

    def _choose_route(self, session: GenerationSession) -> Route:
        stages: list[Engine] = []
        covered = 0
        while covered < session.model.layers:
            candidates = [
                engine
                for engine in self.engines[session.model.name]
                if engine.layers.first == covered
            ]
            stages.append(self.rng.choice(candidates))
            covered = stages[-1].layers.end
        return Route(tuple(stages))

    def _record_sent(
        self,
        session: GenerationSession,
        step: actions.SendStep,
        now: float,
    ) -> actions.SendStep:
        session.outstanding = OutstandingStep(step, now)
        return step

    def _handle_reply(
        self,
        event: events.StepReplied,
        now: float,
    ) -> list[actions.AnyAction]:
        session = self.sessions.get(event.key.request_id)
        if session is None or not session.expects(event.key, event.endpoint):
            return NO_ACTIONS
        step = session.advance(event)
        if step:
            return [self._record_sent(session, step, now)]
        token = event.token or 0
        if token == END_OF_SEQUENCE:
            return self._finish(session)
        index = session.accept_token(token)
        emitted = actions.EmitToken(session.request_id, index, token)
        step = session.next_token_step(token)
        if session.is_complete or step is None:
            return [emitted, *self._finish(session)]
        return [emitted, self._record_sent(session, step, now)]

    def _handle_failure(
        self,
        event: events.StepFailed,
        now: float,
    ) -> list[actions.AnyAction]:
        session = self.sessions.get(event.key.request_id)
        if session is None or not session.expects(event.key, event.endpoint):
            return NO_ACTIONS
        cancels = session.cancel_attempt()
        if session.attempt < MAX_ATTEMPTS:
            return [*cancels, self._start_attempt(session, now)]
        error = StepError(Outcome.FAILED, event.reason, 'naive')
        return [*cancels, *self._finish(session, error)]

    def _expire_steps(
        self,
        event: events.TimerFired,
        now: float,
    ) -> list[actions.AnyAction]:
        expired = [
            session.outstanding.step
            for session in self.sessions.values()
            if session.outstanding
            and now - session.outstanding.sent_at > STEP_TIMEOUT_SECONDS
        ]
        return [
            action
            for step in expired
            for action in self._handle_failure(
                events.StepFailed(
                    step.key,
                    step.endpoint,
                    Outcome.UNKNOWN,
                    Reason.TIMEOUT,
                ),
                now,
            )
        ]

    def _finish(
        self,
        session: GenerationSession,
        error: StepError | None = None,
    ) -> list[actions.AnyAction]:
        self.sessions.pop(session.request_id)
        finish = 'length' if session.is_complete else 'stop'
        finished = actions.FinishGeneration(
            session.request_id,
            finish,
            error,
        )
        return [*session.cancel_attempt(), finished]
