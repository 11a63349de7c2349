"""A request that arrives as the listener stops accepting connections."""

import socket

import eventlet
import pytest

from wigeonspoke.transport import HttpListener

REQUEST = b'GET /late HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.mark.parametrize('split_at', [0, 6])
def test_a_close_serves_a_request_that_has_begun(split_at):
    paths = []

    def application(environ, start_response):
        paths.append(environ['PATH_INFO'])
        start_response('200 OK', [])
        return [b'']

    listener = HttpListener(application)
    host, port = listener.address.split(':')
    client = socket.create_connection((host, int(port)))
    client.settimeout(10)
    client.sendall(REQUEST[:split_at])
    eventlet.sleep(0.1)
    if not split_at:
        client.sendall(REQUEST)
    listener.is_stopping = True
    listener.close()
    if split_at:
        client.sendall(REQUEST[split_at:])
    with client:
        response = client.recv(65536)
    listener.abort()
    assert (paths, response[:12]) == (['/late'], b'HTTP/1.1 200')
