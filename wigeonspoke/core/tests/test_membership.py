"""Marks merge in any order; peers are told from their former selves."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wigeonspoke.core.membership import (
    EndpointLoad,
    EndpointMark,
    MarkBook,
    MarkState,
    PeerBook,
    PeerReport,
)

MARKS = st.builds(
    EndpointMark,
    st.sampled_from(('e1', 'e2')),
    st.sampled_from(MarkState),
    st.integers(1, 3),
)


@pytest.mark.parametrize(
    ('known', 'heard', 'state'),
    [
        ((MarkState.ACTIVE, 1), (MarkState.DRAIN, 1), MarkState.DRAIN),
        ((MarkState.STOP, 1), (MarkState.DRAIN, 1), MarkState.STOP),
        ((MarkState.STOP, 1), (MarkState.ACTIVE, 2), MarkState.ACTIVE),
        ((MarkState.DRAIN, 3), (MarkState.ACTIVE, 2), MarkState.DRAIN),
    ],
)
def test_merge(known, heard, state):
    book = MarkBook()
    book.merge([EndpointMark('e', *known)])
    book.merge([EndpointMark('e', *heard)])
    assert book.state('e') is state


@given(st.lists(MARKS, max_size=4))
def test_any_order_and_repetition_ends_the_same(marks):
    ends = []
    for order in itertools.permutations(marks):
        book = MarkBook()
        book.merge(order)
        book.merge(reversed(order))
        ends.append(book.marks)
    assert all(end == ends[0] for end in ends)


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
def test_reports_of_peers(reports, streams):
    book = PeerBook()
    for report in reports:
        book.take(_report(*report), 0)
    assert book.streams_at(7) == streams


def test_silent_peer_is_forgotten():
    book = PeerBook()
    book.take(_report('x', 1, 5), 0)
    assert (book.live_nodes, book.forget_stale(2)) == (2, ())
    assert book.forget_stale(4) == ('n2',)
    assert (book.live_nodes, book.streams_at(7)) == (1, 0)
