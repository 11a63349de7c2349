"""Load of two ranks at many hosts whose news of each other is old."""

import heapq
import random
from collections import Counter

import pytest

from wigeonspoke.core.admission import (
    ChainLoad,
    FairQueue,
    QueuedRequest,
    RankReservation,
)

SECONDS = 60
WAIT_SECONDS = 0.3
# Two chains of six slots serve 18 streams a second.
CHAINS = ('c0', 'c1')
SLOTS = 6
STREAM_SECONDS = len(CHAINS) * SLOTS / 18
NEWS_SECONDS = 0.7
LOOK_SECONDS = 0.05
RATES = {0: 8, 2: 40}


class Hosts:
    """Hosts with a queue each; the chains refuse what exceeds their slots."""

    def __init__(self, count, seed):
        self.rng = random.Random(seed)
        self.count = count
        self.queues = [FairQueue() for _ in range(count)]
        self.reservations = [RankReservation() for _ in range(count)]
        self.own = [Counter() for _ in range(count)]
        self.heard = [[Counter()] * count for _ in range(count)]
        self.events = []
        self.asked = Counter()
        self.served = Counter()

    def run(self):
        """Return the share served of each rank."""
        for each in RATES:
            self._at(self.rng.random() / 10, self._arrive, each)
        for host in range(self.count):
            self._at(self.rng.random() * NEWS_SECONDS, self._tell, host)
            self._at(self.rng.random() * LOOK_SECONDS, self._look, host)
        while self.events[0][0] < SECONDS:
            now, _, action, argument = heapq.heappop(self.events)
            action(argument, now)
        return {rank: self.served[rank] / self.asked[rank] for rank in RATES}

    def _at(self, when, action, argument):
        heapq.heappush(self.events, (when, self.rng.random(), action, argument))

    def _arrive(self, rank, now):
        self._at(now + self.rng.expovariate(RATES[rank]), self._arrive, rank)
        host = self.rng.randrange(self.count)
        self.asked[rank] += 1
        request = QueuedRequest(
            f'r{sum(self.asked.values())}', 'a', 800, now + WAIT_SECONDS, rank
        )
        request.queued_at = now
        self.reservations[host].record_arrival(rank, now)
        self.queues[host].push(request, 1, now)
        self._dispatch(host, now)

    def _tell(self, host, now):
        self._at(now + NEWS_SECONDS, self._tell, host)
        for heard in self.heard:
            heard[host] = Counter(self.own[host])

    def _look(self, host, now):
        self._at(now + LOOK_SECONDS, self._look, host)
        self._dispatch(host, now)

    def _end(self, where, now):
        host, chain = where
        self.own[host][chain] -= 1
        self._dispatch(host, now)

    def _dispatch(self, host, now):
        queue = self.queues[host]
        queue.pop_expired(now)
        passed_over = []
        while queue.queued and len(passed_over) < 4:
            request = queue.pop()
            if not self._start(host, request, now):
                passed_over.append(request)
        for request in reversed(passed_over):
            queue.put_back(request)

    def _start(self, host, request, now):
        queue = self.queues[host]
        reservation = self.reservations[host]
        reserved = 0
        if not queue.is_starved(request):
            reserved = reservation.reserved(
                request.rank, self.count, len(CHAINS), now
            )
        loads = [
            ChainLoad(chain, self._streams(host, chain), SLOTS)
            for chain in CHAINS
        ]
        usable = [
            load
            for load in loads
            if reservation.is_admitted(load, reserved, request.queued_at, now)
        ]
        if not usable:
            return False
        chain = min(usable, key=lambda load: load.streams).head_id
        if sum(own[chain] for own in self.own) >= SLOTS:
            # The chain refuses; the request stays in the queue.
            return False
        reservation.record_start(chain, now)
        queue.record_start(request, now)
        self.own[host][chain] += 1
        self.served[request.rank] += 1
        self._at(now + STREAM_SECONDS, self._end, (host, chain))
        return True

    def _streams(self, host, chain):
        others = sum(
            heard[chain]
            for other, heard in enumerate(self.heard[host])
            if other != host
        )
        return self.own[host][chain] + others


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('hosts', [1, 6, 24])
def test_the_urgent_of_two_ranks_is_served_at_many_hosts(hosts, seed):
    shares = Hosts(hosts, seed).run()
    assert shares[0] * 100 >= 95


@pytest.mark.parametrize('hosts', [1, 6, 24])
def test_the_less_urgent_rank_does_not_starve_at_many_hosts(hosts):
    model = Hosts(hosts, 1)
    shares = model.run()
    mean = sum(model.served.values()) / sum(model.asked.values())
    assert shares[2] >= mean / 4
