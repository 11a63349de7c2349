"""Coordination of all generation requests of a node.

Requests wait in a fair queue until the planner finds a route with capacity
on every stage.  Excess load therefore queues at the ingress node, where it
can be divided fairly among accounts or refused, and not at the engines.
"""

import msgspec

from wigeonspoke.core.actions import (
    AnyAction,
    EmitToken,
    FinishGeneration,
    SendStep,
)
from wigeonspoke.core.admission import FairQueue, QueuedRequest
from wigeonspoke.core.events import (
    GenerationRequested,
    StepFailed,
    StepReplied,
)
from wigeonspoke.core.health import MIN_TIMEOUT_SECONDS
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.retries import RetryBudget
from wigeonspoke.core.routes import EndpointState, Route
from wigeonspoke.core.streams.session import GenerationSession, OutstandingStep
from wigeonspoke.core.streams.tokens import END_OF_SEQUENCE
from wigeonspoke.core.timers import LazyTimers
from wigeonspoke.core.token_rate import TokenRate
from wigeonspoke.core.view import EJECTING_REASONS, ClusterView

# Failed attempts of one request after which it ends with an error.
MAX_FAILED_ATTEMPTS = 12
# Minimum retry delay sent to callers with a refusal or an error.
RETRY_AFTER_SECONDS = 1.0
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD_SECONDS = 0.5
# Time after a pause during which no step times out.
PAUSE_GRACE_SECONDS = 0.3
# Ranks in the queue.
INTERACTIVE_RANK = 0
BATCH_RANK = 1


