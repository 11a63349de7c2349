"""Coordination of all generation requests of a node.

Requests wait in a fair queue until the planner finds a route with room on
every stage, so the excess stays at the entry, where it can be shared fairly
or refused.
"""

import msgspec

from wigeonspoke.core.actions import (
    AnyAction,
    EmitToken,
    FinishGeneration,
    SendStep,
)
from wigeonspoke.core.admission import FairQueue, Waiting
from wigeonspoke.core.events import (
    GenerationRequested,
    StepFailed,
    StepReplied,
)
from wigeonspoke.core.health import MIN_TIMEOUT_SECONDS
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.pace import TokenPace
from wigeonspoke.core.retries import RetryBudget
from wigeonspoke.core.routes import EndpointState, Route
from wigeonspoke.core.streams.session import GenerationSession, Outstanding
from wigeonspoke.core.streams.tokens import END_OF_ANSWER
from wigeonspoke.core.timers import LazyTimers
from wigeonspoke.core.view import EJECTING_REASONS, ClusterView

MAX_FAILURES = 12
RETRY_AFTER_SECONDS = 1.0
PAUSE_SECONDS = 0.5
GRACE_SECONDS = 0.3


class GenerationCoordinator:
    """Runs the sessions: admission, steps, rebuilding and ends."""

    __slots__ = (
        'budget',
        'grace_until',
        'pace',
        'queues',
        'sessions',
        'ticked_at',
        'timers',
        'view',
    )

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.sessions: dict[str, GenerationSession] = {}
        self.queues: dict[str, FairQueue] = {}
        self.budget = RetryBudget()
        self.pace = TokenPace()
        self.timers = LazyTimers()
        self.ticked_at: float = 0
        self.grace_until: float = 0

    def request(
        self,
        event: GenerationRequested,
        now: float,
    ) -> list[AnyAction]:
        """Admit a request to the queue, or refuse it at once."""
        view = self.view
        model = view.models.get(event.model)
        if view.stopping:
            return [self._refuse(event, Reason.STOPPING)]
        if model is None:
            return [self._refuse(event, Reason.NO_CONFIGURATION)]
        queue = self.queues.setdefault(event.model, FairQueue())
        wait = self.pace.expected_wait(queue.work, now)
        if wait > model.queue_seconds:
            return [self._refuse(event, Reason.OVERLOAD, wait)]
        if not view.limits.enter(event.account, view.peers.live_nodes):
            return [self._refuse(event, Reason.ACCOUNT_LIMIT)]
        session = GenerationSession(event, model, now)
        self.sessions[event.request_id] = session
        self.timers.arm(event.request_id, now + MIN_TIMEOUT_SECONDS)
        self.budget.deposit(session.work)
        waiting = self._waiting(session, now)
        queue.push(waiting, view.limits.weight(event.account))
        return self.dispatch(now)

    def dispatch(self, now: float) -> list[AnyAction]:
        """Start waiting requests as long as there is room for them."""
        actions: list[AnyAction] = []
        for queue in self.queues.values():
            actions.extend(self._dispatch_queue(queue, now))
        return actions

    def replied(self, event: StepReplied, now: float) -> list[AnyAction]:
        """Take in the result of a step."""
        session = self._awaiting(event)
        if session is None or session.outstanding is None:
            self.view.count('reply_dropped', 'not-outstanding')
            return []
        outstanding = session.outstanding
        if not self._keeps_contract(session, event):
            failure = StepFailed(
                event.key,
                event.endpoint,
                Outcome.UNKNOWN,
                Reason.CONTRACT,
            )
            return self.failed(failure, now)
        if len(outstanding.step.inputs) == 1:
            self._note_latency(event, now - outstanding.sent_at, now)
        step = session.advance(event)
        if step:
            return [self._send(session, step, now)]
        return self._take_token(session, event.token or 0, now)

    def failed(self, event: StepFailed, now: float) -> list[AnyAction]:
        """Take in the failure of a step and rebuild the request's streams."""
        session = self._awaiting(event)
        if session is None:
            self.view.count('failure_dropped', 'not-outstanding')
            return []
        self.view.count('step_failed', event.reason.value)
        self._note_failure(event, now)
        moved = self._move_stage(session, event, now)
        if moved:
            return [moved]
        actions = self._abandon(session)
        error = StepError(
            outcome=Outcome.FAILED,
            reason=event.reason,
            step=_step_name(session),
            peer=event.endpoint,
        )
        verdict = self._may_rebuild(session, event)
        if verdict:
            ended = msgspec.structs.replace(error, reason=verdict)
            return [*actions, *self._finish(session, now, ended)]
        self.view.note(
            'stream-rebuilt',
            event.endpoint,
            session.request_id,
            error.describe(),
        )
        queue = self.queues[session.request.model]
        queue.push_back(self._waiting(session, now))
        return [*actions, *self.dispatch(now)]

    def cancel(self, request_id: str, now: float) -> list[AnyAction]:
        """Drop a request whose caller has gone."""
        session = self.sessions.get(request_id)
        if session is None:
            return []
        self.view.count('generation_cancelled', Reason.CALLER_GONE.value)
        self._forget(session)
        return [*self._abandon(session), *self.dispatch(now)]

    def tick(self, now: float) -> list[AnyAction]:
        """End what is overdue and start what has room."""
        self._note_pause(now)
        actions: list[AnyAction] = []
        for queue in self.queues.values():
            for waiting in queue.expired(now):
                session = self.sessions[waiting.request_id]
                actions.extend(self._expire(session, now))
        for request_id in self.timers.fire(now):
            session = self.sessions.get(request_id)
            if session:
                actions.extend(self._check_overdue(session, now))
        return [*actions, *self.dispatch(now)]

    def _note_pause(self, now: float) -> None:
        """See whether this node stood still, and give endpoints grace then.

        What came in meanwhile has yet to be read, so silence says nothing
        of the endpoints.
        """
        if now - self.ticked_at > PAUSE_SECONDS and self.ticked_at:
            self.grace_until = now + GRACE_SECONDS
            self.view.count('pause_noticed', 'late-tick')
            self.view.note('node-paused', detail=f'{now - self.ticked_at:.1f}')
        self.ticked_at = now

    def _dispatch_queue(self, queue: FairQueue, now: float) -> list[AnyAction]:
        actions: list[AnyAction] = []
        while waiting := queue.peek():
            session = self.sessions[waiting.request_id]
            route = self._choose(session, now)
            if route is None:
                break
            queue.pop()
            for engine in route.stages:
                self._endpoint(engine.name).streams += 1
            actions.append(self._send(session, session.begin(route), now))
        return actions

    def _choose(self, session: GenerationSession, now: float) -> Route | None:
        planner = self.view.planner
        route = planner.choose(session.model, now, session.avoid)
        if route is None and session.avoid:
            session.avoid.clear()
            route = planner.choose(session.model, now)
        return route

    def _send(
        self,
        session: GenerationSession,
        step: SendStep,
        now: float,
    ) -> SendStep:
        health = self._endpoint(step.endpoint).health
        timeout = health.timeout_seconds(len(step.inputs))
        timed = msgspec.structs.replace(step, timeout_seconds=timeout)
        session.outstanding = Outstanding(timed, now)
        return timed

    def _endpoint(self, name: str) -> EndpointState:
        return self.view.registry.endpoints[name]

    def _awaiting(
        self,
        event: StepReplied | StepFailed,
    ) -> GenerationSession | None:
        session = self.sessions.get(event.key.request_id)
        if session and session.expects(event.key, event.endpoint):
            return session
        return None

    def _keeps_contract(
        self,
        session: GenerationSession,
        event: StepReplied,
    ) -> bool:
        route = session.route
        if route is None or session.outstanding is None:
            return False
        if event.key.stage == route.last:
            return event.token is not None
        return len(event.outputs) == len(session.outstanding.step.inputs)

    def _take_token(
        self,
        session: GenerationSession,
        token: int,
        now: float,
    ) -> list[AnyAction]:
        self.pace.note_token(now)
        if token == END_OF_ANSWER:
            return self._finish(session, now)
        index = session.accept(token)
        emitted = EmitToken(session.request_id, index, token)
        if session.is_whole:
            return [emitted, *self._finish(session, now)]
        step = session.continue_with(token)
        if step is None:
            return [emitted]
        return [emitted, self._send(session, step, now)]

    def _finish(
        self,
        session: GenerationSession,
        now: float,
        error: StepError | None = None,
    ) -> list[AnyAction]:
        self._forget(session)
        outcome = error.outcome if error else Outcome.COMPLETED
        self.view.count('generation_finished', outcome.value)
        if error:
            detail = error.describe()
            self.view.note(
                'generation-failed',
                error.peer,
                session.request_id,
                detail,
            )
        finished = FinishGeneration(
            request_id=session.request_id,
            finish='length' if session.is_whole else 'stop',
            error=error,
            retry_after_seconds=RETRY_AFTER_SECONDS if error else 0,
        )
        return [*self._abandon(session), finished, *self.dispatch(now)]

    def _abandon(self, session: GenerationSession) -> list[AnyAction]:
        cancels = session.abandon_attempt()
        for cancel in cancels:
            state = self.view.endpoint(cancel.endpoint)
            if state:
                state.streams -= 1
        return list(cancels)

    def _forget(self, session: GenerationSession) -> None:
        self.sessions.pop(session.request_id, None)
        self.queues[session.request.model].remove(session.request_id)
        self.view.limits.leave(session.request.account)

    def _refuse(
        self,
        event: GenerationRequested,
        reason: Reason,
        wait: float = 0,
    ) -> FinishGeneration:
        self.view.count('generation_refused', reason.value)
        return FinishGeneration(
            request_id=event.request_id,
            finish='',
            error=StepError(Outcome.NOT_RUN, reason, 'admission'),
            retry_after_seconds=max(RETRY_AFTER_SECONDS, wait),
        )

    def _waiting(self, session: GenerationSession, now: float) -> Waiting:
        queue_end = now + session.model.queue_seconds
        return Waiting(
            request_id=session.request_id,
            account=session.request.account,
            work=session.work,
            deadline=min(queue_end, session.deadline),
            interactive=session.request.interactive,
        )

    def _expire(
        self,
        session: GenerationSession,
        now: float,
    ) -> list[AnyAction]:
        untouched = session.attempt == 0
        outcome = Outcome.NOT_RUN if untouched else Outcome.FAILED
        error = StepError(outcome, Reason.OVERLOAD, 'queue')
        return self._finish(session, now, error)

    def _check_overdue(
        self,
        session: GenerationSession,
        now: float,
    ) -> list[AnyAction]:
        outstanding = session.outstanding
        if outstanding is None:
            self.timers.arm(session.request_id, now + MIN_TIMEOUT_SECONDS)
            return []
        step = outstanding.step
        due = outstanding.sent_at + step.timeout_seconds
        due = max(due, self.grace_until)
        if now < min(due, session.deadline):
            soonest = min(due, session.deadline, now + MIN_TIMEOUT_SECONDS)
            self.timers.arm(session.request_id, soonest)
            return []
        if now >= session.deadline:
            error = StepError(
                outcome=Outcome.FAILED,
                reason=Reason.DEADLINE,
                step=_step_name(session),
                peer=step.endpoint,
            )
            return self._finish(session, now, error)
        self.timers.arm(session.request_id, now + MIN_TIMEOUT_SECONDS)
        silent = StepFailed(
            step.key,
            step.endpoint,
            Outcome.UNKNOWN,
            Reason.TIMEOUT,
        )
        return self.failed(silent, now)

    def _note_latency(
        self,
        event: StepReplied,
        seconds: float,
        now: float,
    ) -> None:
        state = self.view.endpoint(event.endpoint)
        if state:
            state.health.note_success(seconds, now)

    def _note_failure(self, event: StepFailed, now: float) -> None:
        state = self.view.endpoint(event.endpoint)
        if state is None:
            return
        if event.reason is Reason.BUSY:
            state.note_busy(now)
        elif event.reason in EJECTING_REASONS:
            self.view.eject(state, event.reason, now)

    def _move_stage(
        self,
        session: GenerationSession,
        event: StepFailed,
        now: float,
    ) -> SendStep | None:
        """Open a stage elsewhere that certainly ran nothing yet."""
        outstanding = session.outstanding
        if outstanding is None or event.outcome is not Outcome.NOT_RUN:
            return None
        step = outstanding.step
        if step.position:
            return None
        session.avoid.add(event.endpoint)
        engine = self.view.planner.choose_stage(
            session.model,
            step.layers,
            now,
            session.avoid,
        )
        moved = session.replace_stage(engine) if engine else None
        if moved is None:
            return None
        self.view.count('stage_moved', event.reason.value)
        self._endpoint(event.endpoint).streams -= 1
        self._endpoint(moved.endpoint).streams += 1
        return self._send(session, moved, now)

    def _may_rebuild(
        self,
        session: GenerationSession,
        event: StepFailed,
    ) -> Reason | None:
        session.avoid.add(event.endpoint)
        # A refusal ran nothing and says nothing against a later try; the
        # request's deadline bounds how long it is refused.
        if event.outcome is Outcome.NOT_RUN:
            return None
        session.failures += 1
        if session.failures >= MAX_FAILURES:
            return Reason.ATTEMPTS_SPENT
        if self.budget.withdraw(len(session.context)):
            return None
        return Reason.BUDGET_SPENT


def _step_name(session: GenerationSession) -> str:
    return 'decode' if session.accepted else 'prefill'
