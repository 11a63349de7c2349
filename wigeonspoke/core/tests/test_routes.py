"""Routes tile a model exactly, and the best ones are chosen."""

import random

import pytest
from returns.result import Success

from wigeonspoke.core.membership import EndpointMark, MarkState
from wigeonspoke.core.routes import build_route
from wigeonspoke.core.routes.bound import throughput_bound
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
    view = ClusterView(home, random.Random(1))
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
    view.endpoint('a1').streams = 7


def _fill(view):
    view.endpoint('a1').streams = 8


def _eject(view):
    view.endpoint('a2').health.note_failure('reset', 10)


def _slow(view):
    view.endpoint('a1').health.latency = 1.0


def _busy(view):
    view.endpoint('a1').note_busy(10)


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
