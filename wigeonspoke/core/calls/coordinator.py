"""State machine for all service calls of a node.

A call of a non-repeatable operation inserts a claim row into the table
before it sends anything to a replica.  A claim is never taken over: a call
that finds the claim of another call does not send anything, even if the node
that owns the claim has failed.  The claim is released only when it is certain
that no replica ran the call.
"""

from wigeonspoke.core.actions import (
    AnyAction,
    FinishCall,
    InsertClaim,
    ReadClaim,
    RecordOutcome,
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

MAX_ATTEMPTS = 3
MAX_CLAIM_ATTEMPTS = 4
MAX_CLAIM_READS = 3
CLAIM_READ_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0


class CallCoordinator:
    """Handles the events of all calls and returns the actions to take."""

    __slots__ = ('sessions', 'view')

    def __init__(self, view: ClusterView) -> None:
        self.view = view
        self.sessions: dict[str, CallSession] = {}

    def handle_request(
        self, event: CallRequested, now: float
    ) -> list[AnyAction]:
        """Start a call or refuse it immediately."""
        view = self.view
        service = view.services.get(event.service)
        if view.is_stopping:
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
        return [self._insert_claim(session)]

    def handle_claim_answer(
        self,
        event: ClaimAnswered,
        now: float,
    ) -> list[AnyAction]:
        """Continue a call after an operation on its claim row."""
        session = self.sessions.get(event.request_id)
        if session is None or session.stage is not CallStage.CLAIMING:
            return self._discard_claim_answer(event)
        if event.answer is ClaimAnswer.INSERTED:
            return self._send(session, now)
        row = event.row
        if event.answer is ClaimAnswer.EXISTS and row:
            return self._resolve_existing_claim(session, row, now)
        if event.answer is ClaimAnswer.MISSING:
            return [self._insert_claim(session)]
        if (
            event.answer is ClaimAnswer.UNAVAILABLE
            and not session.claim_uncertain
        ):
            return [self._finish(session, Outcome.NOT_RUN, Reason.STORE)]
        return self._retry_uncertain_claim(session, now)

    def handle_reply(self, event: CallReplied, now: float) -> list[AnyAction]:
        """Finish a call whose attempt was answered by a replica.

        A status that the service lists as a refusal counts as a failed
        attempt that did not run.
        """
        session = self._session_for_attempt(event.request_id, event.attempt)
        if session is None:
            self.view.count('reply_dropped', 'not-outstanding')
            return []
        if event.status in session.service.refusal_statuses:
            refused = CallFailed(
                event.request_id,
                event.attempt,
                event.endpoint,
                Outcome.NOT_RUN,
                Reason.REFUSED,
            )
            return self.handle_failure(refused, now)
        recorded = self._record_outcome(session, ClaimState.DONE)
        return [
            *recorded,
            self._finish(session, Outcome.COMPLETED, Reason.DONE),
        ]

    def handle_failure(self, event: CallFailed, now: float) -> list[AnyAction]:
        """Retry or finish a call whose attempt ended without an answer."""
        session = self._session_for_attempt(event.request_id, event.attempt)
        if session is None:
            self.view.count('failure_dropped', 'not-outstanding')
            return []
        self.view.count('call_try_failed', event.reason.value)
        endpoint = self.view.endpoint(event.endpoint)
        if endpoint and event.reason in EJECTING_REASONS:
            self.view.eject(endpoint, event.reason, now)
        if self._may_retry(session, event, now):
            self._release_endpoint(session)
            return self._send(session, now)
        return self._fail(session, event.outcome, event.reason)

    def cancel(self, request_id: str, now: float) -> list[AnyAction]:
        """Handle the disconnection of a caller.

        A claimed call continues, because its reply is stored for a repeated
        request.  The session of a repeatable call is removed.
        """
        session = self.sessions.get(request_id)
        if session is None or not session.operation.repeatable:
            return []
        self.view.count('call_cancelled', Reason.CALLER_GONE.value)
        self._remove(session)
        return []

    def tick(self, now: float) -> list[AnyAction]:
        """Fail calls whose claim is overdue and poll claims in progress.

        A call that found another call's claim reads the row a few more
        times, because the other call often finishes shortly afterwards.
        """
        actions: list[AnyAction] = []
        for session in tuple(self.sessions.values()):
            claiming = session.stage is CallStage.CLAIMING
            if claiming and now >= session.deadline:
                actions.extend(
                    self._fail(session, Outcome.NOT_RUN, Reason.STORE),
                )
            polling = session.stage is CallStage.WAITING
            if polling and now >= session.next_read_at:
                actions.append(self._read_claim_again(session))
        return actions

    def _read_claim_again(self, session: CallSession) -> ReadClaim:
        session.stage = CallStage.CLAIMING
        session.claim_reads += 1
        return ReadClaim(session.request.request_id, session.claim_row.key)

    def _discard_claim_answer(self, event: ClaimAnswered) -> list[AnyAction]:
        self.view.count('claim_answer_dropped', event.answer.value)
        # The call has already finished without running.  A claim inserted
        # after that must be deleted, otherwise every repeated request would
        # find it in progress forever.
        if event.answer is ClaimAnswer.INSERTED and event.row:
            return [ReleaseClaim(event.row)]
        return []

    def _insert_claim(self, session: CallSession) -> InsertClaim:
        session.claim_attempts += 1
        return InsertClaim(session.request.request_id, session.claim_row)

    def _resolve_existing_claim(
        self,
        session: CallSession,
        row: ClaimRow,
        now: float,
    ) -> list[AnyAction]:
        request = session.request
        if row.token == request.claim_token:
            return self._send(session, now)
        if row.body_digest != request.body_digest:
            return [
                self._finish(session, Outcome.NOT_RUN, Reason.BODY_MISMATCH)
            ]
        if row.state is ClaimState.DONE and row.kept:
            self.view.count('call_answered', 'kept-reply')
            self._remove(session)
            return [FinishCall(request.request_id, kept=row.kept)]
        if row.state is ClaimState.UNKNOWN:
            return [
                self._finish(session, Outcome.UNKNOWN, Reason.CLAIM_UNKNOWN)
            ]
        if session.claim_reads < MAX_CLAIM_READS:
            session.stage = CallStage.WAITING
            session.next_read_at = now + CLAIM_READ_SECONDS
            return []
        return [self._finish(session, Outcome.UNKNOWN, Reason.CLAIM_PENDING)]

    def _retry_uncertain_claim(
        self,
        session: CallSession,
        now: float,
    ) -> list[AnyAction]:
        # Repeating the insertion with the same token is idempotent: if the
        # first insertion took effect, the existing row has this call's token.
        session.claim_uncertain = True
        if (
            session.claim_attempts < MAX_CLAIM_ATTEMPTS
            and now < session.deadline
        ):
            self.view.count('claim_retried', 'uncertain')
            return [self._insert_claim(session)]
        return self._fail(session, Outcome.NOT_RUN, Reason.STORE)

    def _send(self, session: CallSession, now: float) -> list[AnyAction]:
        remaining = session.deadline - now
        endpoint = self.view.planner.choose_replica(
            session.request.service,
            now,
            session.tried_endpoints,
        )
        if endpoint is None or remaining <= 0:
            reason = Reason.NO_ENDPOINT if remaining > 0 else Reason.DEADLINE
            return self._fail(session, Outcome.NOT_RUN, reason)
        session.start_attempt(endpoint.name)
        endpoint.streams += 1
        action = SendCall(
            request_id=session.request.request_id,
            attempt=session.attempt,
            endpoint=endpoint.name,
            fresh_connection=not session.operation.repeatable,
            timeout_seconds=remaining,
        )
        return [action]

    def _session_for_attempt(
        self, request_id: str, attempt: int
    ) -> CallSession | None:
        session = self.sessions.get(request_id)
        if session and session.is_current_attempt(attempt):
            return session
        return None

    def _may_retry(
        self,
        session: CallSession,
        event: CallFailed,
        now: float,
    ) -> bool:
        if session.attempt >= MAX_ATTEMPTS or now >= session.deadline:
            return False
        if event.outcome is Outcome.NOT_RUN:
            return True
        return session.operation.repeatable

    def _fail(
        self,
        session: CallSession,
        outcome: Outcome,
        reason: Reason,
    ) -> list[AnyAction]:
        finished = self._finish(session, outcome, reason)
        if session.operation.repeatable:
            return [finished]
        if outcome is Outcome.NOT_RUN:
            return [ReleaseClaim(session.claim_row), finished]
        return [*self._record_outcome(session, ClaimState.UNKNOWN), finished]

    def _record_outcome(
        self,
        session: CallSession,
        state: ClaimState,
    ) -> list[AnyAction]:
        if session.operation.repeatable:
            return []
        request_id = session.request.request_id
        return [RecordOutcome(request_id, session.claim_row, state)]

    def _finish(
        self,
        session: CallSession,
        outcome: Outcome,
        reason: Reason,
    ) -> FinishCall:
        step = session.stage.value
        peer = session.endpoint
        self._remove(session)
        self.view.count('call_finished', outcome.value)
        request_id = session.request.request_id
        if outcome is Outcome.COMPLETED:
            return FinishCall(request_id)
        return FinishCall(
            request_id,
            error=StepError(outcome, reason, step, peer),
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )

    def _remove(self, session: CallSession) -> None:
        self._release_endpoint(session)
        self.sessions.pop(session.request.request_id, None)
        self.view.limits.release(session.request.account)

    def _release_endpoint(self, session: CallSession) -> None:
        endpoint = self.view.endpoint(session.endpoint)
        if endpoint:
            endpoint.streams -= 1
        session.endpoint = ''

    def _refuse(self, event: CallRequested, reason: Reason) -> FinishCall:
        self.view.count('call_refused', reason.value)
        return FinishCall(
            event.request_id,
            error=StepError(Outcome.NOT_RUN, reason, 'admission'),
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
