"""Consumers of the store's tables: configuration and endpoint registry."""

import math
import time
from collections.abc import Collection, Mapping
from typing import Protocol

import eventlet
from returns.result import Success

from wigeonspoke.core.fleet import Endpoint, MissingEntries
from wigeonspoke.ingress.state import IngressState
from wigeonspoke.ingress.tables.table_source import TableSource
from wigeonspoke.store import TableRow

# Characters of a problem that are logged; it may quote the entry.
MAX_LOGGED_PROBLEM = 200
# Why an endpoint is dropped whose entry the registry has removed.
REMOVED = 'removed'


class TableConsumer(Protocol):
    """Receives the rows of a table."""

    table: str

    def kept_seconds(self) -> Mapping[str, float]:
        """Return for how long each missing row may still be back."""

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

    def kept_seconds(self) -> Mapping[str, float]:
        """Return nothing: a configuration does not lapse in an outage."""
        return {}

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
    shortly after it.  Endpoints whose entries are missing after an outage are
    therefore kept for that time; others are dropped at once.
    """

    __slots__ = ('due_at', 'missing', 'state', 'table')

    def __init__(self, state: IngressState, table: str) -> None:
        self.state = state
        self.table = table
        self.missing = MissingEntries()
        # When missing endpoints are dropped next.
        self.due_at = math.inf

    def kept_seconds(self) -> Mapping[str, float]:
        """Return for how long each missing endpoint is still kept."""
        return self.missing.remaining(time.monotonic())

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
        if known is not None and _is_next_run(endpoint, known):
            self.state.part_watch.record_engine_end(known, 'started again')
        self.state.part_watch.record_listed(endpoint)
        is_newest = not source.may_be_older
        if self.state.fleet.put(endpoint, is_newest=is_newest):
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

    def _mark_missing(self, endpoint_id: str, source: TableSource) -> None:
        """Drop an endpoint, or keep it while its entry may be back."""
        now = time.monotonic()
        seconds = self._retention_seconds(endpoint_id, source, now)
        if not seconds:
            self._drop(endpoint_id, REMOVED)
            return
        self.missing.keep(endpoint_id, now + seconds)
        self._schedule_drop(now + seconds)
        outages = self.state.store_outages
        self.state.count_event('endpoint-missing', source.kind)
        self.state.log.write(
            'endpoint-missing',
            endpoint=endpoint_id,
            kept_seconds=round(seconds, 3),
            store_away_ago=_describe_age(outages.seconds_since(now)),
            store_failed_ago=_describe_age(now - outages.failed_at),
            **source.describe(),
        )

    def _retention_seconds(
        self, endpoint_id: str, source: TableSource, now: float
    ) -> float:
        """Return for how long an entry that is missing may be back.

        A peer that has read the store knows whether it was away; what this
        node knows of the store counts only for what it reads itself.
        """
        if source.retention is not None:
            return source.retention.seconds(endpoint_id)
        return self.state.store_outages.retention_seconds(now)

    def _schedule_drop(self, due_at: float) -> None:
        """Drop missing endpoints at a time, unless that is done sooner."""
        if due_at < self.due_at:
            self.due_at = due_at
            wait_seconds = max(0, due_at - time.monotonic())
            eventlet.spawn_after(wait_seconds, self._drop_missing)

    def _drop_missing(self) -> None:
        for endpoint_id in self.missing.take_due(time.monotonic()):
            self._drop(endpoint_id, 'not registered again after store outage')
        self.due_at = math.inf
        self._schedule_drop(self.missing.next_due_at)

    def _drop(self, endpoint_id: str, reason: str) -> None:
        self.missing.discard(endpoint_id)
        dropped = self.state.fleet.drop(endpoint_id)
        if dropped is not None:
            if reason == REMOVED:
                now = time.monotonic()
                self.state.fleet.record_removal(dropped.start_id, now)
            self.state.queues.wake()
            self.state.count_event('endpoint-gone', reason)
            self.state.log.write(
                'endpoint-gone',
                endpoint=endpoint_id,
                reason=reason,
            )


def _is_next_run(endpoint: Endpoint, known: Endpoint) -> bool:
    """Return whether an entry tells of a later start of an endpoint.

    One that names another service comes from another writer.
    """
    return endpoint.born > known.born and endpoint.service == known.service


def _describe_age(seconds: float) -> float | None:
    """Return a time for the log, None if it is infinite."""
    return None if seconds == math.inf else round(seconds, 3)
