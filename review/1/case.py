"""A reset that is noticed while another replica is tried must not be lost.

Replica A answers a safe request without a length, sends the first part of the
body and falls silent.  The node then also asks replica B, which is busy: the
request waits in its queue until the deadline that B was given, and B says that
it has not run it.  Meanwhile A's connection is reset.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    CannotRun,
    Node,
    Replica,
    Store,
    client_headers,
    configuration,
    has_trouble,
    route,
    run_case,
    send,
)

SILENT_SECONDS = 1.2
RESET_AFTER_SECONDS = 0.8
ROUNDS = 3


def play(record, folder, nodes):
    store = Store()
    full = {}
    seen = []

    def serve(replica, request, connection):
        first = request.request_id not in full
        if not first:
            # Busy: the request is in the queue until its deadline.
            time.sleep(int(request.headers['deadline-ms']) / 1000)
            if connection.is_closed_by_peer():
                record.note(f'{replica.name} drops {request.request_id}')
                return
            replica.refuse(request, connection, 'deadline passed in the queue')
            return
        body = replica.body(request)
        full[request.request_id] = body
        replica.note_run(request)
        lines = [f'{name}: {text}' for name, text in replica.headers(request).items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, 'Connection: close'])
        connection.write(head.encode() + b'\r\n\r\n' + body[: len(body) // 3])
        record.note(
            f'{replica.name} has sent {len(body) // 3} of {len(body)} bytes'
            f' of {request.request_id}, without a length, and is silent'
        )
        if has_trouble():
            time.sleep(RESET_AFTER_SECONDS)
            record.note(f'the connection of {request.request_id} is reset')
            connection.reset()
            return
        time.sleep(SILENT_SECONDS)
        connection.write(body[len(body) // 3 :])
        connection.close()
        record.note(f'{replica.name} has sent the rest of {request.request_id}')

    replicas = [
        Replica(store, record, f'r-{zone}', 'filing-app', zone)
        for zone in ('one', 'two')
    ]
    for replica in replicas:
        replica.serve = lambda request, connection, replica=replica: serve(
            replica, request, connection
        )
    store.put('op', 'config', configuration(
        7, [route('/status/', 'filing-app', 'safe', timeout_ms=1500)],
    ))
    # Of three nodes, one has a connection reset.
    for number, zone in enumerate(('one', 'two', 'one')):
        seeds = [node.control for node in nodes]
        nodes.append(Node(
            folder, f'edge-{number + 1}', zone, store.server.address,
            ('one', 'two'), seeds,
        ))
    for node in nodes:
        node.wait_ready()
    node = nodes[0]
    time.sleep(4)
    for number in range(ROUNDS):
        request_id = f'request-{number}'
        record.note(f'client sends {request_id}')
        status, headers, body, is_complete = send(
            node.front, 'GET', '/status/x', client_headers(request_id, 2500)
        )
        record.note(
            f'client got {request_id}: status {status}, {len(body)} bytes,'
            f' complete by its length: {is_complete},'
            f' signature {headers.get("response-signature")}'
        )
        if request_id not in full:
            raise CannotRun('the request reached no replica')
        is_success = status is not None and 200 <= status < 300
        seen.append(is_success and is_complete and body != full[request_id])
        if is_success and not seen[-1] and not has_trouble():
            record.note('the body is whole')
        time.sleep(1)
    record.note(f'successes with a part of the body: {sum(seen)} of {len(seen)}')
    if not has_trouble() and any(status != 200 for status in [status]):
        raise CannotRun('no success without the disruption')
    return any(seen)


run_case(FOLDER, play)
