"""The memory of a node is shared, so that no endpoint can take all of it."""

import random

import pytest

from wigeonspoke.core.body_memory import (
    SMALL_ANSWER_BYTES,
    BodyMemory,
    answer_capacity,
)

CAPACITY = 64 * SMALL_ANSWER_BYTES
PART = 16384
MAX_BODY = 16 * SMALL_ANSWER_BYTES
REQUESTS = 60


def _fill(memory, bodies) -> None:
    """Let bodies grow in turn until none of them may."""
    is_growing = True
    while is_growing:
        is_growing = False
        for body in bodies:
            if memory.may_grow(body):
                memory.add(body, PART)
                is_growing = True


# Many answers without end from one endpoint took all memory of the node.
@pytest.mark.parametrize('faulty', [1, 2, 3])
def test_some_memory_is_left_beside_faulty_endpoints(faulty):
    memory = BodyMemory(CAPACITY, SMALL_ANSWER_BYTES)
    bodies = [
        memory.begin(f'faulty-{number % faulty}') for number in range(REQUESTS)
    ]
    for body in bodies:
        memory.add(body, SMALL_ANSWER_BYTES // 4)
    _fill(memory, bodies[:6])
    assert memory.held_bytes <= CAPACITY
    sound = memory.begin('sound')
    memory.add(sound, SMALL_ANSWER_BYTES)
    assert memory.may_grow(sound)


def test_the_body_that_waited_longest_goes_on():
    memory = BodyMemory(CAPACITY, SMALL_ANSWER_BYTES)
    bodies = [memory.begin('a') for _ in range(3)]
    for body in bodies:
        memory.add(body, CAPACITY // 4)
        memory.wait(body)
    assert [memory.may_grow(body) for body in bodies] == [True, False, False]
    memory.end_wait(bodies[0])
    assert [memory.may_grow(body) for body in bodies] == [False, True, False]
    memory.release(bodies[0])
    memory.release(bodies[0])
    assert memory.held_bytes == 2 * (CAPACITY // 4)


class _Requests:
    """Bodies that begin, wait, grow and end at random."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.memory = BodyMemory(CAPACITY, SMALL_ANSWER_BYTES)
        self.bodies = []

    def step(self) -> None:
        """Change one body."""
        if len(self.bodies) < REQUESTS and self.rng.randrange(10) == 0:
            self.bodies.append(self.memory.begin(self.rng.choice('abc')))
        elif self.bodies:
            self._change(self.rng.choice(self.bodies))

    def _change(self, body) -> None:
        if self.rng.randrange(100) == 0 or body.size >= MAX_BODY:
            self.bodies.remove(body)
            self.memory.release(body)
        elif self.memory.may_grow(body):
            self.memory.add(body, PART)
        else:
            self.memory.wait(body)


@pytest.mark.parametrize('seed', range(20))
def test_a_node_holds_its_capacity_and_one_body(seed):
    requests = _Requests(seed)
    memory = requests.memory
    for _ in range(20000):
        requests.step()
        small = len(requests.bodies) * (SMALL_ANSWER_BYTES + PART)
        assert memory.held_bytes <= CAPACITY + MAX_BODY + small
        waiting = tuple(memory.waiting)
        assert not waiting or any(map(memory.may_grow, waiting))
    for body in requests.bodies:
        memory.release(body)
    assert (memory.held_bytes, dict(memory.by_peer)) == (0, {})
    assert not memory.waiting


@pytest.mark.parametrize('megabytes', [200, 300, 552])
def test_the_memory_for_bodies_is_a_part_of_the_node(megabytes):
    assert answer_capacity(megabytes) < megabytes * 1048576 / 3
