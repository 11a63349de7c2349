"""Routes tile a model exactly, and the best ones are chosen."""

import random

import msgspec
import pytest
from returns.result import Success

from wigeonspoke.core.membership import (
    EndpointLoad,
    EndpointMark,
    MarkState,
    PeerReport,
)
from wigeonspoke.core.routes import build_route
from wigeonspoke.core.routes.bound import throughput_bound
from wigeonspoke.core.routes.registry import Ownership, stream_limit
from wigeonspoke.core.tests.examples import (
    ENGINES,
    MODEL,
    make_configuration,
    make_engine,
)
from wigeonspoke.core.view import ClusterView


def _ranges(*pairs):
    return [
        make_engine(f'e{number}', 'a', first, end)
        for number, (first, end) in enumerate(pairs)
    ]


@pytest.mark.parametrize(
    ('pairs', 'problem'),
    [
        (((0, 4),), None),
        (((0, 2), (2, 4)), None),
        (((0, 1), (1, 3), (3, 4)), None),
        ((), 'ends at 0 of 4'),
        (((0, 2),), 'ends at 2 of 4'),
        (((0, 2), (3, 4)), 'expected first layer 2'),
        (((0, 3), (2, 4)), 'expected first layer 3'),
        (((0, 2), (2, 2), (2, 4)), 'empty layer range'),
        (((1, 4),), 'expected first layer 0'),
        (((0, 5),), 'ends at 5 of 4'),
        (((0, 2), (0, 2), (2, 4)), 'expected first layer 2'),
    ],
)
def test_tiling(pairs, problem):
    built = build_route(_ranges(*pairs), 4)
    found = None if isinstance(built, Success) else built.failure().problem
    assert found == problem


@pytest.mark.parametrize(
    ('pairs', 'bound'),
    [
        ((), 0),
        (((0, 4),), 400),
        (((0, 2), (2, 4)), 400),
        (((0, 2), (0, 2), (2, 4)), 400),
        (((0, 2), (0, 2), (2, 4), (2, 4)), 800),
        (((0, 2), (2, 4), (0, 3), (3, 4)), 800),
        # Both chains share their last stage, which is the cut.
        (((0, 1), (1, 3), (0, 2), (2, 3), (3, 4)), 400),
        # The middle engine can be fed from either side but not used twice.
        (((0, 2), (0, 1), (1, 2), (2, 4), (2, 4)), 800),
        (((0, 2), (3, 4)), 0),
    ],
)
def test_bound_of_hand_worked_cases(pairs, bound):
    assert throughput_bound(_ranges(*pairs), 4) == pytest.approx(bound)


def _view(engines=ENGINES, home='a'):
    view = ClusterView('n1', home, random.Random(1))
    view.adopt(make_configuration(1, engines))
    return view


def _chosen(view, now=10):
    route = view.planner.choose(MODEL, now)
    return route and tuple(engine.name for engine in route.stages)


def _drain(view):
    view.marks.merge([EndpointMark('a1', MarkState.DRAIN, 1)])


def _stop_second(view):
    view.marks.merge([EndpointMark('a2', MarkState.STOP, 1)])


def _load(view):
    view.endpoint('a1').streams = 12


def _fill(view):
    view.endpoint('a1').streams = 16


def _eject(view):
    view.endpoint('a2').health.note_failure('reset', 10)


def _slow(view):
    view.endpoint('a1').health.latency = 1.0


def _busy(view):
    view.endpoint('a1').note_busy(10)


def _leave(view):
    view.update_leaving_hosts((view.endpoint('a1').address,))


def _leave_host(view):
    view.update_leaving_hosts(('10.0.0.1',))


def _leave_and_stay(view):
    _leave(view)
    view.update_leaving_hosts(())


def _drain_all(view):
    view.marks.merge(
        EndpointMark(name, MarkState.DRAIN, 1) for name in ('a1', 'b1')
    )


