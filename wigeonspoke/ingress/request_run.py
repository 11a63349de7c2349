"""What the runs of calls and of streams share."""

import time

import msgspec

from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.forwarding import RetryWindowBudget
from wigeonspoke.core.outcomes import Outcome, Reason, StepError
from wigeonspoke.core.routing import Rule, choose_target
from wigeonspoke.ingress.client_watch import ClientWatch
from wigeonspoke.ingress.endpoint_try import EndpointTry
from wigeonspoke.ingress.protocols import ClientRequest, Hand
from wigeonspoke.ingress.state import IngressState

CONNECT_SECONDS = 0.3
REFUSED_RETRY_SECONDS = 0.5


class RequestContext(msgspec.Struct):
    """A request that was admitted, and until when it may be worked on."""

    request: ClientRequest
    rule: Rule
    account: str
    arrived_at: float
    until: float
    watch: ClientWatch | None = None
    tries: int = 0
    runs: int = 0


class RequestRun:
    """The part of a run that does not depend on the kind of request."""

    __slots__ = ('context', 'last_error', 'service', 'state')

    def __init__(self, state: IngressState, context: RequestContext) -> None:
        self.state = state
        self.context = context
        self.last_error: StepError | None = None
        self.service = choose_target(
            context.rule.targets,
            state.random.random(),
        )
        self.budget.note_request(context.arrived_at)

    @property
    def budget(self) -> RetryWindowBudget:
        """Give the retry budget of the service."""
        return self.state.budget(self.service)

    def may_try(self, now: float) -> bool:
        """Pay for a try; the first one is free."""
        if not self.context.tries:
            return True
        return self.budget.withdraw(now)

    def may_go_on(self, most_tries: int) -> bool:
        """Tell whether a try, the first or one more, is of use and allowed."""
        context = self.context
        if context.watch.has_left or time.monotonic() >= context.until:
            return False
        if not context.tries:
            return True
        if context.tries >= most_tries or not self.is_allowed():
            return False
        return not context.runs or self.may_repeat()

    def may_repeat(self) -> bool:
        """Tell whether the request may run once more after it may have."""
        rule = self.context.rule
        return rule.may_repeat and self.context.runs < rule.max_attempts

    def send(
        self,
        attempt: EndpointTry,
        endpoint: Endpoint,
        until: float,
        chain: Chain | None = None,
        last_event: str = '',
    ) -> None:
        """Connect to an endpoint and send it the request."""
        context = self.context
        request = context.request
        attempt.connect(min(CONNECT_SECONDS, until - time.monotonic()))
        hand = Hand(
            endpoint=endpoint,
            left_seconds=context.until - time.monotonic(),
            account=context.account,
            chain=chain,
            last_event=last_event,
        )
        attempt.send(
            request.method,
            request.target,
            self.state.wire.encode_headers(request, hand),
            request.body,
        )

    def begin_try(self, address: str) -> EndpointTry:
        """Begin a try that ends when the client leaves."""
        self.context.tries += 1
        may_repeat = self.context.rule.may_repeat
        kept = self.state.kept_connections if may_repeat else None
        attempt = EndpointTry(address, kept)
        self.context.watch.on_left = attempt.abort
        return attempt

    def end_try(self, attempt: EndpointTry) -> None:
        """End a try, whatever came of it."""
        self.context.watch.on_left = None
        attempt.close()

    def note_failed(
        self,
        endpoint: Endpoint,
        error: StepError,
        **facts: object,
    ) -> None:
        """Take in that a try got no answer of the request's own."""
        self.last_error = error
        if error.outcome is not Outcome.NOT_RUN:
            self.context.runs += 1
        self.state.count('try-failed', str(error.reason))
        self.note(
            'try-failed',
            peer=endpoint.address,
            endpoint=endpoint.endpoint_id,
            step=error.step,
            outcome=error.outcome,
            reason=error.reason,
            client_left=self.context.watch.has_left,
            **facts,
        )

    def is_allowed(self) -> bool:
        """Tell whether the configuration in force still allows the run."""
        context = self.context
        return self.state.table.allows(context.rule, context.request.key)

    def note(self, kind: str, **facts: object) -> None:
        """Write a decision about the request."""
        self.state.log.write(
            kind,
            request=self.context.request.request_id,
            rule=self.context.rule.name,
            version=self.state.table.version,
            tries=self.context.tries,
            **facts,
        )


def timed_out(attempt: EndpointTry, step: str) -> StepError:
    """Give the error of a try that was given up for want of an answer."""
    outcome = Outcome.UNKNOWN if attempt.may_have_run else Outcome.NOT_RUN
    return StepError(outcome, Reason.TIMEOUT, step, attempt.peer)


def wrong_answer(peer: str) -> StepError:
    """Give the error of an answer that cannot be the request's own."""
    return StepError(Outcome.UNKNOWN, Reason.CONTRACT, 'answer', peer)
