"""The policy of nodes with queues, ranks, reservation and expected times.

All decisions are those of the core.  What nodes do around them on sockets is
modelled here: when a queue is looked at, and how long a stream waits.
"""

from functools import partial

from wigeonspoke.bench.line.fleet import HOST, SERVICE
from wigeonspoke.bench.line.host import LineHost
from wigeonspoke.bench.line.streams import MAX_GAP_SECONDS, LineStream
from wigeonspoke.core.admission import (
    ChainLoad,
    FairQueue,
    QueuedRequest,
    RankReservation,
    ReturningClients,
    SizeClasses,
    StartRate,
)
from wigeonspoke.core.chains import Chain, RequestDemand
from wigeonspoke.core.routing import Rule

# Copies of the values in `wigeonspoke.ingress`, whose modules need sockets and
# are not imported here.
WAIT_FRACTION = 0.6
CHECK_SECONDS = 0.05
MAX_PASSED_OVER = 4
MAX_QUEUED = 512
MAX_ATTEMPTS = 5
RETRY_AFTER_SECONDS = 1.2
RETRY_AFTER_JITTER_SECONDS = 1.2
CLIENT_GAP_SECONDS = 2.0
RETRY_SPREAD = 0.5
MAX_RETRY_PART = 1 / 3


class Waiting:
    """A stream that is at a host, and its entry in the queue."""

    __slots__ = (
        'arrived_at',
        'attempts',
        'entry',
        'size',
        'stream',
        'waits_since',
    )

    def __init__(self, stream: LineStream, size: str, now: float) -> None:
        self.size = size
        self.stream = stream
        self.arrived_at = now
        self.attempts = 0
        self.waits_since = now
        self.entry: QueuedRequest | None = None


