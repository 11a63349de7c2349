"""Tests for routing, registry, leases, retries and replica selection."""

from collections import Counter

import pytest

from wigeonspoke.core.chains import ChainConcurrencyLimits
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import ReplicaSelector, RetryWindowBudget
from wigeonspoke.core.leases import (
    LEASE_SECONDS,
    LeaseAction,
    LeaseKeeper,
    LeaseRow,
    VersionedLease,
)
from wigeonspoke.core.routing import (
    ClientAccount,
    ClientLimits,
    RequestKind,
    RoutingConfiguration,
    RoutingTable,
    Rule,
    Target,
    choose_target,
)
from wigeonspoke.core.tests.fleet_examples import make_engine


def _rule(prefix: str, service: str = 's', kind=RequestKind.SAFE) -> Rule:
    return Rule(
        name=prefix,
        host='h',
        prefix=prefix,
        kind=kind,
        timeout_seconds=1.0,
        target_latency_seconds=0.1,
        max_attempts=2,
        priority=1,
        allows_anonymous=False,
        is_resumable=False,
        target_event_gap_seconds=0.2,
        targets=(Target(service, 1),),
    )


def _configuration(version: int, *prefixes: str) -> RoutingConfiguration:
    return RoutingConfiguration(
        version=version,
        rules=tuple(map(_rule, prefixes)),
        services=(),
        accounts=(ClientAccount('acme', ('k1', 'k2')),),
        has_accounts=True,
        limits=ClientLimits(),
    )


@pytest.mark.parametrize(
    ('path', 'found'),
    [
        ('/a/x', '/a/'),
        ('/a/b/x', '/a/b/'),
        ('/a/b', '/a/'),
        ('/ab/x', None),
        ('/', None),
    ],
)
def test_longest_path_prefix_wins(path, found):
    table = RoutingTable()
    table.adopt(_configuration(1, '/a/', '/a/b/'))
    rule = table.find_rule('h', path)
    prefix = rule.prefix if rule else None
    assert prefix == found


@pytest.mark.parametrize(
    ('versions', 'in_force'),
    [([1, 3, 2], 3), ([5, 5], 5), ([2, 1, 0], 2)],
)
def test_older_configuration_is_ignored(versions, in_force):
    table = RoutingTable()
    for version in versions:
        table.adopt(_configuration(version, f'/v{version}/'))
    assert table.version == in_force
    assert table.find_rule('h', f'/v{in_force}/x') is not None


def test_removed_key_or_rule_is_not_allowed():
    table = RoutingTable()
    table.adopt(_configuration(1, '/a/'))
    assert table.allows(_rule('/a/'), 'k1')
    assert not table.allows(_rule('/a/'), 'other')
    assert not table.allows(_rule('/gone/'), 'k1')


@pytest.mark.parametrize(
    ('point', 'service'),
    [(0, 'a'), (0.74, 'a'), (0.76, 'b'), (0.999, 'b')],
)
def test_target_selection_by_weight(point, service):
    targets = (Target('a', 75), Target('b', 25))
    assert choose_target(targets, point) == service


@pytest.mark.parametrize(
    ('later', 'layers'),
    [
        # A registry entry of an earlier start arrives late.
        ({'born': 1, 'layers': (0, 9)}, None),
        # The same start has loaded its layers.
        ({'born': 2, 'layers': (0, 9)}, (0, 9)),
        # A restarted engine holds no layers.
        ({'born': 3}, None),
    ],
)
def test_fleet_keeps_the_newest_start(later, layers):
    fleet = Fleet()
    fleet.put(make_engine('a', born=2))
    fleet.put(make_engine('a', **later))
    held = fleet.endpoints['a'].layers
    expected = LayerRange(*layers) if layers else None
    assert held == expected


def test_report_of_another_start_is_ignored():
    fleet = Fleet()
    fleet.put(make_engine('a', born=2))
    fleet.update_layers('a', 1, LayerRange(0, 5))
    assert fleet.endpoints['a'].layers is None
    fleet.update_layers('a', 2, LayerRange(0, 5))
    assert fleet.endpoints['a'].layers == LayerRange(0, 5)


@pytest.mark.parametrize(
    ('is_own', 'row', 'step'),
    [
        (True, None, LeaseAction.TAKE),
        (False, None, LeaseAction.WAIT),
        (True, LeaseRow('other', 11.0), LeaseAction.WAIT),
        (True, LeaseRow('other', 9.9), LeaseAction.TAKE),
        (False, LeaseRow('other', 9.9), LeaseAction.WAIT),
        (False, LeaseRow('other', 3.0), LeaseAction.TAKE),
        (True, LeaseRow('me', 11.0), LeaseAction.RENEW),
        # The holder cannot reach the engines and has released the lease.
        (True, LeaseRow('other', 9.9, is_released=True), LeaseAction.TAKE),
        (False, LeaseRow('other', 8.6, is_released=True), LeaseAction.WAIT),
        (False, LeaseRow('other', 8.4, is_released=True), LeaseAction.TAKE),
    ],
)
def test_lease_step(is_own, row, step):
    keeper = LeaseKeeper('one', 'me', is_own)
    assert keeper.next_action(VersionedLease(3, row), 10.0) is step


