"""A node with the platform's stand-ins, for each test anew."""

import pytest

from wigeonspoke.platform.tests.harness import Harness


@pytest.fixture
def harness():
    """Give a node that knows its configuration and replicas."""
    started = Harness()
    started.wait_for_endpoints()
    yield started
    started.close()


@pytest.fixture
def placed_harness(harness):
    """Give a node whose engines hold whole copies of the model."""
    harness.place_layers()
    return harness