@pytest.mark.parametrize(
    ('change', 'route'),
    [
        (lambda view: None, ('a1', 'a2')),
        (_drain, ('b1', 'a2')),
        (_stop_second, ('a1', 'b2')),
        (_load, ('b1', 'a2')),
        (_fill, ('b1', 'a2')),
        (_eject, ('a1', 'b2')),
        (_slow, ('b1', 'a2')),
        (_busy, ('b1', 'a2')),
        (_drain_all, None),
        (_leave, ('b1', 'a2')),
        (_leave_host, ('b1', 'b2')),
        (_leave_and_stay, ('a1', 'a2')),
    ],
)
def test_choice(change, route):
    view = _view()
    change(view)
    assert _chosen(view) == route


def test_adopting_keeps_state_and_retires_endpoints_in_use():
    view = _view()
    view.endpoint('a1').streams = 2
    view.endpoint('a2').streams = 1
    view.adopt(make_configuration(2, ENGINES[:1] + ENGINES[2:]))
    assert view.endpoint('a1').streams == 2
    assert view.endpoint('a2').streams == 1
    assert _chosen(view) == ('a1', 'b2')


@pytest.mark.parametrize('generation', [0, 1])
def test_older_generations_are_ignored(generation):
    view = _view()
    assert not view.adopt(make_configuration(generation, ENGINES[:2]))
    assert view.endpoint('b1')


@pytest.mark.parametrize(
    ('step_seconds', 'max_batch', 'max_streams', 'limit'),
    [
        # A fast engine holds what it serves within the target.
        (0.001, 4, 999, 132),
        # A slow one still holds two batches for each stage.
        (0.1, 4, 999, 16),
        # No engine is given more than it has room for.
        (0.001, 4, 16, 16),
    ],
)
def test_stream_limit(step_seconds, max_batch, max_streams, limit):
    engine = msgspec.structs.replace(
        ENGINES[0],
        step_seconds=step_seconds,
        max_batch=max_batch,
        max_streams=max_streams,
    )
    assert stream_limit(engine, MODEL) == limit


@pytest.mark.parametrize(
    ('own', 'peers', 'has_room'),
    [
        # Within its share a node need not look at its peers.
        (7, 16, True),
        # Beyond it, it borrows what peers leave unused.
        (9, 0, True),
        (8, 1, True),
        (9, 2, False),
        (12, 0, False),
    ],
)
def test_shared_engine_has_room(own, peers, has_room):
    view = _view()
    view.update_peer(_report(view, 'n2', 'a', peers), 10)
    state = view.endpoint('a1')
    state.streams = own
    assert state.ownership is Ownership.SHARED
    assert view.planner.has_room(state, 10) is has_room


@pytest.mark.parametrize(
    ('name', 'own', 'peers', 'has_room'),
    [
        # A node fills what is its own, less what peers borrowed.
        ('a1', 15, 0, True),
        ('a1', 16, 0, False),
        ('a1', 14, 2, False),
        # Of another's it takes what is left unused.
        ('a3', 4, 5, True),
        ('a3', 0, 12, False),
    ],
)
def test_owned_engine_has_room(name, own, peers, has_room):
    twin = msgspec.structs.replace(ENGINES[0], name='a3')
    view = _view((*ENGINES, twin))
    view.update_peer(_report(view, 'n2', 'a', peers, name), 10)
    state = view.endpoint(name)
    state.streams = own
    assert view.planner.has_room(state, 10) is has_room


def _report(view, node, domain, streams, endpoint='a1'):
    loads = (EndpointLoad(view.endpoint(endpoint).index, streams),)
    return PeerReport(node, domain, 'x', 1, 1, loads, loads)


def test_nodes_agree_on_owners_and_take_over_from_the_lost():
    twin = msgspec.structs.replace(ENGINES[0], name='a3')
    configuration = make_configuration(1, (*ENGINES, twin))
    owned = {}
    for node, peer in (('n1', 'n2'), ('n2', 'n1')):
        view = ClusterView(node, 'a', random.Random(1))
        view.adopt(configuration)
        view.update_peer(_report(view, peer, 'a', 0), 0)
        owned[node] = _owned(view)
    assert owned == {'n1': {'a1'}, 'n2': {'a3'}}
    view.remove_stale_peers(100)
    assert _owned(view) == {'a1', 'a2', 'a3'}


def _owned(view):
    return {
        name
        for name, state in view.registry.endpoints.items()
        if state.ownership is Ownership.OWN
    }
