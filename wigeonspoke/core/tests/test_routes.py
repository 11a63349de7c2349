"""Tests of route building, route selection and stream limits."""

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
from wigeonspoke.core.routes.registry import Ownership, stream_limit
from wigeonspoke.core.routes.throughput import throughput_bound
from wigeonspoke.core.tests.examples import (
    ENGINES,
    MODEL,
    make_configuration,
    make_engine,
)
from wigeonspoke.core.view import ClusterView


def _make_engines(*pairs):
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
        ((), 'ends at layer 0 of 4'),
        (((0, 2),), 'ends at layer 2 of 4'),
        (((0, 2), (3, 4)), 'expected first layer 2'),
        (((0, 3), (2, 4)), 'expected first layer 3'),
        (((0, 2), (2, 2), (2, 4)), 'empty layer range'),
        (((1, 4),), 'expected first layer 0'),
        (((0, 5),), 'ends at layer 5 of 4'),
        (((0, 2), (0, 2), (2, 4)), 'expected first layer 2'),
    ],
)
def test_layer_tiling(pairs, problem):
    built = build_route(_make_engines(*pairs), 4)
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
        # Both routes share their last stage, which is the minimum cut.
        (((0, 1), (1, 3), (0, 2), (2, 3), (3, 4)), 400),
        # [0, 1) and [1, 2) form a second path to the engines of [2, 4).
        (((0, 2), (0, 1), (1, 2), (2, 4), (2, 4)), 800),
        (((0, 2), (3, 4)), 0),
    ],
)
def test_throughput_bound(pairs, bound):
    assert throughput_bound(_make_engines(*pairs), 4) == pytest.approx(bound)


def _view(engines=ENGINES, home='a'):
    view = ClusterView('n1', home, random.Random(1))
    view.adopt(make_configuration(1, engines))
    return view


def _chosen_route(view, now=10):
    route = view.planner.choose_route(MODEL, now)
    return route and tuple(engine.name for engine in route.stages)


def _drain(view):
    view.marks.merge([EndpointMark('a1', MarkState.DRAIN, 1)])


def _stop_second(view):
    view.marks.merge([EndpointMark('a2', MarkState.STOP, 1)])


def _add_load(view):
    view.endpoint('a1').streams = 12


def _fill_to_limit(view):
    view.endpoint('a1').streams = 16


def _eject(view):
    view.endpoint('a2').health.record_failure('reset', 10)


def _raise_latency(view):
    view.endpoint('a1').health.latency_seconds = 1.0


def _back_off(view):
    view.endpoint('a1').back_off(10)


def _announce_departure(view):
    view.update_leaving_hosts((view.endpoint('a1').address,))


def _announce_host_departure(view):
    view.update_leaving_hosts(('10.0.0.1',))


def _cancel_departure(view):
    _announce_departure(view)
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
        (_add_load, ('b1', 'a2')),
        (_fill_to_limit, ('b1', 'a2')),
        (_eject, ('a1', 'b2')),
        (_raise_latency, ('b1', 'a2')),
        (_back_off, ('b1', 'a2')),
        (_drain_all, None),
        (_announce_departure, ('b1', 'a2')),
        (_announce_host_departure, ('b1', 'b2')),
        (_cancel_departure, ('a1', 'a2')),
    ],
)
def test_route_choice(change, route):
    view = _view()
    change(view)
    assert _chosen_route(view) == route


def test_adopting_keeps_state_and_retires_endpoints_in_use():
    view = _view()
    view.endpoint('a1').streams = 2
    view.endpoint('a2').streams = 1
    view.adopt(make_configuration(2, ENGINES[:1] + ENGINES[2:]))
    assert view.endpoint('a1').streams == 2
    assert view.endpoint('a2').streams == 1
    assert _chosen_route(view) == ('a1', 'b2')


@pytest.mark.parametrize('generation', [0, 1])
def test_configuration_that_is_not_newer_is_ignored(generation):
    view = _view()
    assert not view.adopt(make_configuration(generation, ENGINES[:2]))
    assert view.endpoint('b1')


@pytest.mark.parametrize(
    ('step_seconds', 'max_batch', 'max_streams', 'limit'),
    [
        # A fast engine is limited by the latency target.
        (0.001, 4, 999, 132),
        # A slow engine still holds two batches for each stage.
        (0.1, 4, 999, 16),
        # The engine's own max_streams is never exceeded.
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
    ('own', 'peers', 'has_capacity'),
    [
        # Within its equal share, the load of peers does not matter.
        (7, 16, True),
        # Beyond its share, it may use 60 % of the limit of 16 in total.
        (9, 0, True),
        (8, 1, True),
        (9, 2, False),
        (12, 0, False),
    ],
)
def test_shared_engine_has_capacity(own, peers, has_capacity):
    view = _view()
    view.update_peer(_report(view, 'n2', 'a', peers), 10)
    state = view.endpoint('a1')
    state.streams = own
    assert state.ownership is Ownership.SHARED
    assert view.planner.has_capacity(state, 10) is has_capacity


@pytest.mark.parametrize(
    ('name', 'own', 'peers', 'has_capacity'),
    [
        # A node uses its own engine up to the limit, including peers' streams.
        ('a1', 15, 0, True),
        ('a1', 16, 0, False),
        ('a1', 14, 2, False),
        # It may use an engine of another node up to 60 % of its limit.
        ('a3', 4, 5, True),
        ('a3', 0, 12, False),
    ],
)
def test_owned_engine_has_capacity(name, own, peers, has_capacity):
    second_engine = msgspec.structs.replace(ENGINES[0], name='a3')
    view = _view((*ENGINES, second_engine))
    view.update_peer(_report(view, 'n2', 'a', peers, name), 10)
    state = view.endpoint(name)
    state.streams = own
    assert view.planner.has_capacity(state, 10) is has_capacity


def _report(view, node, domain, streams, endpoint='a1'):
    loads = (EndpointLoad(view.endpoint(endpoint).index, streams),)
    return PeerReport(node, domain, 'x', 1, 1, loads, loads)


def test_nodes_agree_on_owners_and_take_over_from_a_lost_peer():
    second_engine = msgspec.structs.replace(ENGINES[0], name='a3')
    configuration = make_configuration(1, (*ENGINES, second_engine))
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
