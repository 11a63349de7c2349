"""A client of a listener that sends and reads raw HTTP."""

import socket

RAW_CLIENT_SECONDS = 10.0


def open_client(listener, payload: bytes = b'') -> socket.socket:
    """Connect to a listener and send some bytes."""
    host, port = listener.address.split(':')
    client = socket.create_connection((host, int(port)))
    client.settimeout(RAW_CLIENT_SECONDS)
    client.sendall(payload)
    return client


def read_status(client: socket.socket) -> bytes:
    """Return the status of the next response."""
    return client.recv(12)[-3:]
