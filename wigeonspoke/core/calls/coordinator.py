"""Coordination of all service calls of a node.

A call that may not be repeated is claimed in the table before anything is
sent.  A claim never changes hands: whoever finds another's claim does not
dispatch, whatever has become of the claimant.  The claim is released only
when it is certain that no replica ran the call.
"""

from wigeonspoke.core.actions import (
    AnyAction,
    FinishCall,
    InsertClaim,
    KeepOutcome,
    ReadClaim,
    ReleaseClaim,
    SendCall,
)
from wigeonspoke.core.calls.session import (
    CallSession,
    CallStage,
    find_operation,
)
from wigeonspoke.core.claims import ClaimAnswer, ClaimRow, ClaimState
from wigeonspoke.core.events import (
    CallFailed,
    CallReplied,
    CallRequested,
    ClaimAnswered,
)
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.view import EJECTING_REASONS, ClusterView

MAX_TRIES = 3
MAX_CLAIM_TRIES = 4
MAX_READS = 3
READ_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0


class CallCoordinator:
    """Runs the calls: claims, tries and ends."""

    __slots__ = ('sessions', 'view')

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.sessions: dict[str, CallSession] = {}

    def request(self, event: CallRequested, now: float) -> list[AnyAction]:
        """Start a call, or refuse it at once."""
        view = self.view
        service = view.services.get(event.service)
        if view.stopping:
            return [self._refuse(event, Reason.STOPPING)]
        if service is None:
            return [self._refuse(event, Reason.NO_CONFIGURATION)]
        operation = find_operation(service, event.method, event.path)
        if operation is None:
            return [self._refuse(event, Reason.NO_ENDPOINT)]
        if not view.limits.acquire(event.account, view.peers.live_nodes):
            return [self._refuse(event, Reason.ACCOUNT_LIMIT)]
        session = CallSession(event, service, operation, now)
        self.sessions[event.request_id] = session
        if operation.repeatable:
            return self._send(session, now)
        return [self._claim(session)]

    def claim_answered(
        self,
        event: ClaimAnswered,
        now: float,
    ) -> list[AnyAction]:
        """Go on with a call once it is known whose claim stands."""
        session = self.sessions.get(event.request_id)
        if session is None or session.stage is not CallStage.CLAIMING:
            return self._drop_claim_answer(event)
        if event.answer is ClaimAnswer.INSERTED:
            return self._send(session, now)
        row = event.row
        if event.answer is ClaimAnswer.EXISTS and row:
            return self._meet_claim(session, row, now)
        if event.answer is ClaimAnswer.MISSING:
            return [self._claim(session)]
        if event.answer is ClaimAnswer.UNAVAILABLE and not session.in_doubt:
            return [self._end(session, Outcome.NOT_RUN, Reason.STORE)]
        return self._resolve_uncertain(session, now)

    def replied(self, event: CallReplied, now: float) -> list[AnyAction]:
        """Take in a replica's answer to a try."""
        session = self._awaiting(event.request_id, event.try_number)
        if session is None:
            self.view.count('reply_dropped', 'not-outstanding')
            return []
        if event.status in session.service.refusal_statuses:
            refused = CallFailed(
                event.request_id,
                event.try_number,
                event.endpoint,
                Outcome.NOT_RUN,
                Reason.REFUSED,
            )
            return self.failed(refused, now)
        keep = self._keep(session, ClaimState.DONE)
        return [*keep, self._end(session, Outcome.COMPLETED, Reason.DONE)]

    def failed(self, event: CallFailed, now: float) -> list[AnyAction]:
        """Take in a try that ended without an answer."""
        session = self._awaiting(event.request_id, event.try_number)
        if session is None:
            self.view.count('failure_dropped', 'not-outstanding')
            return []
        self.view.count('call_try_failed', event.reason.value)
        state = self.view.endpoint(event.endpoint)
        if state and event.reason in EJECTING_REASONS:
            self.view.eject(state, event.reason, now)
        if self._may_retry(session, event, now):
            self._leave_endpoint(session)
            return self._send(session, now)
        return self._give_up(session, event.outcome, event.reason)

    def cancel(self, request_id: str, now: float) -> list[AnyAction]:
        """Note that a caller has gone.

        A claimed call goes on, since its result is kept for a repeat; a
        repeatable one is forgotten.
        """
        session = self.sessions.get(request_id)
        if session is None or not session.operation.repeatable:
            return []
        self.view.count('call_cancelled', Reason.CALLER_GONE.value)
        self._forget(session)
        return []

    def tick(self, now: float) -> list[AnyAction]:
        """End the claiming calls that are overdue and look again at claims.

        A call that waits for another's claim looks a few times, since that
        other call's answer is often only a moment away.
        """
        actions: list[AnyAction] = []
        for session in tuple(self.sessions.values()):
            claiming = session.stage is CallStage.CLAIMING
            if claiming and now >= session.deadline:
                actions.extend(
                    self._give_up(session, Outcome.NOT_RUN, Reason.STORE),
                )
            waiting = session.stage is CallStage.WAITING
            if waiting and now >= session.read_at:
                actions.append(self._look_again(session))
        return actions

    def _look_again(self, session: CallSession) -> ReadClaim:
        session.stage = CallStage.CLAIMING
        session.reads += 1
        return ReadClaim(session.request.request_id, session.row.key)

    def _drop_claim_answer(self, event: ClaimAnswered) -> list[AnyAction]:
        self.view.count('claim_answer_dropped', event.answer.value)
        # The call has ended without a run, so a claim that took effect late
        # must go, or repeats would find it in progress for ever.
        if event.answer is ClaimAnswer.INSERTED and event.row:
            return [ReleaseClaim(event.row)]
        return []

    def _claim(self, session: CallSession) -> InsertClaim:
        session.claim_tries += 1
        return InsertClaim(session.request.request_id, session.row)

    def _meet_claim(
        self,
        session: CallSession,
        row: ClaimRow,
        now: float,
    ) -> list[AnyAction]:
        request = session.request
        if row.token == request.claim_token:
            return self._send(session, now)
        if row.body_digest != request.body_digest:
            return [self._end(session, Outcome.NOT_RUN, Reason.BODY_MISMATCH)]
        if row.state is ClaimState.DONE and row.kept:
            self.view.count('call_answered', 'kept-reply')
            self._forget(session)
            return [FinishCall(request.request_id, kept=row.kept)]
        if row.state is ClaimState.UNKNOWN:
            return [self._end(session, Outcome.UNKNOWN, Reason.CLAIM_UNKNOWN)]
        if session.reads < MAX_READS:
            session.stage = CallStage.WAITING
            session.read_at = now + READ_SECONDS
            return []
        return [self._end(session, Outcome.UNKNOWN, Reason.CLAIM_PENDING)]

    def _resolve_uncertain(
        self,
        session: CallSession,
        now: float,
    ) -> list[AnyAction]:
        # Inserting again with the same token is idempotent: the row that
        # stands in the way is then this call's own and is told by its token.
        session.in_doubt = True
        if session.claim_tries < MAX_CLAIM_TRIES and now < session.deadline:
            self.view.count('claim_retried', 'uncertain')
            return [self._claim(session)]
        return self._give_up(session, Outcome.NOT_RUN, Reason.STORE)

    def _send(self, session: CallSession, now: float) -> list[AnyAction]:
        left = session.deadline - now
        state = self.view.planner.choose_replica(
            session.request.service,
            now,
            session.tried,
        )
        if state is None or left <= 0:
            reason = Reason.NO_ENDPOINT if left > 0 else Reason.DEADLINE
            return self._give_up(session, Outcome.NOT_RUN, reason)
        session.start_try(state.name)
        state.streams += 1
        sent = SendCall(
            request_id=session.request.request_id,
            try_number=session.try_number,
            endpoint=state.name,
            fresh_connection=not session.operation.repeatable,
            timeout_seconds=left,
        )
        return [sent]

    def _awaiting(self, request_id: str, try_number: int) -> CallSession | None:
        session = self.sessions.get(request_id)
        if session and session.expects(try_number):
            return session
        return None

    def _may_retry(
        self,
        session: CallSession,
        event: CallFailed,
        now: float,
    ) -> bool:
        if session.try_number >= MAX_TRIES or now >= session.deadline:
            return False
        if event.outcome is Outcome.NOT_RUN:
            return True
        return session.operation.repeatable

    def _give_up(
        self,
        session: CallSession,
        outcome: Outcome,
        reason: Reason,
    ) -> list[AnyAction]:
        finished = self._end(session, outcome, reason)
        if session.operation.repeatable:
            return [finished]
        if outcome is Outcome.NOT_RUN:
            return [ReleaseClaim(session.row), finished]
        return [*self._keep(session, ClaimState.UNKNOWN), finished]

    def _keep(
        self,
        session: CallSession,
        state: ClaimState,
    ) -> list[AnyAction]:
        if session.operation.repeatable:
            return []
        request_id = session.request.request_id
        return [KeepOutcome(request_id, session.row, state)]

    def _end(
        self,
        session: CallSession,
        outcome: Outcome,
        reason: Reason,
    ) -> FinishCall:
        step = session.stage.value
        peer = session.endpoint
        self._forget(session)
        self.view.count('call_finished', outcome.value)
        request_id = session.request.request_id
        if outcome is Outcome.COMPLETED:
            return FinishCall(request_id)
        return FinishCall(
            request_id,
            error=StepError(outcome, reason, step, peer),
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )

    def _forget(self, session: CallSession) -> None:
        self._leave_endpoint(session)
        self.sessions.pop(session.request.request_id, None)
        self.view.limits.release(session.request.account)

    def _leave_endpoint(self, session: CallSession) -> None:
        state = self.view.endpoint(session.endpoint)
        if state:
            state.streams -= 1
        session.endpoint = ''

    def _refuse(self, event: CallRequested, reason: Reason) -> FinishCall:
        self.view.count('call_refused', reason.value)
        return FinishCall(
            event.request_id,
            error=StepError(Outcome.NOT_RUN, reason, 'admission'),
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
