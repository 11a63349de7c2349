"""Fixtures with an ingress node and test doubles of the platform."""

import pytest

from wigeonspoke.platform.tests.harness import Harness


@pytest.fixture
def harness():
    """Yield a harness whose node has its configuration and endpoints."""
    started = Harness()
    started.wait_for_endpoints()
    yield started
    started.close()


@pytest.fixture
def placed_harness(harness):
    """Return a harness with a complete chain of engines in each domain."""
    harness.place_layers()
    return harness
