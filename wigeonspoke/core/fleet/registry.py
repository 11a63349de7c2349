"""The registered endpoints that a node knows."""

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet.leaving import (
    HINT_SECONDS,
    LeavingReport,
    LeavingRuns,
)
from wigeonspoke.core.fleet.records import Endpoint

MAX_REMOVED = 256


class ListedEndpoints(msgspec.Struct, frozen=True):
    """The endpoints of a service that stay, and whether others leave."""

    staying: tuple[Endpoint, ...]
    has_leaving: bool


class Fleet:
    """Endpoints by id, with what they reported of themselves since.

    ``revision`` increases with every change to the endpoints, their layers or
    which of them leave, so that results computed from them can be cached until
    then.
    """

    __slots__ = (
        'endpoints',
        'leaving',
        'listed',
        'listed_at',
        'removed_at',
        'revision',
    )

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.leaving = LeavingRuns()
        self.revision = 0
        # When the entries of runs were removed, by start id, oldest first.
        self.removed_at: dict[str, float] = {}
        # The endpoints by service, as of revision ``listed_at``.
        self.listed: dict[str, ListedEndpoints] = {}
        self.listed_at = 0

    def put(self, endpoint: Endpoint, *, is_newest: bool = False) -> bool:
        """Add or update an endpoint, and tell whether anything changed.

        A row of an earlier run, or with fewer accepted orders than the known
        one, has arrived late and is ignored.  If it ``is_newest``, the row was
        written after the known one, so that its run goes on whatever another
        writer has said of a later start.
        """
        known = self.endpoints.get(endpoint.endpoint_id)
        if known == endpoint:
            return False
        if known is not None and _is_older(endpoint, known, is_newest):
            return False
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.revision += 1
        return True

    def drop(self, endpoint_id: str) -> Endpoint | None:
        """Remove and return an endpoint that left the registry."""
        removed = self.endpoints.pop(endpoint_id, None)
        if removed is not None:
            self.revision += 1
        return removed

    def record_removal(self, start_id: str, now: float) -> None:
        """Record that the registry has removed the entry of a run."""
        self.removed_at.pop(start_id, None)
        self.removed_at[start_id] = now
        if len(self.removed_at) > MAX_REMOVED:
            self.removed_at.pop(next(iter(self.removed_at)))

    def keep_leaving(self, now: float) -> int:
        """Keep the runs out of use that leave or were removed just now.

        The registry is about to be read from an older copy of the store, which
        may list them as before.  A run that is listed as leaving ends.  One
        whose entry was removed may have lapsed and be back, so that this only
        holds for a time.  Return the number of these runs.
        """
        leaving = [
            endpoint.start_id
            for endpoint in self.endpoints.values()
            if endpoint.is_leaving
        ]
        for listed_run in leaving:
            self.record_leaving(listed_run, now)
        removed = [
            start_id
            for start_id, removed_at in self.removed_at.items()
            if now - removed_at <= HINT_SECONDS
        ]
        for removed_run in removed:
            self.merge_leaving(LeavingReport(removed_run, 0), now)
        return len(leaving) + len(removed)

    def update_layers(
        self,
        endpoint_id: str,
        born: int,
        layers: LayerRange | None,
    ) -> None:
        """Store the layers that an endpoint reported when polled.

        ``born`` tells which run reported them; other runs are not changed.
        """
        known = self.endpoints.get(endpoint_id)
        if known is None or known.born != born or known.layers == layers:
            return
        self.put(msgspec.structs.replace(known, layers=layers))

    def record_leaving(self, start_id: str, now: float) -> bool:
        """Record that a run reported its leaving; return whether it is news."""
        is_news = self.leaving.record_answer(start_id, now)
        self.revision += is_news
        return is_news

    def merge_leaving(self, report: LeavingReport, now: float) -> bool:
        """Merge a peer's report of a run that leaves, in the same way."""
        is_news = self.leaving.merge(report, now)
        self.revision += is_news
        return is_news

    def expire_leaving(self, now: float) -> tuple[str, ...]:
        """End the hints of peers that are old; return their runs."""
        expired = self.leaving.expire(now)
        self.revision += bool(expired)
        return expired

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint leaves, by the registry or its answers."""
        return endpoint.is_leaving or self.leaving.is_leaving(endpoint.start_id)

    def told_leaving(self, service: str) -> tuple[str, ...]:
        """Return the runs of a service whose answers told this node they leave.

        They are the newest, at most as many as a message names.
        """
        if not self.leaving.own:
            return ()
        start_ids = {
            endpoint.start_id
            for endpoint in self.endpoints.values()
            if endpoint.service == service
        }
        return self.leaving.newest_told(start_ids)

    def of_service(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that do not leave."""
        return self._list(service).staying

    def has_leaving(self, service: str) -> bool:
        """Return whether an endpoint of a service leaves."""
        return self._list(service).has_leaving

    def _list(self, service: str) -> ListedEndpoints:
        if self.listed_at != self.revision:
            self.listed_at = self.revision
            self.listed.clear()
        listed = self.listed.get(service)
        if listed is None:
            all_endpoints = [
                endpoint
                for endpoint in self.endpoints.values()
                if endpoint.service == service
            ]
            staying = tuple(
                endpoint
                for endpoint in all_endpoints
                if not self.is_leaving(endpoint)
            )
            listed = ListedEndpoints(staying, len(staying) < len(all_endpoints))
            self.listed[service] = listed
        return listed


def _is_older(endpoint: Endpoint, known: Endpoint, is_newest: bool) -> bool:
    if endpoint.born != known.born:
        return endpoint.born < known.born and not is_newest
    return endpoint.orders < known.orders
