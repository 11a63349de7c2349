"""Tests of the client's outcomes and the server's limits on real sockets."""

import socket

import eventlet
import pytest
from returns.result import Success
from werkzeug.wrappers import Response

from wigeonspoke.transport import HttpClient, HttpListener, ListenerLimits
from wigeonspoke.webapp import HttpApp, read_body

REQUEST_START = b'POST /echo HTTP/1.1\r\nHost: x\r\n'


def _echo(request):
    return Response(read_body(request, limit=100))


def _slow(request):
    eventlet.sleep(5)
    return Response('late')


def _broken(request):
    raise ValueError('an error in the handler')


@pytest.fixture
def listener():
    app = HttpApp(
        [
            ('POST', '/echo', _echo),
            ('GET', '/slow', _slow),
            ('GET', '/broken', _broken),
        ]
    )
    limits = ListenerLimits(body_seconds=0.3)
    server = HttpListener(app, limits=limits)
    yield server
    server.abort()


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def _exchange(address, *parts):
    host, port = address.split(':')
    with socket.create_connection((host, int(port))) as client:
        for piece in parts:
            client.sendall(piece)
        client.settimeout(5)
        return client.recv(65536).decode()


@pytest.mark.parametrize(
    ('path', 'status', 'code'),
    [
        ('/nothing', 404, 'not_found'),
        ('/echo', 405, 'method_not_allowed'),
        ('/broken', 500, 'internal'),
    ],
)
def test_errors_have_typed_bodies(listener, path, status, code):
    reply = HttpClient().get(listener.address, path).unwrap()
    assert reply.status == status
    assert f'"code":"{code}"' in reply.body.decode()


@pytest.mark.parametrize(
    ('parts', 'status', 'code'),
    [
        (
            [REQUEST_START, b'Content-Length: 101\r\n\r\n'],
            '413',
            'body_too_large',
        ),
        (
            [
                REQUEST_START,
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'65\r\n' + b'x' * 101 + b'\r\n0\r\n\r\n',
            ],
            '413',
            'body_too_large',
        ),
        (
            [REQUEST_START, b'Content-Length: 10\r\n\r\n', b'12345'],
            '408',
            'slow_body',
        ),
        (
            [REQUEST_START, b'X-Long: ', b'y' * 9000, b'\r\n\r\n'],
            '431',
            'headers',
        ),
        (
            [
                REQUEST_START,
                *[b'X-Many: ' + b'y' * 8000 + b'\r\n'] * 9,
                b'\r\n',
            ],
            '431',
            'headers',
        ),
    ],
)
def test_rejects_requests_beyond_the_limits(listener, parts, status, code):
    reply = _exchange(listener.address, *parts)
    assert reply.split(' ')[1] == status
    assert code in reply


def test_refused_connection_has_outcome_not_run():
    error = HttpClient().get(f'127.0.0.1:{_free_port()}', '/').failure()
    assert (error.outcome.value, error.reason.value) == (
        'not-run',
        'connect-failed',
    )


def test_timeout_has_outcome_unknown(listener):
    error = HttpClient().get(listener.address, '/slow', 0.1).failure()
    assert (error.outcome.value, error.reason.value) == (
        'unknown',
        'timeout',
    )


@pytest.mark.parametrize('fresh_connection', [True, False])
def test_connection_reset_has_outcome_unknown(listener, fresh_connection):
    eventlet.spawn_after(0.1, listener.abort)
    result = HttpClient().send(
        listener.address, 'GET', '/slow', fresh_connection=fresh_connection
    )
    error = result.failure()
    assert (error.outcome.value, error.reason.value) == (
        'unknown',
        'connection-lost',
    )


def test_counts_active_requests(listener):
    client = HttpClient()
    pending = eventlet.spawn(client.get, listener.address, '/slow', 0.3)
    eventlet.sleep(0.1)
    assert listener.active == 1
    pending.wait()
    reply = client.post(listener.address, '/echo', b'body')
    assert isinstance(reply, Success)


def test_rejects_a_body_that_arrives_too_slowly(listener, monkeypatch):
    monkeypatch.setattr('wigeonspoke.webapp.json_app.BODY_TIMEOUT_SECONDS', 0.2)
    reply = _exchange(
        listener.address,
        REQUEST_START,
        b'Content-Length: 10\r\n\r\n',
        b'1',
    )
    assert '408' in reply
