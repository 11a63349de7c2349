"""Tests of fair queueing, account limits and the retry budget."""

import pytest

from wigeonspoke.core.admission import AccountLimits, FairQueue, QueuedRequest
from wigeonspoke.core.deployment import Account
from wigeonspoke.core.retries import RetryBudget
from wigeonspoke.core.retries.budget import RESERVE_TOKENS


def _queue(entries):
    queue = FairQueue()
    for number, (account, weight, work, rank) in enumerate(entries):
        request = QueuedRequest(f'{account}{number}', account, work, 9, rank)
        queue.push(request, weight, 0)
    return queue


def _service_order(queue):
    order = []
    while request := queue.pop():
        order.append(request.request_id)
    return order


@pytest.mark.parametrize(
    ('entries', 'order'),
    [
        # Accounts of equal weight alternate, whatever their request counts.
        (
            [('a', 1, 10, 0)] * 3 + [('b', 1, 10, 0)],
            ['a0', 'b3', 'a1', 'a2'],
        ),
        # An account with twice the weight is served twice as often.
        (
            [('a', 2, 10, 0)] * 4 + [('b', 1, 10, 0)] * 2,
            ['a0', 'b4', 'a1', 'a2', 'b5', 'a3'],
        ),
        # Shares are measured in work, not in requests.
        (
            [
                ('a', 1, 30, 0),
                *[('b', 1, 10, 0)] * 3,
                ('a', 1, 30, 0),
            ],
            ['a0', 'b1', 'b2', 'b3', 'a4'],
        ),
        # Any number of ranks, the least first.
        (
            [('a', 1, 1, 7), ('a', 1, 1, 2), ('b', 1, 1, 0), ('b', 1, 1, 2)],
            ['b2', 'a1', 'b3', 'a0'],
        ),
    ],
)
def test_service_order(entries, order):
    assert _service_order(_queue(entries)) == order


def test_requeued_request_goes_first():
    queue = _queue([('a', 1, 10, 0), ('b', 1, 10, 0)])
    first = queue.pop()
    queue.requeue(first)
    assert _service_order(queue) == [first.request_id, 'b1']


def test_expired_requests_are_not_charged_to_their_account():
    queue = _queue([('a', 1, 100, 0), ('b', 1, 1, 0)])
    queue.push(QueuedRequest('late', 'a', 100, 1, 0), 1, 0)
    queue.push(QueuedRequest('next', 'a', 1, 9, 0), 1, 0)
    queue.remove('a0')
    queue.pop_expired(1)
    assert _service_order(queue) == ['next', 'b1']


def test_removed_and_expired_requests_are_not_counted_as_work():
    queue = _queue([('a', 1, 10, 0), ('b', 1, 5, 0)])
    queue.remove('a0')
    assert queue.work == 5
    assert [expired.request_id for expired in queue.pop_expired(9)] == ['b1']
    assert (queue.work, queue.pop()) == (0, None)


def test_requeued_request_expires_once_at_its_new_deadline():
    queue = _queue([('a', 1, 10, 0)])
    first = queue.pop()
    queue.requeue(QueuedRequest(first.request_id, 'a', 10, 12, 0))
    assert queue.pop_expired(9) == []
    assert [expired.request_id for expired in queue.pop_expired(12)] == ['a0']
    assert queue.pop_expired(99) == []


@pytest.mark.parametrize(
    ('limit', 'nodes', 'acquired'),
    [(4, 1, 4), (4, 2, 2), (5, 2, 3), (1, 6, 1)],
)
def test_limit_is_split_over_live_nodes(limit, nodes, acquired):
    limits = AccountLimits()
    limits.adopt((Account('a', 1, limit, ''),))
    assert [limits.acquire('a', nodes) for _ in range(6)].count(
        True
    ) == acquired
    limits.release('a')
    assert limits.acquire('a', nodes)


def test_unknown_account_is_refused():
    assert not AccountLimits().acquire('nobody', 1)


def test_retry_budget_is_a_tenth_of_the_work():
    budget = RetryBudget()
    assert budget.withdraw(int(RESERVE_TOKENS))
    assert not budget.withdraw(1)
    budget.deposit(1000)
    assert budget.withdraw(100)
    assert not budget.withdraw(1)
