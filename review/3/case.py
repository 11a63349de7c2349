"""A stream whose connection is reset must not end as complete.

Engine A streams events without a length or chunks, and falls silent after an
event.  The node then also asks the other engine, which has the request in its
queue until the deadline.  Meanwhile A's connection is reset.
"""

import pathlib
import re
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    CannotRun,
    Engine,
    Node,
    Store,
    client_headers,
    configuration,
    has_trouble,
    model_service,
    route,
    run_case,
    send,
)

ZONES = ('one', 'two')
EVENTS = 10
SILENT_AFTER = 8
GAP_SECONDS = 0.15
# From the last event to the reset, or to the next event without the reset.
SILENT_SECONDS = 1.0
ROUNDS = 3


def play(record, folder, nodes):
    store = Store()
    began = {}

    def serve(engine, request, connection):
        if request.request_id in began:
            record.note(f'{engine.name} has {request.request_id} in its queue')
            until = time.monotonic() + int(request.headers['deadline-ms']) / 1000
            while time.monotonic() < until:
                if connection.is_closed_by_peer():
                    record.note(f'{engine.name} drops {request.request_id}')
                    raise OSError
                time.sleep(0.02)
            record.note(
                f'{engine.name} refuses {request.request_id}:'
                ' deadline passed in the queue'
            )
            connection.respond(
                503, {'Request-Id': request.request_id, 'Not-Executed': '1'}
            )
            return
        began[request.request_id] = engine.name
        record.note(f'{engine.name} runs {request.request_id}, without a length')
        connection.write(engine.head(request, 'Connection: close'))
        for number in range(1, EVENTS + 1):
            time.sleep(GAP_SECONDS)
            connection.write(f'id: {number}\ndata: token {number}\n\n'.encode())
            if number == SILENT_AFTER:
                record.note(
                    f'{engine.name} is silent after event {number} of {EVENTS}'
                )
                time.sleep(SILENT_SECONDS)
                if has_trouble():
                    record.note(f'the connection of {request.request_id} is reset')
                    connection.reset()
                    raise OSError
        record.note(f'{engine.name} has sent event {EVENTS}, the last one')
        connection.close()
        raise OSError

    engines = [
        Engine(store, record, f'e-{zone}', 'drafting-llm', zone, serve)
        for zone in ZONES
    ]
    drafts = route(
        '/draft/',
        'drafting-llm',
        'streaming',
        resumable=True,
        gap_aim_ms=200,
        target_latency_ms=500,
        timeout_ms=2900,
    )
    config = configuration(7, [drafts], services=())
    config['services'] = [model_service('drafting-llm')]
    store.put('op', 'config', config)
    # Of three nodes, one has a connection reset.
    for number, zone in enumerate((*ZONES, ZONES[0])):
        seeds = [node.control for node in nodes]
        nodes.append(Node(
            folder, f'edge-{number + 1}', zone, store.server.address, ZONES, seeds
        ))
    for node in nodes:
        node.wait_ready()
    until = time.monotonic() + 25
    while not all(engine.layers for engine in engines):
        if time.monotonic() > until:
            raise CannotRun('the engines hold no layers')
        time.sleep(0.2)
    time.sleep(5)
    broken = 0
    for number in range(ROUNDS):
        request_id = f'draft-{number}'
        record.note(f'client sends {request_id}')
        headers = client_headers(
            request_id, 20000, Model='m', Token_Usage='100,100',
            Prompt_Prefix=f'aa:40,{number}b:60',
        )
        status, _, body, is_complete = send(
            nodes[0].front, 'POST', '/draft/x', headers, b'prompt', 15
        )
        ids = [int(one) for one in re.findall(rb'^id: (\d+)$', body, re.M)]
        record.note(
            f'client got {request_id}: status {status}, events {ids},'
            f' ends as complete: {is_complete}'
        )
        if request_id not in began:
            raise CannotRun('the request reached no engine')
        is_success = status == 200 and is_complete
        if is_success and ids != list(range(1, EVENTS + 1)):
            record.note('  broken: ends as complete before its last event')
            broken += 1
        if not has_trouble() and not is_success:
            raise CannotRun('no success without the disruption')
        time.sleep(3)
    record.note(f'streams that ended early as complete: {broken} of {ROUNDS}')
    return broken > 0


run_case(FOLDER, play)
