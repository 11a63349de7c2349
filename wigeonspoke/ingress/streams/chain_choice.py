"""Choice of the chains that one stream is sent to."""

import time
from functools import partial

from wigeonspoke.core.chains import Chain, ChainUse, RequestDemand
from wigeonspoke.core.fleet import Endpoint, EngineProfile
from wigeonspoke.ingress.requests.request_handler import RequestContext
from wigeonspoke.ingress.requests.turn import Turn
from wigeonspoke.ingress.requests.waiting_queue import Waiter
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.streams.chain_admission import ChainAdmission
from wigeonspoke.ingress.streams.request_demand import build_demand

# How long a request waits for a complete chain, as a fraction of the rule's
# target latency.  Up to an eighth of it makes no difference to users.
INCOMPLETE_CHAIN_WAIT_FRACTION = 0.12
# The same if there are complete chains, but all are full: streams end
# continuously, so a full chain soon has room.
FULL_CHAIN_WAIT_FRACTION = 0.6


class ChainChoice:
    """Waits for a chain with room, and tells whether there is another one.

    ``excluded`` holds the endpoint ids of all engines of the chains that
    failed.
    """

    __slots__ = (
        'admission',
        'context',
        'excluded',
        'service',
        'state',
        'turn',
    )

    def __init__(
        self, state: IngressState, context: RequestContext, service: str
    ) -> None:
        self.state = state
        self.context = context
        self.service = service
        self.excluded: set[str] = set()
        self.turn = Turn(state, context, service)
        self.admission = ChainAdmission(state, context, service)

    @property
    def profile(self) -> EngineProfile | None:
        """Engine profile of the service, or None if it has no engines."""
        service = self.state.routing_table.services.get(self.service)
        return None if service is None else service.engine

    def wait(self) -> Chain | None:
        """Choose a chain, waiting for a limited time for one with room."""
        since = time.monotonic()
        if self._stays_closed(since) or self.profile is None:
            return None
        self.admission.begin_wait(since)
        longest = (
            FULL_CHAIN_WAIT_FRACTION * self.context.rule.target_latency_seconds
        )
        deadline = min(self.context.deadline, since + longest)
        chains = self.state.chains
        waiter = Waiter(
            self.turn.make_entry(deadline, since),
            self._select,
            chains.begin,
            chains.end,
        )
        chain = self.turn.take(waiter, partial(self._wait_until, since))
        if chain is not None:
            self.admission.record_start(chain, time.monotonic())
        return chain

    @property
    def retry_after(self) -> float | None:
        """When a refused stream may come again, None if that is unknown."""
        return self.turn.retry_after if self.turn.refusal else None

    def is_possible(self) -> bool:
        """Return whether a chain could be sent the stream at once."""
        return self._select(time.monotonic()) is not None

    def heads(self) -> tuple[Endpoint, ...]:
        """Return the heads of all chains, those that are excluded, too."""
        if self.profile is None:
            return ()
        chains = self.state.chains.chains(self.service, self.profile)
        return tuple(chain.head for chain in chains)

    def has_alternative(self, now: float) -> bool:
        """Return whether a further chain is worth a failover."""
        alternative = self._select(now)
        return (
            alternative is not None
            and not self.state.suspects.is_deprioritized(
                alternative.head.endpoint_id,
                now,
            )
        )

    def begin(self, chain: Chain) -> ChainUse:
        """Record that the stream is sent to a chain."""
        now = time.monotonic()
        return self.state.chains.begin(chain, self._demand(now), now)

    def _demand(self, now: float) -> RequestDemand | None:
        """Return what is asked of a chain, if speeds of engines are known."""
        profile = self.profile
        if profile is None or profile.speeds is None:
            return None
        return build_demand(self.context, profile.speeds, now)

    def _stays_closed(self, now: float) -> bool:
        """Return whether no head may be sent to for longer than is waited."""
        heads = self.heads()
        next_send_at = self.state.availability.next_send_at(heads, now)
        if not heads or next_send_at is None:
            return False
        return next_send_at > now + self._max_wait()

    def _wait_until(self, since: float) -> float:
        if self.profile is None:
            return since
        return min(self.context.deadline, since + self._max_wait())

    def _select(self, now: float, is_first: bool = False) -> Chain | None:
        """Return a chain with capacity.

        One that ``is_first`` is held back for no other request.
        """
        if self.profile is None:
            return None
        return self.state.chains.select(
            self.service,
            self.profile,
            self.excluded,
            now,
            self._demand(now),
            self.admission.admits(self.profile, now, is_first),
        )

    def _max_wait(self) -> float:
        """Return for how long to wait for a chain."""
        chains = self.state.chains.chains(self.service, self.profile)
        fraction = (
            FULL_CHAIN_WAIT_FRACTION
            if chains
            else INCOMPLETE_CHAIN_WAIT_FRACTION
        )
        return fraction * self.context.rule.target_latency_seconds
