"""A fixture that runs a small deployment on real sockets."""

import pytest

from wigeonspoke.demo.local_deployment import LocalDeployment, load_document


@pytest.fixture
def deployment():
    """Run a deployment whose engines take 10 ms per step."""
    document = load_document('consorcio.toml')
    for kind in document['accelerators']:
        kind['step_seconds'] = 0.01
    running = LocalDeployment(document)
    running.start()
    yield running
    running.close()
