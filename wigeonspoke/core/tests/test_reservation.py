"""Tests of the capacity that chains reserve for more urgent ranks."""

import pytest

from wigeonspoke.core.admission import ChainLoad, RankReservation


def make_reservation(arrivals, seconds=10.0):
    """Return a reservation after arrivals of each rank, evenly in time."""
    reservation = RankReservation()
    for rank, count in arrivals.items():
        for number in range(count):
            reservation.record_arrival(rank, (number + 1) * seconds / count)
    return reservation


@pytest.mark.parametrize(
    ('rank', 'nodes', 'chains', 'reserved'),
    [
        # 2 a second at each of 10 nodes, on 5 chains: 2.8 in 0.7 s.
        (1, 10, 5, 2.8 + 2.8**0.5),
        # In addition 1 a second of rank 1.
        (2, 10, 5, 2.8 + 2.8**0.5 + 1.4 + 1.4**0.5),
        (0, 10, 5, 0),
        (1, 1, 0, 1.4 + 1.4**0.5),
    ],
)
def test_what_arrives_before_the_news_is_reserved(
    rank, nodes, chains, reserved
):
    reservation = make_reservation({0: 20, 1: 10})
    assert reservation.reserved(rank, nodes, chains, 10) == pytest.approx(
        reserved
    )


def test_nothing_is_reserved_for_a_rank_not_seen_lately():
    reservation = make_reservation({0: 20})
    assert reservation.reserved(1, 1, 1, 15) > 0
    assert not reservation.reserved(1, 1, 1, 20.5)
    reservation.retain(set(), 20.5)
    assert not reservation.arrivals


def test_a_less_urgent_rank_leaves_the_reserved_capacity_free():
    reservation = RankReservation()
    load = [ChainLoad('h', streams, 6) for streams in range(7)]
    admitted = [reservation.is_admitted(each, 2.5, 1, 1) for each in load]
    assert admitted == [True] * 4 + [False] * 3
    admitted = [reservation.is_admitted(each, 0, 1, 1) for each in load]
    assert admitted == [True] * 6 + [False]


def admitted_at(reservation, times, waits_since=1, streams=5):
    load = ChainLoad('h', streams, 6)
    return [
        now
        for now in times
        if reservation.is_admitted(load, 2, waits_since, now)
    ]


TIMES = [1, 1.1, 1.2, 1.25, 1.3]


def test_a_waiting_request_takes_what_stays_unused():
    assert admitted_at(RankReservation(), TIMES) == [1.25, 1.3]


def test_a_new_request_leaves_what_was_unused_before():
    reservation = RankReservation()
    admitted_at(reservation, TIMES)
    assert not admitted_at(reservation, [1.5], waits_since=1.5)


@pytest.mark.parametrize('change', ['own start', 'start of a peer', 'full'])
def test_capacity_taken_meanwhile_counts_as_used(change):
    reservation = RankReservation()
    admitted_at(reservation, [1], streams=4)
    if change == 'own start':
        reservation.record_start('h', 1.1)
    elif change == 'full':
        admitted_at(reservation, [1.1], streams=6)
    else:
        admitted_at(reservation, [1.1])
    assert admitted_at(reservation, [1.2, 1.3, 1.34, 1.36]) == [1.36]


def test_a_clock_that_steps_back_admits_nothing_at_once():
    reservation = RankReservation()
    admitted_at(reservation, [100.0])
    assert admitted_at(reservation, [1, 1.1, 1.3]) == [1.3]
