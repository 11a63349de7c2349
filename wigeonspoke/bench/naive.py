"""A naive router, to compare with.

It takes a random route for each request and, after any error, at once
another one.  It has no queue, no limits, no view of health or of load.
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
TIMEOUT_SECONDS = 10.0
NOTHING: list[actions.AnyAction] = []


class NaiveRouter:
    """Satisfies :class:`Policy` with as little thought as possible."""

    def __init__(self, node: str, home: str, chance: random.Random) -> None:
        self.node = node
        self.home = home
        self.random = chance
        self.models: dict[str, Model] = {}
        self.engines: dict[str, list[Engine]] = {}
        self.sessions: dict[str, GenerationSession] = {}
        self.handlers: dict[type, Callable[..., list[actions.AnyAction]]] = {
            events.ConfigurationAdopted: self._adopt,
            events.GenerationRequested: self._request,
            events.StepReplied: self._replied,
            events.StepFailed: self._failed,
            events.TimerFired: self._tick,
        }

    def handle(
        self,
        event: events.AnyEvent,
        now: float,
    ) -> list[actions.AnyAction]:
        """Take in an event and give the actions."""
        decide = self.handlers.get(type(event))
        return decide(event, now) if decide else NOTHING

    def report(self, incarnation: str) -> PeerReport:
        """Give an empty report: this router tells its peers nothing."""
        return PeerReport(self.node, self.home, incarnation, 0, 0, ())

    def _adopt(
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
        return NOTHING

    def _request(
        self,
        event: events.GenerationRequested,
        now: float,
    ) -> list[actions.AnyAction]:
        session = GenerationSession(event, self.models[event.model], now)
        self.sessions[event.request_id] = session
        return [self._begin(session, now)]

    def _begin(
        self,
        session: GenerationSession,
        now: float,
    ) -> actions.SendStep:
        return self._sent(
            session, session.start_attempt(self._route(session)), now
        )

    def _route(self, session: GenerationSession) -> Route:
        stages: list[Engine] = []
        covered = 0
        while covered < session.model.layers:
            following = [
                engine
                for engine in self.engines[session.model.name]
                if engine.layers.first == covered
            ]
            stages.append(self.random.choice(following))
            covered = stages[-1].layers.end
        return Route(tuple(stages))

    def _sent(
        self,
        session: GenerationSession,
        step: actions.SendStep,
        now: float,
    ) -> actions.SendStep:
        session.outstanding = OutstandingStep(step, now)
        return step

    def _replied(
        self,
        event: events.StepReplied,
        now: float,
    ) -> list[actions.AnyAction]:
        session = self.sessions.get(event.key.request_id)
        if session is None or not session.expects(event.key, event.endpoint):
            return NOTHING
        step = session.advance(event)
        if step:
            return [self._sent(session, step, now)]
        token = event.token or 0
        if token == END_OF_SEQUENCE:
            return self._finish(session)
        index = session.accept_token(token)
        emitted = actions.EmitToken(session.request_id, index, token)
        step = session.next_token_step(token)
        if session.is_complete or step is None:
            return [emitted, *self._finish(session)]
        return [emitted, self._sent(session, step, now)]

    def _failed(
        self,
        event: events.StepFailed,
        now: float,
    ) -> list[actions.AnyAction]:
        session = self.sessions.get(event.key.request_id)
        if session is None or not session.expects(event.key, event.endpoint):
            return NOTHING
        cancels = session.cancel_attempt()
        if session.attempt < MAX_ATTEMPTS:
            return [*cancels, self._begin(session, now)]
        error = StepError(Outcome.FAILED, event.reason, 'naive')
        return [*cancels, *self._finish(session, error)]

    def _tick(
        self,
        event: events.TimerFired,
        now: float,
    ) -> list[actions.AnyAction]:
        late = [
            session.outstanding.step
            for session in self.sessions.values()
            if session.outstanding
            and now - session.outstanding.sent_at > TIMEOUT_SECONDS
        ]
        return [
            action
            for step in late
            for action in self._failed(
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
