"""A deployment that has ended leaves nothing behind in its process."""

import eventlet

from wigeonspoke.demo.local_deployment import LocalDeployment, load_document


def test_closed_deployment_makes_no_requests():
    deployment = LocalDeployment(load_document('consorcio.toml'))
    deployment.start()
    host, _, port = deployment.nodes[0].admin.address.rpartition(':')
    deployment.close()
    # Whoever listens there next is not asked for the dead node.
    listener = eventlet.listen((host, int(port)))
    timeout = eventlet.Timeout(1.0, exception=False)
    accepted = []
    with timeout:
        accepted.append(listener.accept())
    listener.close()
    assert not accepted
