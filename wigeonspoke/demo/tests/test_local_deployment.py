"""Closing a deployment stops all its requests, also health checks."""

import eventlet

from wigeonspoke.demo.local_deployment import LocalDeployment, load_document


def test_closed_deployment_makes_no_requests():
    deployment = LocalDeployment(load_document('consorcio.toml'))
    deployment.start()
    host, _, port = deployment.nodes[0].admin.address.rpartition(':')
    deployment.close()
    # A health check that still ran after close() would connect to the next
    # listener on this port.
    listener = eventlet.listen((host, int(port)))
    timeout = eventlet.Timeout(1.0, exception=False)
    accepted = []
    with timeout:
        accepted.append(listener.accept())
    listener.close()
    assert not accepted