@pytest.mark.parametrize(
    ('holder', 'until', 'predates'),
    [('h', 19.9, True), ('h', 20.1, False), ('other', 19.9, False)],
)
def test_late_news_of_a_lease_do_not_undo_its_release(holder, until, predates):
    released = LeaseRow('h', 10.0, is_released=True)
    assert LeaseRow(holder, until).predates_release(released) is predates
    assert not LeaseRow(holder, until).predates_release(LeaseRow('h', 10.0))


@pytest.mark.parametrize(
    ('is_own', 'written_at', 'is_gone', 'step'),
    [
        (True, 7.0, False, LeaseAction.WAIT),
        (True, 7.0, True, LeaseAction.TAKE),
        # The lease may have been renewed after the holder's last message.
        (True, 9.0, True, LeaseAction.WAIT),
        (False, 7.0, True, LeaseAction.WAIT),
        (False, 2.0, True, LeaseAction.TAKE),
        (False, 2.0, False, LeaseAction.WAIT),
    ],
)
def test_lease_step_when_holder_is_gone(is_own, written_at, is_gone, step):
    keeper = LeaseKeeper('one', 'me', is_own)
    row = LeaseRow('other', written_at + LEASE_SECONDS)
    judged = keeper.next_action(VersionedLease(3, row), 10.0, is_gone=is_gone)
    assert judged is step


def test_failed_renewal_is_retried_after_a_delay():
    keeper = LeaseKeeper('one', 'me', is_own_domain=True)
    keeper.record_written(7, 0)
    assert keeper.renewal_due(6.0)
    keeper.record_store_failure(6.0)
    assert not keeper.renewal_due(6.1)
    assert keeper.renewal_due(6.6)


@pytest.mark.parametrize(
    ('event', 'at', 'may_order'),
    [
        ('held', 2.9, True),
        ('held', 3.1, False),
        # Without the store no other node can take the lease.
        ('store lost', 8.0, True),
        ('store lost', 21.0, False),
        ('lost', 0.1, False),
    ],
)
def test_holder_may_order(event, at, may_order):
    keeper = LeaseKeeper('one', 'me', is_own_domain=True)
    keeper.record_written(7, 0)
    if event == 'store lost':
        keeper.record_store_failure(1.2)
    if event == 'lost':
        keeper.record_lost()
    assert keeper.may_order(at) == may_order


def test_fence_is_the_first_row_version_of_a_term():
    keeper = LeaseKeeper('one', 'me', is_own_domain=True)
    keeper.record_written(7, 0)
    keeper.record_written(9, 1.0)
    assert (keeper.fence, keeper.row_version) == (7, 9)
    keeper.record_lost()
    keeper.record_written(12, 5.0)
    assert keeper.fence == 12


def test_retries_stay_within_the_sliding_window_budget():
    budget = RetryWindowBudget(0.2, 6, 10.0, started_at=-10)
    budget.node_share = 0.5
    for index in range(50):
        budget.record_request(index / 10)
    assert [budget.withdraw(5.0) for _ in range(15)].count(True) == 10
    assert not budget.withdraw(9.0)
    assert [budget.withdraw(30.0) for _ in range(9)].count(True) == 3


def _replica_selector() -> ReplicaSelector:
    fleet = Fleet()
    for domain in ('one', 'two', 'three'):
        fleet.put(make_engine(domain, domain=domain, slots=6))
    return ReplicaSelector(fleet, 'one')


def test_failed_replica_is_ejected_and_tried_again_later():
    selector = _replica_selector()
    own = selector.select('drafting', (), 0)
    assert own.failure_domain == 'one'
    assert selector.record_failure(own, 'reset', 0)
    assert selector.select('drafting', (), 0.1) != own
    assert selector.select('drafting', (), 0.6) == own
    selector.record_success(own, 0.03, 0.6)
    assert selector.select('drafting', (), 0.7) == own


def test_calls_spread_when_own_replica_fills_up():
    selector = _replica_selector()
    taken = []
    for _ in range(9):
        replica = selector.select('drafting', (), 0)
        selector.begin(replica)
        taken.append(replica.failure_domain)
    assert Counter(taken)['one'] < 6
    assert set(taken) == {'one', 'two', 'three'}


def test_extra_retries_ramp_up_after_start():
    budget = RetryWindowBudget(0.2, 10, 10.0, started_at=0)
    assert not budget.withdraw(0)
    assert [budget.withdraw(5.0) for _ in range(9)].count(True) == 4
    assert [budget.withdraw(10.0) for _ in range(9)].count(True) == 4


def test_limit_drops_on_refusal_then_rises():
    limits = ChainConcurrencyLimits()
    assert limits.has_capacity('h', 1000, 0)
    limits.record_refusal('h', 20, 0)
    assert limits.has_capacity('h', 17, 0)
    assert not limits.has_capacity('h', 18, 0)
    assert limits.has_capacity('h', 18, 1.0)
    limits.record_refusal('h', 40, 1.0)
    assert not limits.has_capacity('h', 22, 1.0)
    assert limits.has_capacity('h', 1000, 60.0)
