"""Consumers of the store's tables: configuration and endpoint registry."""

import math
import time
from collections.abc import Collection
from typing import Protocol

import eventlet
from returns.result import Success

from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_source import TableSource
from wigeonspoke.store import TableRow

# Registry entries that expired during a store outage are re-registered within
# this time after it, or the endpoint is gone.
RETENTION_SECONDS = 2.5
# Characters of a problem that are logged; it may quote the entry.
MAX_LOGGED_PROBLEM = 200


class TableConsumer(Protocol):
    """Receives the rows of a table."""

    table: str

    def handle_store_return(self) -> None:
        """Handle the return of the store after an outage."""

    def apply_change(self, row: TableRow, source: TableSource) -> None:
        """Apply one row that was changed, or belongs to the complete table."""

    def retain(self, keys: Collection[str], source: TableSource) -> None:
        """Forget what the complete table, with these keys, does not list."""


class ConfigurationConsumer:
    """Adopts newer versions of the configuration."""

    __slots__ = ('key', 'state', 'table')

    def __init__(self, state: IngressState, table: str, key: str) -> None:
        self.state = state
        self.table = table
        self.key = key

    def handle_store_return(self) -> None:
        """Do nothing: the configuration stays in force during an outage."""

    def retain(self, keys: Collection[str], source: TableSource) -> None:
        """Do nothing: a configuration stays in force until a newer one."""

    def apply_change(self, row: TableRow, source: TableSource) -> None:
        """Adopt a configuration newer than the one in force."""
        if row.key != self.key or row.is_removed:
            return
        decoded = self.state.wire.decode_configuration(bytes(row.content))
        if not isinstance(decoded, Success):
            self.state.log.write(
                'configuration-unreadable',
                row_version=row.version,
                problem=decoded.failure(),
            )
            return
        configuration = decoded.unwrap()
        if self.state.routing_table.adopt(configuration):
            self.state.count_event('configuration-adopted', source.kind)
            self.state.log.write(
                'configuration-adopted',
                version=configuration.version,
                row_version=row.version,
                rules=len(configuration.rules),
                accounts=len(configuration.accounts),
                **source.describe(),
            )


class RegistryConsumer:
    """Keeps the fleet in step with the endpoint registry.

    Entries expire during a store outage, and live endpoints register again
    shortly after it.  Missing endpoints are therefore retained for that time.
    """

    __slots__ = ('missing', 'retained_until', 'state', 'table')

    def __init__(self, state: IngressState, table: str) -> None:
        self.state = state
        self.table = table
        self.missing: set[str] = set()
        self.retained_until = 0

    def handle_store_return(self) -> None:
        """Retain missing endpoints for a while after a store outage."""
        self._retain_until(time.monotonic() + RETENTION_SECONDS)

    def retain(self, keys: Collection[str], source: TableSource) -> None:
        """Apply the complete list; endpoints not listed are missing."""
        for endpoint_id in list(self.state.fleet.endpoints):
            if endpoint_id not in keys:
                self._mark_missing(endpoint_id, source)

    def apply_change(self, row: TableRow, source: TableSource) -> None:
        """Apply an entry; one that cannot be decoded drops its endpoint."""
        if row.is_removed:
            self._mark_missing(row.key, source)
            return
        decoded = self.state.wire.decode_endpoint(row.key, bytes(row.content))
        if not isinstance(decoded, Success):
            self._report_unreadable(row, decoded.failure())
            self._drop(row.key, 'unreadable')
            return
        endpoint = decoded.unwrap()
        self.missing.discard(endpoint.endpoint_id)
        known = self.state.fleet.endpoints.get(endpoint.endpoint_id)
        if known is not None and endpoint.born > known.born:
            self.state.part_watch.record_engine_end(known, 'started again')
        self.state.part_watch.record_listed(endpoint)
        if self.state.fleet.put(endpoint):
            self.state.queues.wake()
            self.state.log.write(
                'endpoint',
                endpoint=endpoint.endpoint_id,
                address=endpoint.address,
                leaving=endpoint.is_leaving,
                layers=endpoint.layers.describe() if endpoint.layers else '',
                row_version=row.version,
                **source.describe(),
            )

    def _report_unreadable(self, row: TableRow, problem: str) -> None:
        """Report an entry that names no endpoint to use."""
        self.state.count_event('entry-unreadable')
        self.state.log.write(
            'entry-unreadable',
            endpoint=row.key,
            row_version=row.version,
            problem=problem[:MAX_LOGGED_PROBLEM],
        )

    def _retain_until(self, until: float) -> None:
        if until > self.retained_until:
            self.retained_until = until
            wait_seconds = until - time.monotonic()
            eventlet.spawn_after(wait_seconds, self._drop_missing)

    def _mark_missing(self, endpoint_id: str, source: TableSource) -> None:
        # A failed call of any component counts: the store may only just
        # have returned.
        self._retain_until(self.state.store_failed_at + RETENTION_SECONDS)
        now = time.monotonic()
        if now < self.retained_until:
            self.missing.add(endpoint_id)
            self.state.count_event('endpoint-missing', source.kind)
            self.state.log.write(
                'endpoint-missing',
                endpoint=endpoint_id,
                kept_seconds=round(self.retained_until - now, 3),
                store_failed_ago=_describe_age(self.state.store_failed_at, now),
                **source.describe(),
            )
            return
        self._drop(endpoint_id, 'removed')

    def _drop_missing(self) -> None:
        if time.monotonic() < self.retained_until:
            return
        for endpoint_id in self.missing:
            self._drop(endpoint_id, 'not registered again after store outage')
        self.missing.clear()

    def _drop(self, endpoint_id: str, reason: str) -> None:
        if self.state.fleet.drop(endpoint_id) is not None:
            self.state.queues.wake()
            self.state.count_event('endpoint-gone', reason)
            self.state.log.write(
                'endpoint-gone',
                endpoint=endpoint_id,
                reason=reason,
            )


def _describe_age(at: float, now: float) -> float | None:
    """Return for the log how long ago a time was, None if it never was."""
    return None if at == -math.inf else round(now - at, 3)