class GenerationCoordinator:
    """Runs generation sessions from admission to completion.

    When a step fails and its stage cannot be moved to another engine, the
    session is rebuilt: its streams are cancelled and a new attempt is queued.
    After a pause of this node, no step times out before ``grace_until``.
    """

    __slots__ = (
        'grace_until',
        'last_tick_at',
        'queues',
        'retry_budget',
        'sessions',
        'timers',
        'token_rate',
        'view',
    )

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.sessions: dict[str, GenerationSession] = {}
        self.queues: dict[str, FairQueue] = {}
        self.retry_budget = RetryBudget()
        self.token_rate = TokenRate()
        self.timers = LazyTimers()
        self.last_tick_at: float = 0
        self.grace_until: float = 0

    def submit(
        self,
        event: GenerationRequested,
        now: float,
    ) -> list[AnyAction]:
        """Queue a request, or refuse it immediately."""
        view = self.view
        model = view.models.get(event.model)
        if view.is_stopping:
            return [self._refuse(event, Reason.STOPPING)]
        if model is None:
            return [self._refuse(event, Reason.NO_CONFIGURATION)]
        queue = self.queues.setdefault(event.model, FairQueue())
        wait = self.token_rate.expected_wait(queue.work, now)
        if wait > model.queue_seconds:
            return [self._refuse(event, Reason.OVERLOAD, wait)]
        if not view.limits.acquire(event.account, view.peers.live_nodes):
            return [self._refuse(event, Reason.ACCOUNT_LIMIT)]
        session = GenerationSession(event, model, now)
        self.sessions[event.request_id] = session
        self.timers.schedule(event.request_id, now + MIN_TIMEOUT_SECONDS)
        self.retry_budget.deposit(session.work)
        entry = self._queue_entry(session, now)
        queue.push(entry, view.limits.weight(event.account), now)
        return self.dispatch(now)

    def dispatch(self, now: float) -> list[AnyAction]:
        """Start queued requests while routes with capacity are available."""
        actions: list[AnyAction] = []
        for queue in self.queues.values():
            actions.extend(self._dispatch_queue(queue, now))
        return actions

    def handle_reply(self, event: StepReplied, now: float) -> list[AnyAction]:
        """Process the result of a step.

        An invalid reply is handled as a failure of the endpoint.
        """
        session = self._find_session(event)
        if session is None or session.outstanding is None:
            self.view.count('reply_dropped', 'not-outstanding')
            return []
        outstanding = session.outstanding
        if not self._is_valid_reply(session, event):
            failure = StepFailed(
                event.key,
                event.endpoint,
                Outcome.UNKNOWN,
                Reason.CONTRACT,
            )
            return self.handle_failure(failure, now)
        if len(outstanding.step.inputs) == 1:
            self._record_latency(event, now - outstanding.sent_at, now)
        step = session.advance(event)
        if step:
            return [self._send(session, step, now)]
        return self._handle_token(session, event.token or 0, now)

    def handle_failure(self, event: StepFailed, now: float) -> list[AnyAction]:
        """Process a failed step: move the stage, retry or end the request."""
        session = self._find_session(event)
        if session is None:
            self.view.count('failure_dropped', 'not-outstanding')
            return []
        self.view.count('step_failed', event.reason.value)
        self._record_failure(event, now)
        reassigned = self._reassign_stage(session, event, now)
        if reassigned:
            return [reassigned]
        actions = self._cancel_attempt(session, now)
        error = StepError(
            outcome=Outcome.FAILED,
            reason=event.reason,
            step=_phase_name(session),
            peer=event.endpoint,
        )
        refusal = self._retry_refusal(session, event)
        if refusal:
            final_error = msgspec.structs.replace(error, reason=refusal)
            return [*actions, *self._finish(session, now, final_error)]
        self.view.note(
            'stream-rebuilt',
            event.endpoint,
            session.request_id,
            error.describe(),
        )
        queue = self.queues[session.request.model]
        queue.requeue(self._queue_entry(session, now))
        return [*actions, *self.dispatch(now)]

    def cancel(self, request_id: str, now: float) -> list[AnyAction]:
        """Cancel a request whose caller has disconnected."""
        session = self.sessions.get(request_id)
        if session is None:
            return []
        self.view.count('generation_cancelled', Reason.CALLER_GONE.value)
        self._remove_session(session)
        return [*self._cancel_attempt(session, now), *self.dispatch(now)]

    def tick(self, now: float) -> list[AnyAction]:
        """End overdue requests and steps, then start queued requests."""
        self._detect_pause(now)
        actions: list[AnyAction] = []
        for queue in self.queues.values():
            for entry in queue.pop_expired(now):
                session = self.sessions[entry.request_id]
                actions.extend(self._fail_expired(session, now))
        for request_id in self.timers.pop_due(now):
            session = self.sessions.get(request_id)
            if session:
                actions.extend(self._check_timeout(session, now))
        return [*actions, *self.dispatch(now)]

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process and extend step timeouts after it.

        Replies that arrived during the pause have not been read yet, so a
        missing reply does not indicate a failed endpoint.
        """
        if (
            now - self.last_tick_at > PAUSE_THRESHOLD_SECONDS
            and self.last_tick_at
        ):
            self.grace_until = now + PAUSE_GRACE_SECONDS
            self.view.count('pause_noticed', 'late-tick')
            self.view.note(
                'node-paused', detail=f'{now - self.last_tick_at:.1f}'
            )
        self.last_tick_at = now

    def _dispatch_queue(self, queue: FairQueue, now: float) -> list[AnyAction]:
        actions: list[AnyAction] = []
        while entry := queue.peek():
            session = self.sessions[entry.request_id]
            route = self._choose_route(session, now)
            if route is None:
                break
            queue.pop()
            queue.record_start(entry, now)
            for engine in route.stages:
                self._endpoint(engine.name).streams += 1
            actions.append(
                self._send(session, session.start_attempt(route), now)
            )
        return actions

    def _choose_route(
        self, session: GenerationSession, now: float
    ) -> Route | None:
        planner = self.view.planner
        prompt = planner.held_prompts.demand(
            session.model, session.request.prompt, session.request.max_tokens
        )
        route = planner.choose_route(
            session.model, now, session.excluded, prompt
        )
        if route is None and session.excluded:
            session.excluded.clear()
            route = planner.choose_route(session.model, now, prompt=prompt)
        return route

    def _send(
        self,
        session: GenerationSession,
        step: SendStep,
        now: float,
    ) -> SendStep:
        health = self._endpoint(step.endpoint).health
        timeout = health.timeout_seconds(len(step.inputs))
        timed_step = msgspec.structs.replace(step, timeout_seconds=timeout)
        session.outstanding = OutstandingStep(timed_step, now)
        return timed_step

    def _endpoint(self, name: str) -> EndpointState:
        return self.view.registry.endpoints[name]

    def _find_session(
        self,
        event: StepReplied | StepFailed,
    ) -> GenerationSession | None:
        session = self.sessions.get(event.key.request_id)
        if session and session.expects(event.key, event.endpoint):
            return session
        return None

    def _is_valid_reply(
        self,
        session: GenerationSession,
        event: StepReplied,
    ) -> bool:
        route = session.route
        if route is None or session.outstanding is None:
            return False
        if event.key.stage == route.last_stage:
            return event.token is not None
        return len(event.outputs) == len(session.outstanding.step.inputs)

    def _handle_token(
        self,
        session: GenerationSession,
        token: int,
        now: float,
    ) -> list[AnyAction]:
        self.token_rate.record_token(now)
        if token == END_OF_SEQUENCE:
            return self._finish(session, now)
        index = session.accept_token(token)
        if session.route:
            self.view.planner.held_prompts.record_read(
                session.request_id,
                session.model,
                session.request.prompt,
                tuple(engine.name for engine in session.route.stages),
                now,
            )
        emitted = EmitToken(session.request_id, index, token)
        if session.is_complete:
            return [emitted, *self._finish(session, now)]
        step = session.next_token_step(token)
        if step is None:
            return [emitted]
        return [emitted, self._send(session, step, now)]

    def _finish(
        self,
        session: GenerationSession,
        now: float,
        error: StepError | None = None,
    ) -> list[AnyAction]:
        self._remove_session(session)
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
            finish='length' if session.is_complete else 'stop',
            error=error,
            retry_after_seconds=RETRY_AFTER_SECONDS if error else 0,
        )
        return [
            *self._cancel_attempt(session, now),
            finished,
            *self.dispatch(now),
        ]

    def _cancel_attempt(
        self, session: GenerationSession, now: float
    ) -> list[AnyAction]:
        self.view.planner.held_prompts.record_end(
            session.request_id, session.model, now
        )
        cancels = session.cancel_attempt()
        for cancel in cancels:
            state = self.view.endpoint(cancel.endpoint)
            if state:
                state.streams -= 1
        return list(cancels)

    def _remove_session(self, session: GenerationSession) -> None:
        self.sessions.pop(session.request_id, None)
        self.queues[session.request.model].remove(session.request_id)
        self.view.limits.release(session.request.account)

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

    def _queue_entry(
        self, session: GenerationSession, now: float
    ) -> QueuedRequest:
        queue_end = now + session.model.queue_seconds
        return QueuedRequest(
            request_id=session.request_id,
            account=session.request.account,
            work=session.work,
            deadline=min(queue_end, session.deadline),
            rank=INTERACTIVE_RANK
            if session.request.interactive
            else BATCH_RANK,
        )

    def _fail_expired(
        self,
        session: GenerationSession,
        now: float,
    ) -> list[AnyAction]:
        never_started = session.attempt == 0
        outcome = Outcome.NOT_RUN if never_started else Outcome.FAILED
        error = StepError(outcome, Reason.OVERLOAD, 'queue')
        return self._finish(session, now, error)

    def _check_timeout(
        self,
        session: GenerationSession,
        now: float,
    ) -> list[AnyAction]:
        outstanding = session.outstanding
        if outstanding is None:
            self.timers.schedule(session.request_id, now + MIN_TIMEOUT_SECONDS)
            return []
        step = outstanding.step
        due = outstanding.sent_at + step.timeout_seconds
        due = max(due, self.grace_until)
        if now < min(due, session.deadline):
            next_check = min(due, session.deadline, now + MIN_TIMEOUT_SECONDS)
            self.timers.schedule(session.request_id, next_check)
            return []
        if now >= session.deadline:
            error = StepError(
                outcome=Outcome.FAILED,
                reason=Reason.DEADLINE,
                step=_phase_name(session),
                peer=step.endpoint,
            )
            return self._finish(session, now, error)
        self.timers.schedule(session.request_id, now + MIN_TIMEOUT_SECONDS)
        timed_out = StepFailed(
            step.key,
            step.endpoint,
            Outcome.UNKNOWN,
            Reason.TIMEOUT,
        )
        return self.handle_failure(timed_out, now)

    def _record_latency(
        self,
        event: StepReplied,
        seconds: float,
        now: float,
    ) -> None:
        state = self.view.endpoint(event.endpoint)
        if state:
            state.health.record_success(seconds, now)

    def _record_failure(self, event: StepFailed, now: float) -> None:
        state = self.view.endpoint(event.endpoint)
        if state is None:
            return
        if event.reason is Reason.BUSY:
            state.back_off(now)
        elif event.reason in EJECTING_REASONS:
            self.view.eject(state, event.reason, now)

    def _reassign_stage(
        self,
        session: GenerationSession,
        event: StepFailed,
        now: float,
    ) -> SendStep | None:
        """Move a stage that has run no step yet to another engine.

        Only applies when the failed step is known not to have run and is the
        stage's first of this attempt, so that there is no state to rebuild.
        """
        outstanding = session.outstanding
        if outstanding is None or event.outcome is not Outcome.NOT_RUN:
            return None
        step = outstanding.step
        if step.position:
            return None
        session.excluded.add(event.endpoint)
        engine = self.view.planner.choose_stage(
            session.model,
            step.layers,
            now,
            session.excluded,
        )
        reassigned = session.replace_stage(engine) if engine else None
        if reassigned is None:
            return None
        self.view.count('stage_moved', event.reason.value)
        self._endpoint(event.endpoint).streams -= 1
        self._endpoint(reassigned.endpoint).streams += 1
        return self._send(session, reassigned, now)

    def _retry_refusal(
        self,
        session: GenerationSession,
        event: StepFailed,
    ) -> Reason | None:
        session.excluded.add(event.endpoint)
        # A step that was not run does not count as a failed attempt: a later
        # attempt may succeed, and the request's deadline limits the retries.
        if event.outcome is Outcome.NOT_RUN:
            return None
        session.failures += 1
        if session.failures >= MAX_FAILED_ATTEMPTS:
            return Reason.ATTEMPTS_SPENT
        if self.retry_budget.withdraw(len(session.context)):
            return None
        return Reason.BUDGET_SPENT


def _phase_name(session: GenerationSession) -> str:
    return 'decode' if session.accepted else 'prefill'
