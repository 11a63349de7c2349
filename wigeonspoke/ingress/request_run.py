"""What the runs of calls and of streams share."""

from collections.abc import Callable

import msgspec

from wigeonspoke.core.routing import Rule, choose_target
from wigeonspoke.ingress.client_watch import ClientWatch
from wigeonspoke.ingress.endpoint_try import EndpointTry
from wigeonspoke.ingress.protocols import ClientRequest
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
    end_connection: Callable[[], None] | None = None
    tries: int = 0
    runs: int = 0


class RequestRun:
    """The part of a run that does not depend on the kind of request."""

    __slots__ = ('context', 'service', 'state')

    def __init__(self, state: IngressState, context: RequestContext) -> None:
        self.state = state
        self.context = context
        self.service = choose_target(
            context.rule.targets,
            state.random.random(),
        )
        self.budget.note_request(context.arrived_at)

    @property
    def budget(self):
        """Give the retry budget of the service."""
        return self.state.budget(self.service)

    def may_try(self, now: float) -> bool:
        """Pay for a try; the first one is free."""
        if not self.context.tries:
            return True
        return self.budget.withdraw(now)

    def begin_try(self, address: str) -> EndpointTry:
        """Begin a try that ends when the client leaves."""
        self.context.tries += 1
        attempt = EndpointTry(address)
        self.context.watch.on_left = attempt.abort
        return attempt

    def end_try(self, attempt: EndpointTry) -> None:
        """End a try, whatever came of it."""
        self.context.watch.on_left = None
        attempt.close()

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
