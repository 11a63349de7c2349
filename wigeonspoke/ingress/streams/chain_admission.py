"""Admission of one stream to chains, with capacity reserved by rank."""

from collections.abc import Callable
from functools import partial

from wigeonspoke.core.admission import ChainLoad, RankReservation
from wigeonspoke.core.chains import Chain
from wigeonspoke.core.fleet import EngineProfile
from wigeonspoke.ingress.requests.request_handler import RequestContext
from wigeonspoke.ingress.state import IngressState


class ChainAdmission:
    """Decides on which chains a stream may start, where ranks are in force."""

    __slots__ = ('context', 'reservation', 'service', 'state', 'waits_since')

    def __init__(
        self, state: IngressState, context: RequestContext, service: str
    ) -> None:
        self.state = state
        self.context = context
        self.service = service
        self.waits_since = context.arrived_at
        self.reservation: RankReservation | None = None
        if state.routing_table.ranks.differs(service):
            self.reservation = state.reservations.setdefault(
                service, RankReservation()
            )
            self.reservation.record_arrival(self.rank, context.arrived_at)

    @property
    def rank(self) -> int:
        """Rank of the request in the current configuration."""
        context = self.context
        return self.state.routing_table.ranks.rank(
            self.service, context.rule, context.account
        )

    def begin_wait(self, now: float) -> None:
        """Record that the stream begins to wait for a chain."""
        self.waits_since = now

    def admits(
        self, profile: EngineProfile, now: float, is_first: bool
    ) -> Callable[[Chain, int, float], bool] | None:
        """Return whether a chain admits the stream, None if all do.

        One that ``is_first`` is not held back, and neither is one that may
        have begun elsewhere: refusing it would lose what it was served.
        """
        if self.reservation is None:
            return None
        reserved: float = 0
        if not is_first and not self.context.possible_executions:
            chains = self.state.chains.chains(self.service, profile)
            reserved = self.reservation.reserved(
                self.rank, self.state.node_count, len(chains), now
            )
        return partial(self._is_admitted, reserved, now)

    def record_start(self, chain: Chain, now: float) -> None:
        """Record that the stream takes capacity of a chain."""
        if self.reservation is not None:
            self.reservation.record_start(chain.head.endpoint_id, now)

    def _is_admitted(
        self,
        reserved: float,
        now: float,
        chain: Chain,
        streams: int,
        capacity: float,
    ) -> bool:
        head_id = chain.head.endpoint_id
        limit = self.state.chains.concurrency_limits.limit(head_id, now)
        load = ChainLoad(head_id, streams, min(capacity, limit))
        return self.reservation.is_admitted(
            load, reserved, self.waits_since, now
        )
