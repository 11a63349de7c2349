"""The wait of one request for its turn to use capacity of a service."""

import time
from collections.abc import Callable
from functools import partial

from wigeonspoke.core.admission import QueuedRequest
from wigeonspoke.core.quarantine import request_key
from wigeonspoke.ingress.requests.request_handler import RequestContext
from wigeonspoke.ingress.requests.waiting_queue import Target, Waiter
from wigeonspoke.ingress.state import IngressState

# A client abandons a stream that is silent for this long.
CLIENT_GAP_SECONDS = 2.0
# Retry-After is lengthened at random by up to this fraction, so that clients
# don't return together.
RETRY_SPREAD = 0.5
# Retry-After is no shorter than this: a chain that has failed takes some
# seconds to be complete again, and a client that returns sooner is refused.
MIN_RETRY_SECONDS = 1.2
MIN_RETRY_SPREAD = 1.0
# A client returns only if Retry-After is at most this part of its time left.
MAX_RETRY_PART = 1 / 3


class Turn:
    """Takes one request through the queue of its service.

    ``refusal`` is why the last wait ended without a target, '' if it did not
    or the client has gone.  ``retry_after`` goes with it; it is None if
    it is not known when there will be capacity.
    """

    __slots__ = (
        'context',
        'has_arrived',
        'queue',
        'refusal',
        'retry_after',
        'service',
        'size',
        'state',
    )

    def __init__(
        self, state: IngressState, context: RequestContext, service: str
    ) -> None:
        self.state = state
        self.context = context
        self.service = service
        self.queue = state.queues.of_service(service)
        self.size = state.queues.size_class(
            context.rule.name, context.request.tokens
        )
        self.has_arrived = False
        self.refusal = ''
        self.retry_after: float | None = None

    def make_entry(self, deadline: float, now: float) -> QueuedRequest:
        """Return the entry of the request for one wait.

        One that may have begun precedes others, since it would be lost with
        what its client has received.  Only the first wait is charged.
        """
        context = self.context
        entry = QueuedRequest(
            str(next(self.state.queues.numbers)),
            context.account,
            0 if self.has_arrived else max(1, context.request.tokens),
            deadline,
            self.state.routing_table.ranks.rank(
                self.service, context.rule, context.account
            ),
            context.rule.name,
            self.size,
        )
        entry.queued_at = now
        entry.is_requeued = bool(context.possible_executions)
        if not self.has_arrived:
            entry.place = self.state.queues.returning.place(
                self._client_key, deadline, now
            )
        self.has_arrived = True
        return entry

    def take(
        self, waiter: Waiter, wait_until: Callable[[], float]
    ) -> Target | None:
        """Return a target for the request, None if its wait is over.

        ``wait_until`` returns the time until which the request may wait.
        """
        now = time.monotonic()
        self.refusal = ''
        target = self.queue.try_direct(waiter, now)
        if target is not None:
            return target
        if self.state.queues.is_full:
            return self._refuse(waiter, 'queue-full', now)
        expected = self.queue.expected_wait(waiter.entry, now)
        self.queue.enter(waiter, now)
        try:
            if expected is not None and now + expected > wait_until():
                reason = 'queue-too-long'
            else:
                reason = 'wait-over'
                self._wait(waiter, wait_until)
        finally:
            self.queue.leave(waiter)
            target = waiter.take()
        if target is None and reason == 'wait-over':
            target = self._take_unwanted(waiter)
        if target is None:
            return self._refuse(waiter, reason, now)
        self._note(waiter, 'waited', now)
        return target

    def _wait(self, waiter: Waiter, wait_until: Callable[[], float]) -> None:
        """Wait for a target, until the client leaves or the wait is over."""
        monitor = self.context.disconnect_monitor
        on_disconnect = monitor.on_disconnect
        monitor.on_disconnect = partial(
            _wake_disconnected, waiter, on_disconnect
        )
        try:
            while not waiter.event.ready() and not monitor.is_disconnected:
                seconds = wait_until() - time.monotonic()
                if seconds <= 0:
                    break
                waiter.event.wait(timeout=seconds)
        finally:
            monitor.on_disconnect = on_disconnect

    def _take_unwanted(self, waiter: Waiter) -> Target | None:
        """Return capacity that no other request waits for, once per request.

        The request is late by now, but its client still waits.
        """
        now = time.monotonic()
        is_wanted = now < self.context.arrived_at + CLIENT_GAP_SECONDS
        is_gone = self.context.disconnect_monitor.is_disconnected
        if self.queue.waiters or is_gone or not is_wanted:
            return None
        if now >= self.context.deadline or self.context.attempts:
            return None
        return waiter.select(now, True)

    def _refuse(self, waiter: Waiter, reason: str, since: float) -> None:
        if self.context.disconnect_monitor.is_disconnected:
            self._note(waiter, 'wait-abandoned', since)
            return
        now = time.monotonic()
        self.refusal = reason
        self.retry_after = self._find_retry_after(waiter.entry, now)
        if self.retry_after is not None:
            self.state.queues.returning.record_refusal(
                self._client_key, self.retry_after, waiter.entry.place, now
            )
        rank = waiter.entry.rank
        self.state.count_event('queue-refused', f'{reason} rank {rank}')
        self._note(
            waiter,
            'queue-refused',
            since,
            reason=reason,
            retry_after=self.retry_after,
        )

    def _find_retry_after(
        self, entry: QueuedRequest, now: float
    ) -> float | None:
        expected = self.queue.expected_wait(entry, now)
        if expected is None:
            return None
        # One start more, for the request itself.
        own = self.queue.rate.expected_wait((0, 1), entry.rank, now) or 0
        spread = 1 + RETRY_SPREAD * self.state.rng.random()
        longest = MAX_RETRY_PART * max(0, self.context.deadline - now)
        least_spread = 1 + MIN_RETRY_SPREAD * self.state.rng.random()
        least = MIN_RETRY_SECONDS * least_spread
        return min(max(least, (expected + own) * spread), longest)

    @property
    def _client_key(self) -> tuple[str, str]:
        """Key by which a request is known again when its client returns.

        Each attempt of a client has a request id of its own.
        """
        request = self.context.request
        account = self.context.account
        key = request_key(
            self.service, request.method, request.target, account, request.body
        )
        return (account, key)

    def _note(
        self, waiter: Waiter, kind: str, since: float, **facts: object
    ) -> None:
        now = time.monotonic()
        entry = waiter.entry
        if kind != 'queue-refused':
            self.state.count_event(kind, f'rank {entry.rank}')
        self.state.log.write(
            kind,
            request=self.context.request.request_id,
            rule=self.context.rule.name,
            version=self.state.routing_table.version,
            tries=self.context.attempts,
            rank=entry.rank,
            waited=round(now - since, 3),
            queue=len(self.queue.waiters),
            **facts,
        )


def _wake_disconnected(
    waiter: Waiter, on_disconnect: Callable[[], None] | None
) -> None:
    waiter.wake()
    if on_disconnect is not None:
        on_disconnect()
