"""Marks merge in any order; reports of earlier incarnations are ignored."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspoke.core.membership import (
    EndpointLoad,
    EndpointMark,
    MarkRegistry,
    MarkState,
    PeerRegistry,
    PeerReport,
)

MARKS = st.builds(
    EndpointMark,
    st.sampled_from(('e1', 'e2')),
    st.sampled_from(MarkState),
    st.integers(1, 3),
)


@pytest.mark.parametrize(
    ('known', 'received', 'state'),
    [
        ((MarkState.ACTIVE, 1), (MarkState.DRAIN, 1), MarkState.DRAIN),
        ((MarkState.STOP, 1), (MarkState.DRAIN, 1), MarkState.STOP),
        ((MarkState.STOP, 1), (MarkState.ACTIVE, 2), MarkState.ACTIVE),
        ((MarkState.DRAIN, 3), (MarkState.ACTIVE, 2), MarkState.DRAIN),
    ],
)
def test_merge(known, received, state):
    registry = MarkRegistry()
    registry.merge([EndpointMark('e', *known)])
    registry.merge([EndpointMark('e', *received)])
    assert registry.state('e') is state


@given(st.lists(MARKS, max_size=4))
def test_merge_is_independent_of_order_and_repetition(marks):
    results = []
    for order in itertools.permutations(marks):
        registry = MarkRegistry()
        registry.merge(order)
        registry.merge(reversed(order))
        results.append(registry.marks)
    assert all(result == results[0] for result in results)


def _report(incarnation, sequence, streams):
    loads = (EndpointLoad(7, streams),)
    return PeerReport('n2', 'a', incarnation, sequence, 1, loads)


@pytest.mark.parametrize(
    ('reports', 'streams'),
    [
        ([('x', 1, 5)], 5),
        ([('x', 1, 5), ('x', 2, 3)], 3),
        ([('x', 2, 3), ('x', 1, 5)], 3),
        ([('x', 9, 5), ('y', 1, 0)], 0),
        ([('y', 1, 0), ('x', 9, 5)], 0),
    ],
)
def test_latest_report_counts(reports, streams):
    registry = PeerRegistry()
    for report in reports:
        registry.update(_report(*report), 0)
    assert registry.streams_at(7) == streams


def test_stale_peer_is_removed():
    registry = PeerRegistry()
    registry.update(_report('x', 1, 5), 0)
    assert (registry.live_nodes, registry.remove_stale(2)) == (2, ())
    assert registry.remove_stale(4) == ('n2',)
    assert (registry.live_nodes, registry.streams_at(7)) == (1, 0)
