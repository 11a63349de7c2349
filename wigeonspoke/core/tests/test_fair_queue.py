"""Tests of the order in a queue: ranks, accounts, time left, starvation."""

import random

import pytest

from wigeonspoke.core.admission import FairQueue, QueuedRequest
from wigeonspoke.core.admission.served_shares import MIN_SHARE, MIN_SIZE_SHARE

SECONDS = 60
WAIT_SECONDS = 0.3


def serve(arrivals, starts_per_second, seed=1):
    """Return the share served, by class, of arrivals at random times.

    ``arrivals`` maps (rank, account, size) to requests per second; a request
    waits for ``WAIT_SECONDS``.
    """
    rng = random.Random(seed)
    kinds = list(arrivals)
    rate = sum(arrivals.values())
    queue = FairQueue()
    asked = dict.fromkeys(kinds, 0)
    served = dict.fromkeys(kinds, 0)
    kind_of = {}
    now = 0
    next_start = 0
    while now < SECONDS:
        now += rng.expovariate(rate)
        while next_start < now:
            next_start += 1 / starts_per_second
            queue.pop_expired(next_start)
            started = queue.pop()
            if started:
                queue.record_start(started, next_start)
                served[kind_of.pop(started.request_id)] += 1
        kind = rng.choices(kinds, weights=list(arrivals.values()))[0]
        rank, account, size = kind
        work = {'large': 8000, 'medium': 2000}.get(size, 800)
        request = QueuedRequest(
            f'{sum(asked.values())}',
            account,
            work,
            now + WAIT_SECONDS,
            rank,
            'r',
            size,
        )
        asked[kind] += 1
        kind_of[request.request_id] = kind
        queue.push(request, 1, now)
    return {kind: served[kind] / asked[kind] for kind in kinds}, served, asked


@pytest.mark.parametrize('seed', range(4))
def test_the_urgent_of_two_ranks_is_served(seed):
    shares, _, _ = serve({(0, 'a', ''): 8, (2, 'a', ''): 40}, 18, seed)
    assert shares[0, 'a', ''] * 100 >= 95


@pytest.mark.parametrize('seed', range(4))
def test_a_small_account_is_served_beside_a_large_one(seed):
    shares, _, _ = serve({(0, 'a', ''): 4, (0, 'b', ''): 44}, 18, seed)
    assert shares[0, 'a', ''] * 100 >= 95


@pytest.mark.parametrize(
    ('arrivals', 'least'),
    [
        # Urgent requests alone exceed the capacity.
        ({(0, 'a', ''): 40, (1, 'a', ''): 8}, MIN_SHARE),
        ({(0, 'a', ''): 40, (1, 'a', ''): 2, (2, 'b', ''): 8}, MIN_SHARE),
        # Large requests cost their account its turns.
        (
            {
                (0, 'a', ''): 30,
                (0, 'b', 'medium'): 8,
                (0, 'b', 'large'): 4,
            },
            MIN_SHARE,
        ),
    ],
)
def test_none_starves(arrivals, least):
    shares, served, asked = serve(arrivals, 18)
    mean = sum(served.values()) / sum(asked.values())
    assert min(shares.values()) >= least * mean


def test_no_size_class_starves():
    arrivals = {
        (0, 'a', ''): 34,
        (0, 'b', 'medium'): 9,
        (0, 'b', 'large'): 5,
    }
    shares, served, asked = serve(arrivals, 18)
    mean = sum(served.values()) / sum(asked.values())
    assert min(shares.values()) >= MIN_SIZE_SHARE * mean


def push(queue, name, account='a', rank=0, place=None, deadline=9):
    request = QueuedRequest(name, account, 10, deadline, rank)
    if place is not None:
        request.place = place
    queue.push(request, 1, 0)
    return request


def names(queue):
    found = []
    while request := queue.pop():
        found.append(request.request_id)
    return found


def test_time_left_orders_the_requests_of_an_account():
    queue = FairQueue()
    for number, deadline in enumerate((7, 5, 6)):
        push(queue, f'r{number}', deadline=deadline)
    assert names(queue) == ['r1', 'r2', 'r0']


def test_time_left_orders_accounts_with_the_same_recent_work():
    queue = FairQueue()
    push(queue, 'r0', deadline=7)
    push(queue, 'r1', account='b', deadline=5)
    push(queue, 'r2', deadline=4)
    assert names(queue) == ['r2', 'r1', 'r0']


def test_a_request_that_cannot_start_keeps_its_turn():
    queue = FairQueue()
    for number in range(4):
        push(queue, f'r{number}', account='ab'[number % 2])
    first = queue.pop()
    second = queue.pop()
    queue.put_back(first)
    queue.put_back(second)
    assert len(queue) == 4
    assert queue.work == 40
    assert names(queue) == ['r0', 'r1', 'r2', 'r3']


def test_requests_ahead():
    queue = FairQueue()
    for number in range(6):
        push(queue, f'r{number}', account='a', rank=1)
    push(queue, 'u', account='c')
    assert queue.count_ahead(0, 'b') == (0, 1)
    assert queue.count_ahead(1, 'b') == (1, 1)
    assert queue.count_ahead(1, 'a') == (1, 6)
    assert queue.count_ahead(2, 'a') == (7, 0)


@pytest.mark.parametrize('seed', range(20))
def test_no_request_is_lost_or_started_twice(seed):
    """Fuzz the queue against a set of what it must hold, and the ranks."""
    rng = random.Random(seed)
    queue = FairQueue()
    held = {}
    now = 0
    for _ in range(1000):
        now += rng.random() / 10
        action = rng.choice((_push, _push, _push, _remove, _expire, _check_pop))
        action(queue, held, now, rng)
        assert len(queue) == len(held)
        assert queue.work == sum(each.work for each in held.values())
    ranks = sorted(each.rank for each in held.values())
    for rank, rank_queue in queue.rank_queues.items():
        assert rank_queue.size == ranks.count(rank)
    assert set(names(queue)) == set(held)


def _push(queue, held, now, rng):
    request = QueuedRequest(
        f'r{now}',
        rng.choice('abc'),
        rng.randrange(1, 1000),
        now + rng.random() * 3,
        rng.randrange(3),
        rng.choice('xy'),
        rng.choice(('', 'large')),
    )
    queue.push(request, rng.choice((1, 2)), now)
    held[request.request_id] = request


def _remove(queue, held, now, rng):
    if held:
        name = rng.choice(sorted(held))
        assert queue.remove(name) is held.pop(name)


def _expire(queue, held, now, rng):
    overdue = {name for name, each in held.items() if each.deadline <= now}
    expired = [each.request_id for each in queue.pop_expired(now)]
    assert sorted(expired) == sorted(overdue)
    for name in overdue:
        held.pop(name)


def _check_pop(queue, held, now, rng):
    expected = queue.peek()
    request = queue.pop()
    assert request is expected
    if request is None:
        assert not held
        return
    assert request is held.pop(request.request_id)
    is_starved = queue.is_starved(request)
    if not is_starved:
        assert not any(map(queue.is_starved, held.values()))
        least = min((each.rank for each in held.values()), default=9)
        assert request.rank <= least
        assert not any(
            each.account == request.account
            and each.rank == request.rank
            and each.deadline < request.deadline
            for each in held.values()
        )
    if rng.randrange(3) == 0:
        queue.put_back(request)
        held[request.request_id] = request
        return
    queue.record_start(request, now)
