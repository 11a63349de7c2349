"""A silent attempt is reset while its call is tried at another replica."""

import eventlet

from wigeonspoke.platform.standins.raw_server import RawConnection
from wigeonspoke.platform.tests.harness import (
    make_configuration,
    make_route,
    send_request,
)

BODY = b'a whole answer ' * 100
SILENT_SECONDS = 0.9


def _part_of(request, replica) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Request-Id: {request.headers["request-id"]}',
        f'Response-Signature: s.{replica.endpoint_id}',
        'Connection: close',
    )
    head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    return head + BODY[: len(BODY) // 3]


def refuse_at_deadline(request, connection) -> None:
    """Refuse as an endpoint whose queue has held the request too long."""
    eventlet.sleep(int(request.headers['deadline-ms']) / 1000)
    headers = {
        'Request-Id': request.headers['request-id'],
        'Not-Executed': '1',
    }
    connection.respond(503, headers)


def _configure(harness) -> None:
    """Let a silent replica be doubted soon."""
    configuration = make_configuration(
        version=2,
        routes=[make_route('/read/', 'ledger', 'safe', target_latency_ms=200)],
    )
    harness.configure(configuration)


def _serve_partly(harness, finish) -> list:
    """Make the first replica asked finish a third of its answer after a time.

    Return the requests in order.  The second one stays in a queue.
    """
    requests = []

    def serve(replica):
        def handle(request, connection):
            if request.target != '/read/x':
                connection.respond(200, {})
                return
            requests.append(request)
            if len(requests) > 1:
                refuse_at_deadline(request, connection)
                requests.clear()
                return
            connection.write(_part_of(request, replica))
            eventlet.sleep(SILENT_SECONDS)
            finish(connection)

        return handle

    _configure(harness)
    for replica in harness.replicas:
        replica.server.handle = serve(replica)
    return requests


def _send_rest(connection) -> None:
    connection.write(BODY[len(BODY) // 3 :])
    connection.sock.close()


# The first third of an answer without a length was a 200 with a length and the
# replica's signature, once the second replica had refused at the deadline.
def test_a_reset_of_a_silent_replica_does_not_complete_its_answer(harness):
    _serve_partly(harness, RawConnection.reset)
    status = send_request(harness, 'GET', '/read/x', 'id1')[0]
    assert status in {502, 504}


def test_a_silent_replica_that_goes_on_completes_its_answer(harness):
    _serve_partly(harness, _send_rest)
    status, _, body = send_request(harness, 'GET', '/read/x', 'id1')
    assert (status, body) == (200, BODY)


# An answer that had ended was held until the other replica had refused.
def test_an_answer_that_has_ended_is_not_held_for_another_attempt(harness):
    requests = _serve_partly(
        harness, lambda connection: connection.sock.close()
    )
    status, _, body = send_request(harness, 'GET', '/read/x', 'id1')
    assert (status, body) == (200, BODY[: len(BODY) // 3])
    assert len(requests) == 2, 'the other replica has refused by now'
