"""Tests of the rank of a request and the urgency told to engines."""

import pytest

from wigeonspoke.core.routing import (
    ClientAccount,
    ClientLimits,
    RankTable,
    RequestKind,
    RoutingConfiguration,
    Rule,
    Target,
)


def make_rule(name, priority, *, services=('drafting',), anonymous=False):
    return Rule(
        name=name,
        host='shop.example',
        prefix=f'/{name}/',
        kind=RequestKind.STREAM,
        timeout_seconds=5,
        target_latency_seconds=0.5,
        max_attempts=2,
        priority=priority,
        allows_anonymous=anonymous,
        is_resumable=True,
        target_event_gap_seconds=0.2,
        targets=tuple(Target(service, 1) for service in services),
    )


def make_ranks(rules, priorities=(None,)):
    accounts = tuple(
        ClientAccount(f'a{number}', (f'key{number}',), priority)
        for number, priority in enumerate(priorities)
    )
    return RankTable(
        RoutingConfiguration(1, rules, (), accounts, True, ClientLimits())
    )


def test_the_account_precedes_the_rule():
    rules = (make_rule('x', 1), make_rule('y', 2))
    ranks = make_ranks(rules, (0, None))
    assert [
        ranks.rank('drafting', rule, account)
        for rule in rules
        for account in ('a0', 'a1', '')
    ] == [0, 1, 1, 0, 2, 2]


@pytest.mark.parametrize(
    ('rules', 'priorities', 'differs'),
    [
        ((make_rule('x', 1), make_rule('y', 1)), (None, None), False),
        ((make_rule('x', 1), make_rule('y', 2)), (None, None), True),
        ((make_rule('x', 1),), (None, 0), True),
        ((make_rule('x', 1),), (1, None), False),
        # Every request has the priority of its account.
        ((make_rule('x', 1),), (3, 3), False),
        ((make_rule('x', 1, anonymous=True),), (3, 3), True),
        # Different priorities on different services order nothing.
        (
            (make_rule('x', 1), make_rule('y', 2, services=('other',))),
            (None,),
            False,
        ),
        (
            (
                make_rule('x', 1),
                make_rule('y', 2, services=('other', 'drafting')),
            ),
            (None,),
            True,
        ),
    ],
)
def test_ranks_are_in_force_only_where_they_differ(rules, priorities, differs):
    ranks = make_ranks(rules, priorities)
    assert ranks.differs('drafting') == differs
    rank = ranks.rank('drafting', rules[0], 'a0')
    assert (ranks.urgency('drafting', rank) is not None) == differs
    assert differs or rank == 0


def test_urgency_of_the_ranks_in_use():
    ranks = make_ranks(
        tuple(make_rule(f'x{number}', number) for number in (0, 3, 4, 8, 9))
    )
    assert [
        ranks.urgency('drafting', rank) for rank in (0, 3, 4, 8, 9, 12)
    ] == [2, 4, 6, 8, 8, 8]


def test_no_configuration_has_no_ranks():
    ranks = RankTable()
    assert ranks.rank('drafting', make_rule('x', 3), 'a0') == 0
    assert ranks.urgency('drafting', 0) is None
