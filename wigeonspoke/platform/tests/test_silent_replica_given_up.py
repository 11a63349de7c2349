"""Calls at sound replicas that fall silent for a second and go on."""

import pytest

from wigeonspoke.platform.standins import ReplicaFault
from wigeonspoke.platform.tests.harness import make_configuration, send_request

ROUTE_MS = 4000
SILENCE_SECONDS = 1.2


@pytest.mark.parametrize(
    ('fault_of_other', 'max_attempts'),
    [
        (ReplicaFault.NONE, 3),
        (ReplicaFault.SHED, 2),
        (ReplicaFault.SHED, 3),
    ],
)
def test_silence_of_a_sound_replica_ends_no_call(
    harness, fault_of_other, max_attempts
):
    configuration = make_configuration(version=2)
    for route in configuration['routes']:
        route |= {'timeout-ms': ROUTE_MS, 'max-attempts': max_attempts}
    harness.store.put('op', 'config', configuration)
    state = harness.node.state
    harness.wait_until(lambda: state.routing_table.version == 2)
    for replica in harness.replicas:
        replica.run_seconds = SILENCE_SECONDS
    harness.replicas[1].fault = fault_of_other
    seen = [
        send_request(harness, 'GET', '/read/x', f'id{number}')[0]
        for number in range(4)
    ]
    assert seen == [200] * 4