class QueuePolicy:
    """One queue for each host, woken by changes.

    ``waiting`` holds the queued streams by their number.
    """

    __slots__ = (
        'fair',
        'host',
        'is_checked',
        'rate',
        'reservation',
        'returning',
        'sizes',
        'waiting',
    )

    def __init__(self, host: LineHost) -> None:
        self.host = host
        self.fair = FairQueue()
        self.rate = StartRate()
        self.reservation = RankReservation()
        self.returning = ReturningClients()
        self.sizes: dict[str, SizeClasses] = {}
        self.waiting: dict[str, Waiting] = {}
        self.is_checked = False

    def submit(self, stream: LineStream) -> None:
        """Send a stream at once if none waits, or queue it."""
        host = self.host
        if not stream.events:
            host.budget.record_request(host.now)
            self.reservation.record_arrival(self._rank(stream), host.now)
        sizes = self.sizes.setdefault(stream.kind.name, SizeClasses())
        size = sizes.classify(stream.tokens)
        self._wait(Waiting(stream, size, host.now))

    def cancel(self, stream: LineStream) -> None:
        """Forget a stream."""
        self._leave(str(stream.number))

    def notice_change(self) -> None:
        """Start streams that can start now."""
        if self.waiting:
            self._dispatch()

    def has_unreserved_room(self, stream: LineStream) -> bool:
        """Return whether a known chain has room that is not reserved."""
        reserved = self._reserved(self._rank(stream))
        return any(
            self.host.has_room(chain, reserved)
            for chain in self.host.known_chains()
            if chain.endpoint_ids.isdisjoint(stream.excluded)
        )

    def queue_length(self) -> int:
        """Return the number of streams that wait."""
        return len(self.waiting)

    def _wait(self, waiting: Waiting) -> None:
        """Send a stream, or let it wait for a limited time."""
        now = self.host.now
        waiting.waits_since = now
        waiting.entry = self._make_entry(waiting, now)
        if not self.waiting:
            chain = self._select(waiting, is_first=False)
            if chain is not None:
                if not waiting.entry.is_requeued:
                    self.fair.record_direct(waiting.entry, now)
                self._send(waiting, chain)
                return
        self._enter(waiting, now)

    def _make_entry(self, waiting: Waiting, now: float) -> QueuedRequest:
        stream = waiting.stream
        longest = WAIT_FRACTION * stream.kind.target
        entry = QueuedRequest(
            str(stream.number),
            stream.kind.account_name,
            0 if waiting.attempts else stream.tokens,
            now + longest,
            self._rank(stream),
            stream.kind.name,
            waiting.size,
        )
        entry.queued_at = now
        entry.is_requeued = bool(stream.events)
        if not waiting.attempts:
            entry.place = self.returning.place(
                _client_key(entry), entry.deadline, now
            )
        return entry

    def _enter(self, waiting: Waiting, now: float) -> None:
        if len(self.waiting) >= MAX_QUEUED:
            self._refuse(waiting)
            return
        entry = waiting.entry
        expected = self._expected_wait(entry)
        self.waiting[entry.request_id] = waiting
        if entry.is_requeued:
            self.fair.requeue(entry)
        else:
            self.fair.push(entry, 1, now)
        self.rate.record_length(len(self.waiting), now)
        self._dispatch()
        if self.waiting.get(entry.request_id) is not waiting:
            return
        if expected is not None and now + expected > entry.deadline:
            self._leave(entry.request_id)
            self._refuse(waiting)
            return
        scheduler = self.host.scheduler
        scheduler.call_later(entry.deadline - now, self._end_wait, waiting, now)
        if self.waiting and not self.is_checked:
            self.is_checked = True
            scheduler.call_later(CHECK_SECONDS, self._check)

    def _leave(self, request_id: str) -> None:
        self.fair.remove(request_id)
        if self.waiting.pop(request_id, None) is not None:
            self.rate.record_length(len(self.waiting), self.host.now)

    def _check(self) -> None:
        """Check at intervals for changes without an event."""
        self.is_checked = bool(self.waiting) and self.host.is_alive
        if self.is_checked:
            self._dispatch()
            self.host.scheduler.call_later(CHECK_SECONDS, self._check)

    def _dispatch(self) -> None:
        """Start the streams that can start, in their order."""
        passed_over: list[QueuedRequest] = []
        while len(passed_over) < MAX_PASSED_OVER:
            entry = self.fair.pop()
            if entry is None:
                break
            if not self._start(entry):
                passed_over.append(entry)
        for entry in reversed(passed_over):
            self.fair.put_back(entry)

    def _start(self, entry: QueuedRequest) -> bool:
        waiting = self.waiting[entry.request_id]
        chain = self._select(waiting, is_first=self.fair.is_starved(entry))
        if chain is None:
            return False
        self.fair.record_start(entry, self.host.now)
        self.rate.record_start(entry.rank, self.host.now)
        self._leave(entry.request_id)
        self._send(waiting, chain)
        return True

    def _end_wait(self, waiting: Waiting, since: float) -> None:
        """End a wait; a late stream may take what no other one waits for."""
        request_id = waiting.entry.request_id
        is_current = waiting.waits_since == since
        if not is_current or self.waiting.get(request_id) is not waiting:
            return
        self._leave(request_id)
        now = self.host.now
        is_wanted = now < waiting.arrived_at + CLIENT_GAP_SECONDS
        chain = None
        if is_wanted and not self.waiting and not waiting.attempts:
            chain = self._select(waiting, is_first=True)
        if chain is None:
            self._refuse(waiting)
        else:
            self._send(waiting, chain)

    def _send(self, waiting: Waiting, chain: Chain) -> None:
        host = self.host
        if waiting.attempts and not host.budget.withdraw(host.now):
            self._refuse(waiting)
            return
        stream = waiting.stream
        rank = self._rank(stream)
        self.reservation.record_start(chain.head.endpoint_id, host.now)
        if host.send(
            stream,
            chain,
            self._demand(waiting),
            host.routing_table.ranks.urgency(SERVICE, rank),
        ):
            return
        waiting.attempts += 1
        if waiting.attempts < MAX_ATTEMPTS:
            # As a stream at a node does, it waits for a new turn.
            host.scheduler.call_later(0, self._wait_again, waiting)
        else:
            self._refuse(waiting)

    def _wait_again(self, waiting: Waiting) -> None:
        if self.host.is_alive and not waiting.stream.is_ended:
            self._wait(waiting)

    def _refuse(self, waiting: Waiting) -> None:
        entry = waiting.entry
        retry_after = self._find_retry_after(waiting)
        if retry_after is None:
            jitter = RETRY_AFTER_JITTER_SECONDS * self.host.rng.random()
            retry_after = RETRY_AFTER_SECONDS + jitter
        else:
            self.returning.record_refusal(
                _client_key(entry), retry_after, entry.place, self.host.now
            )
        self.host.refuse(waiting.stream, retry_after)

    def _expected_wait(self, entry: QueuedRequest) -> float | None:
        ahead = self.fair.count_ahead(entry.rank, entry.account)
        return self.rate.expected_wait(ahead, entry.rank, self.host.now)

    def _find_retry_after(self, waiting: Waiting) -> float | None:
        host = self.host
        entry = waiting.entry
        expected = self._expected_wait(entry)
        if expected is None:
            return None
        # One start more, for the stream itself.
        own = self.rate.expected_wait((0, 1), entry.rank, host.now) or 0
        spread = 1 + RETRY_SPREAD * host.rng.random()
        left = max(0, waiting.stream.deadline - host.scheduler.now)
        return min((expected + own) * spread, MAX_RETRY_PART * left)

    def _select(self, waiting: Waiting, *, is_first: bool) -> Chain | None:
        host = self.host
        stream = waiting.stream
        admits = None
        if host.routing_table.ranks.differs(SERVICE):
            is_held_back = not is_first and not stream.events
            reserved = 0
            if is_held_back:
                reserved = self._reserved(self._rank(stream))
            admits = partial(self._is_admitted, waiting, reserved)
        return host.selector.select(
            SERVICE,
            host.profile,
            stream.excluded,
            host.now,
            self._demand(waiting),
            admits,
        )

    def _is_admitted(
        self,
        waiting: Waiting,
        reserved: float,
        chain: Chain,
        streams: int,
        capacity: float,
    ) -> bool:
        now = self.host.now
        head_id = chain.head.endpoint_id
        limit = self.host.selector.concurrency_limits.limit(head_id, now)
        load = ChainLoad(head_id, streams, min(capacity, limit))
        return self.reservation.is_admitted(
            load, reserved, waiting.waits_since, now
        )

    def _reserved(self, rank: int) -> float:
        host = self.host
        if not host.routing_table.ranks.differs(SERVICE):
            return 0
        return self.reservation.reserved(
            rank, host.live_hosts, len(host.known_chains()), host.now
        )

    def _demand(self, waiting: Waiting) -> RequestDemand:
        stream = waiting.stream
        left = waiting.arrived_at + stream.kind.target - self.host.now
        return RequestDemand(
            stream.prompt,
            stream.hint,
            left,
            MAX_GAP_SECONDS,
        )

    def _rank(self, stream: LineStream) -> int:
        host = self.host
        rule = self._rule(stream)
        ranks = host.routing_table.ranks
        return ranks.rank(SERVICE, rule, stream.kind.account_name)

    def _rule(self, stream: LineStream) -> Rule:
        table = self.host.routing_table
        return table.find_rule(HOST, f'/{stream.kind.name}/')


def _client_key(entry: QueuedRequest) -> tuple[str, str]:
    return entry.account, entry.request_id
