"""After a drill of the store, an acknowledged configuration stays unread.

The operator changes the configuration twice.  Between the two changes the store
is away for a moment, and comes back from a copy some seconds old, so that its
versions go back and are given out again.  The operator writes the first change
again, and the servers go on with their heartbeats.
"""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    API_KEY,
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

ZONES = ('one', 'two', 'three')
NODES = 6
ROUNDS = 3
# From the copy to the first change, from there to the drill, and its length.
BEFORE_CHANGE_SECONDS = 0.7
AFTER_CHANGE_SECONDS = 1.0
AWAY_SECONDS = 2.0
# From the return to the second change.
SECOND_CHANGE_SECONDS = 0.05
# Bounds: stable-window-ms, config-apply-ms, outer-ms.
STABLE_SECONDS = 3.0
APPLY_SECONDS = 2.0
OUTER_SECONDS = 5.0
WATCH_SECONDS = 14.0


def play(record, folder, nodes):
    store = Store()
    replicas = []
    for zone in ZONES:
        for number in range(2):
            name = f'r-{zone}-{number}'
            replicas.append(Replica(store, record, name, 'filing-app', zone))
            time.sleep(0.2)
    routes = [route('/status/', 'filing-app', 'safe')]
    keys = {API_KEY, *(f'taken-{number}' for number in range(ROUNDS))}
    store.put('op', 'config', configuration(7, routes, keys=sorted(keys)))
    for number in range(NODES):
        zone = ZONES[number % len(ZONES)]
        seeds = [node.control for node in nodes[:3]]
        nodes.append(Node(
            folder, f'edge-{number + 1}', zone, store.server.address, ZONES, seeds
        ))
    for node in nodes:
        node.wait_ready()
    record.note('nodes are ready')
    time.sleep(8)
    broken = [
        _play_drill(record, store, nodes, routes, keys, number)
        for number in range(ROUNDS)
    ]
    record.note(f'requests with a taken key that ran too late, by drill: {broken}')
    return any(broken)


def _play_drill(record, store, nodes, routes, keys, number):
    """Play a drill between two changes; return how many requests ran too late."""
    taken = f'taken-{number}'
    added = f'added-{number}'
    copied_at = time.monotonic()
    record.note(f'store: the copy has version {store.version}')
    time.sleep(BEFORE_CHANGE_SECONDS)
    keys.add(added)
    first = configuration(8 + 2 * number, routes, keys=sorted(keys))
    version = store.put('op', 'config', first)
    record.note(
        f'configuration {first["version"]} adds a key; acknowledged, row'
        f' version {version}'
    )
    time.sleep(AFTER_CHANGE_SECONDS)
    for node in nodes:
        if _ask(record, node, f'before-{number}', taken) != 200:
            raise CannotRun('the key is not accepted before it is taken away')
        if _ask(record, node, f'added-{number}', added) != 200:
            raise CannotRun('the first change is not in force')
    back_at = time.monotonic()
    if has_trouble():
        store.go_away()
        record.note(f'store: away, at version {store.version}')
        time.sleep(AWAY_SECONDS)
        store.come_back_from_copy(copied_at)
        back_at = time.monotonic()
        record.note(
            f'store: back with version {store.version}, era {store.era}, from a'
            f' copy {back_at - copied_at:.1f} s old'
        )
        version = store.put('op', 'config', first)
        record.note(f'operator has written it again, row version {version}')
    time.sleep(SECOND_CHANGE_SECONDS)
    keys.discard(taken)
    second = configuration(9 + 2 * number, routes, keys=sorted(keys))
    version = store.put('op', 'config', second)
    acknowledged_at = time.monotonic()
    record.note(
        f'configuration {second["version"]} takes the key {taken} away;'
        f' acknowledged, row version {version}'
    )
    # The longest bound of all, with the stretch of an unstable store.
    bound = acknowledged_at + APPLY_SECONDS + OUTER_SECONDS
    bound = max(bound, back_at + STABLE_SECONDS)
    broken = 0
    sweep = 0
    while time.monotonic() < back_at + WATCH_SECONDS:
        sweep += 1
        for node in nodes:
            sent_at = time.monotonic()
            status = _ask(record, node, f'{taken}-{sweep}', taken)
            if status == 200 and sent_at > bound:
                after = sent_at - acknowledged_at
                record.note(
                    f'  broken: run, sent {after:.1f} s after the acknowledgement'
                )
                broken += 1
        time.sleep(1)
    return broken


def _ask(record, node, request_id, key):
    headers = client_headers(f'{node.name}-{request_id}', key=key)
    status = send(node.front, 'GET', '/status/x', headers)[0]
    record.note(f'{node.name} answers {request_id}: {status}')
    return status


run_case(FOLDER, play)
