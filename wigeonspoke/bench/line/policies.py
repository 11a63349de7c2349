"""The policies that are compared."""

from wigeonspoke.bench.line.fleet import SERVICE
from wigeonspoke.bench.line.host import LineHost
from wigeonspoke.bench.line.streams import LineStream
from wigeonspoke.core.chains import Chain

NAIVE_RETRY_AFTER_SECONDS = 1.0
# Values of the ingress node at commit 362f75a, where each waiting stream polled
# for a chain.
FULL_CHAIN_WAIT_FRACTION = 0.6
CHAIN_POLL_SECONDS = 0.02
MAX_ATTEMPTS = 5
RETRY_AFTER_SECONDS = 1.2
RETRY_AFTER_JITTER_SECONDS = 1.2


class NaivePolicy:
    """Sends each stream to a random chain; refuses it if that is full."""

    __slots__ = ('host',)

    def __init__(self, host: LineHost) -> None:
        self.host = host

    def submit(self, stream: LineStream) -> None:
        """Send a stream to a random chain."""
        chains = self.host.known_chains()
        chain = self.host.rng.choice(chains) if chains else None
        if chain is None or not self.host.send(stream, chain):
            self.host.refuse(stream, NAIVE_RETRY_AFTER_SECONDS)

    def cancel(self, stream: LineStream) -> None:
        """Do nothing: no stream waits."""

    def notice_change(self) -> None:
        """Do nothing: no stream waits."""

    def has_unreserved_room(self, stream: LineStream) -> bool:
        """Return whether a known chain has room."""
        return any(map(self.host.has_room, self.host.known_chains()))

    def queue_length(self) -> int:
        """Return 0: no stream waits."""
        return 0


class PollingPolicy:
    """Lets each stream look for a chain with room by itself.

    This is what nodes did before they had queues.  The choice of the chain is
    that of the core.
    """

    __slots__ = ('host', 'waiting')

    def __init__(self, host: LineHost) -> None:
        self.host = host
        # Attempts of the streams that wait, by their number.
        self.waiting: dict[int, int] = {}

    def submit(self, stream: LineStream) -> None:
        """Look for a chain, and again every 20 ms."""
        if not stream.events:
            self.host.budget.record_request(self.host.now)
        self.waiting[stream.number] = 0
        self._look(stream, self.host.now)

    def cancel(self, stream: LineStream) -> None:
        """Forget a stream."""
        self.waiting.pop(stream.number, None)

    def notice_change(self) -> None:
        """Do nothing: each stream looks by itself."""

    def has_unreserved_room(self, stream: LineStream) -> bool:
        """Return whether a known chain has room."""
        return any(map(self.host.has_room, self.host.known_chains()))

    def queue_length(self) -> int:
        """Return the number of streams that wait."""
        return len(self.waiting)

    def _look(self, stream: LineStream, since: float) -> None:
        host = self.host
        if stream.number not in self.waiting or not host.is_alive:
            return
        chain = host.selector.select(
            SERVICE, host.profile, stream.excluded, host.now
        )
        if chain:
            self._send(stream, chain, since)
        elif host.now >= since + FULL_CHAIN_WAIT_FRACTION * stream.kind.target:
            self._refuse(stream)
        else:
            self._look_later(stream, since)

    def _look_later(self, stream: LineStream, since: float) -> None:
        scheduler = self.host.scheduler
        scheduler.call_later(CHAIN_POLL_SECONDS, self._look, stream, since)

    def _send(self, stream: LineStream, chain: Chain, since: float) -> None:
        attempts = self.waiting[stream.number]
        if attempts and self._is_spent(attempts):
            self._refuse(stream)
        elif self.host.send(stream, chain):
            self.waiting.pop(stream.number)
        else:
            # Each attempt waits anew.
            self.waiting[stream.number] = attempts + 1
            self._look(stream, self.host.now)

    def _is_spent(self, attempts: int) -> bool:
        """Return whether a stream may not be sent once more."""
        if attempts >= MAX_ATTEMPTS:
            return True
        return not self.host.budget.withdraw(self.host.now)

    def _refuse(self, stream: LineStream) -> None:
        self.waiting.pop(stream.number)
        jitter = RETRY_AFTER_JITTER_SECONDS * self.host.rng.random()
        self.host.refuse(stream, RETRY_AFTER_SECONDS + jitter)
