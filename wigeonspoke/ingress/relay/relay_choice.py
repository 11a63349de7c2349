"""Whether one request goes to endpoints or to a peer, and to which peer."""

import time
from collections.abc import Callable

from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.reachability import RelayPeer
from wigeonspoke.core.reachability.reachability import (
    MAX_RETRY_AFTER_FRACTION,
    MIN_RETRY_AFTER_SECONDS,
)
from wigeonspoke.core.relay import Way, choose_way
from wigeonspoke.ingress.state import IngressState

ISOLATED = 'isolated'
NO_CAPACITY = 'no-capacity'
UNREACHED = 'unreached'


class RelayChoice:
    """Decides where a request goes next while groups are isolated.

    ``draw`` is drawn once for each request, so that all its attempts are on
    the same side while a group recovers.  ``excluded`` are the names of the
    peers that the request was handed to.  ``is_refused`` is whether neither
    endpoints nor peers are reached.  ``is_last_resort`` is whether peers are
    asked because the request itself reached no endpoint.
    """

    __slots__ = (
        'draw',
        'excluded',
        'handovers',
        'is_last_resort',
        'is_refused',
        'is_relayed',
        'peer_retry_after',
        'service',
        'state',
    )

    def __init__(
        self, state: IngressState, service: str, *, is_relayed: bool
    ) -> None:
        self.state = state
        self.service = service
        self.is_relayed = is_relayed
        # Peers do not choose a recovering node.  If a relayed request comes
        # to one nevertheless, it may use all endpoints.
        self.draw = 0 if is_relayed else state.rng.random()
        self.excluded: set[str] = set()
        self.handovers = 0
        self.is_refused = False
        self.is_last_resort = False
        # Retry-After of a peer that refused the request, in seconds.
        self.peer_retry_after: float | None = None

    def blocked_endpoints(self, now: float) -> tuple[Endpoint, ...]:
        """Return the endpoints of groups that the request is kept from."""
        may_try: dict[str, bool] = {}
        blocked: list[Endpoint] = []
        for endpoint in self.state.fleet.of_service(self.service):
            domain = endpoint.failure_domain
            if domain not in may_try:
                may_try[domain] = self.state.reachability.may_try(
                    endpoint, now, self.draw
                )
            if not may_try[domain]:
                blocked.append(endpoint)
        return tuple(blocked)

    def choose_way(
        self,
        now: float,
        *,
        has_own: Callable[[], bool],
        may_relay: bool,
    ) -> Way:
        """Return where the request goes next.

        ``has_own`` tells whether an endpoint of a group that is not isolated
        has capacity; it is called only if a group is.
        """
        self.is_refused = False
        if not self.blocked_endpoints(now):
            return Way.OWN
        reachability = self.state.reachability
        is_own_possible = has_own()
        way = choose_way(
            is_relayed=self.is_relayed,
            is_isolated=reachability.is_service_isolated(self.service, now),
            has_isolated_group=True,
            has_own=is_own_possible,
            has_peer=may_relay and self.find_peer(now) is not None,
        )
        self.is_refused = way is Way.REFUSE
        if way is Way.OWN and not is_own_possible:
            # No peer can take the share of requests that is withheld from a
            # recovering group.
            self.draw = 0
        return way

    def is_due(self, now: float) -> bool:
        """Return whether a silent attempt may be left for a peer."""
        return (
            not self.is_relayed
            and bool(self.blocked_endpoints(now))
            and self.find_peer(now) is not None
        )

    def find_peer(self, now: float) -> RelayPeer | None:
        """Return a peer that may serve the request, None if there is none.

        Peers that failed a short time ago are asked if there are no others.
        """
        failed = self.state.relay_traffic.failed_peers(now)
        for excluded in (self.excluded | failed, self.excluded):
            peer = self.state.reachability.choose_peer(
                self.service, now, excluded, self.state.rng.random()
            )
            if peer is not None:
                return peer
        return None

    def reason(self, now: float) -> str:
        """Return why a request is relayed."""
        reachability = self.state.reachability
        if reachability.is_service_isolated(self.service, now):
            return ISOLATED
        return UNREACHED if self.is_last_resort else NO_CAPACITY

    def describe(self, now: float) -> dict[str, object]:
        """Return for the log what is known of the ways to the service."""
        reachability = self.state.reachability
        return {
            'isolated_from': sorted(
                domain
                for service, domain in reachability.isolated_groups(now)
                if service == self.service
            ),
            'peers': reachability.count_peers(self.service, now),
            'handovers': self.handovers,
        }

    def retry_after(self, remaining_seconds: float) -> float:
        """Return the Retry-After of a refused request, in seconds."""
        draw = self.state.rng.random()
        wait_seconds = self.state.reachability.refusal_retry_after(
            self.service, time.monotonic(), remaining_seconds, draw
        )
        if wait_seconds is not None:
            return wait_seconds
        # Peers reach the service, but all that were asked have refused.
        wait_seconds = max(MIN_RETRY_AFTER_SECONDS, self.peer_retry_after or 0)
        return min(
            wait_seconds * (1 + draw),
            MAX_RETRY_AFTER_FRACTION * remaining_seconds,
        )

    def record_failed(self, peer: RelayPeer) -> None:
        """Record that a peer gave no valid answer."""
        self.state.relay_traffic.record_failed(peer.name, time.monotonic())
