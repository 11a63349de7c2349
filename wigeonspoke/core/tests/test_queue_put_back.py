"""Requests that could not start keep their order when they are put back."""

from wigeonspoke.core.admission import FairQueue, QueuedRequest


def _push(queue, account, number):
    request_id = f'{account}{number}'
    queue.push(QueuedRequest(request_id, account, 1000, 100, 0), 1, 0)


# A node looks at its queue at each piece of news.  If each look moved an
# account back, a small one would wait behind all requests of a large one.
def test_a_small_account_stays_before_a_large_one():
    queue = FairQueue()
    for number in range(40):
        _push(queue, 'large', number)
    for _ in range(5):
        queue.pop()
    _push(queue, 'small', 0)
    for _ in range(5):
        popped = [queue.pop() for _ in range(4)]
        for request in reversed(popped):
            queue.put_back(request)
    assert 'small' in {queue.pop().account, queue.pop().account}
