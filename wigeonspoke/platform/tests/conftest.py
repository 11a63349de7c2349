"""A node with the platform's stand-ins, for each test anew."""

import pytest

from wigeonspoke.platform.tests.harness import World


@pytest.fixture
def world():
    """Give a node that knows its configuration and replicas."""
    running = World()
    running.wait_for_service()
    yield running
    running.close()


@pytest.fixture
def placed(world):
    """Give a node whose engines hold whole copies of the model."""
    world.place()
    return world
