"""Clients of the own daemon that do not end their bodies."""

import socket

import eventlet

from wigeonspoke.transport import HttpClient
from wigeonspoke.transport.request_body import PART_BYTES

CROWD = 60
BODY_BYTES = 1048576
ACCOUNT_KEY = 'demo-key-packer-1'
SEND_SECONDS = 2.0
LISTENERS = ('callers', 'admin', 'peers')
PATH = '/v1/completions'


def _send_unfinished(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    client = socket.create_connection((host, int(port)))
    head = (
        f'POST {PATH} HTTP/1.1\r\nHost: x\r\n'
        f'Authorization: Bearer {ACCOUNT_KEY}\r\n'
        f'Content-Length: {BODY_BYTES}\r\n\r\n'
    )
    body = b'x' * (BODY_BYTES - 1)
    eventlet.spawn(client.sendall, head.encode() + body)
    return client


# Bodies of many clients had no limit together.
def test_bodies_that_are_not_ended_leave_room(deployment):
    node = deployment.nodes[0]
    address = node.callers.address
    crowd = [_send_unfinished(address) for _ in range(CROWD)]
    eventlet.sleep(SEND_SECONDS)
    bodies = node.callers.memory.bodies
    parts = CROWD * PART_BYTES
    assert bodies.held_bytes <= bodies.capacity_bytes + BODY_BYTES + parts
    client = HttpClient({'Authorization': f'Bearer {ACCOUNT_KEY}'})
    reply = client.post(
        address,
        PATH,
        b'{"model": "drafting", "prompt": "resin", "max_tokens": 2}',
        10,
    )
    assert reply.unwrap().status == 200
    for member in crowd:
        member.close()


def test_all_listeners_share_the_memory(deployment):
    node = deployment.nodes[0]
    memories = {id(getattr(node, name).memory) for name in LISTENERS}
    assert len(memories) == 1
