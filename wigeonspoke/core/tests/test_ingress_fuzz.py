"""Stateful fuzz tests of the ingress core.

Hypothesis generates sequences of operations in which messages are lost,
delayed or duplicated.  ``make fuzz`` runs many more examples than the normal
test run.
"""

import os

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from wigeonspoke.core.chains import ChainSelector, SuspectRegistry
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import RetryWindowBudget
from wigeonspoke.core.leases import (
    LEASE_SECONDS,
    LeaseAction,
    LeaseKeeper,
    LeaseRow,
    VersionedLease,
)
from wigeonspoke.core.placement import Placement, PlacementController
from wigeonspoke.core.tests.fleet_examples import (
    LARGE_PROFILE,
    PROFILE,
    domain_engines,
    make_engine,
)
from wigeonspoke.ingress.streams.event_splitter import EventSplitter

EXAMPLES = int(os.environ.get('WIGEONSPOKE_FUZZ_EXAMPLES', '40'))
FUZZ = settings(
    max_examples=EXAMPLES,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def _has_delayed_orders(machine) -> bool:
    return bool(machine.delayed)


def _has_spare_engines(machine) -> bool:
    return len(machine.fleet.endpoints) > machine.min_engines


def _has_free_slots(machine) -> bool:
    return len(machine.fleet.endpoints) < machine.max_engines


class PlacementMachine(RuleBasedStateMachine):
    """A controller and its engines; orders get lost, delayed or duplicated."""

    profile = PROFILE
    domain = 'two'
    min_engines = 9
    max_engines = 16

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.controller = PlacementController(self.profile)
        self.fleet = Fleet()
        self.accepted: dict[str, int] = {}
        self.delayed: list[tuple[Placement, int]] = []
        self.joined_count = 0
        for each in domain_engines(self.domain):
            self.fleet.put(each)
        self.selector = ChainSelector(
            self.fleet, SuspectRegistry(), self.domain
        )

    @rule(seconds=st.floats(0.05, 3))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(outcome=st.sampled_from(['applied', 'lost', 'delayed']))
    def run_controller(self, outcome):
        engines = self.fleet.of_service('drafting')
        for placement in self.controller.decide(engines, (), self.now):
            held = placement.layers
            max_layers = self.profile.max_layers(placement.endpoint.accelerator)
            assert 0 < held.end - held.first <= max_layers
            self.controller.record_sent(placement, self.now)
            orders = self.accepted.get(placement.endpoint.endpoint_id, 0)
            if outcome == 'applied':
                self.controller.record_accepted(placement, self.now)
                self.apply_order(placement, orders)
            elif outcome == 'delayed':
                self.delayed.append((placement, orders))

    @precondition(_has_delayed_orders)
    @rule(index=st.integers(0, 99), duplicated=st.booleans())
    def delayed_order_arrives(self, index, duplicated):
        placement, orders = self.delayed.pop(index % len(self.delayed))
        self.apply_order(placement, orders)
        if duplicated:
            self.apply_order(placement, orders)

    @precondition(_has_spare_engines)
    @rule(index=st.integers(0, 99))
    def engine_leaves(self, index):
        names = sorted(self.fleet.endpoints)
        self.fleet.drop(names[index % len(names)])

    @precondition(_has_free_slots)
    @rule(accelerator=st.sampled_from(['large', 'middle', 'small', 'tiny']))
    def engine_joins(self, accelerator):
        self.joined_count += 1
        self.fleet.put(
            make_engine(
                f'new-{self.joined_count}', accelerator, domain=self.domain
            )
        )

    @rule(index=st.integers(0, 99))
    def engine_restarts_empty(self, index):
        names = sorted(self.fleet.endpoints)
        known = self.fleet.endpoints[names[index % len(names)]]
        again = msgspec.structs.replace(
            known,
            born=known.born + 1,
            layers=None,
        )
        self.fleet.put(again)
        self.accepted.pop(known.endpoint_id, None)

    def apply_order(self, placement, orders):
        """Apply an order unless the engine has accepted another one since."""
        known = self.fleet.endpoints.get(placement.endpoint.endpoint_id)
        if known is None or known.born != placement.endpoint.born:
            return
        if self.accepted.get(known.endpoint_id, 0) != orders:
            return
        self.accepted[known.endpoint_id] = orders + 1
        self.fleet.update_layers(
            known.endpoint_id, known.born, placement.layers
        )

    @invariant()
    def layers_fit_in_engine_memory(self):
        for each in self.fleet.endpoints.values():
            if each.layers is not None:
                held = each.layers.end - each.layers.first
                assert held <= self.profile.max_layers(each.accelerator)

    @invariant()
    def chains_cover_every_layer_once(self):
        for chain in self.selector.chains('drafting', self.profile):
            covered = 0
            for hop in chain.hops:
                assert hop.layers.first == covered
                held = hop.endpoint.layers
                assert held.first <= hop.layers.first
                assert hop.layers.end <= held.end
                covered = hop.layers.end
            assert covered == self.profile.layers

    def teardown(self):
        """Check that a complete chain forms after the last fault.

        This holds only if the memory of the engines fits the model.
        """
        capacity = sum(
            self.profile.max_layers(each.accelerator)
            for each in self.fleet.endpoints.values()
        )
        if capacity < self.profile.layers:
            return
        for _ in range(80):
            self.now += 1.5
            self.run_controller('applied')
        assert self.selector.chains('drafting', self.profile)


class CopiesMachine(PlacementMachine):
    """The same in a domain with memory for several copies of the model."""

    profile = LARGE_PROFILE
    domain = 'seven'
    min_engines = 16
    max_engines = 30


class LeaseMachine(RuleBasedStateMachine):
    """Three nodes that compete for a lease; replies to writes may be lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.version = 0
        self.row: LeaseRow | None = None
        self.row_version = 0
        self.keepers = [
            LeaseKeeper('one', f'n{index}', index < 2) for index in range(3)
        ]
        self.highest_fence = 0

    @rule(seconds=st.floats(0.01, 4))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), reply_received=st.booleans())
    def try_lease(self, index, reply_received):
        keeper = self.keepers[index]
        if keeper.is_held and not keeper.renewal_due(self.now):
            return
        seen = VersionedLease(self.row_version, self.row)
        expected = keeper.row_version
        if not keeper.is_held:
            if keeper.next_action(seen, self.now) is LeaseAction.WAIT:
                return
            expected = seen.version
        if expected != self.row_version:
            keeper.record_lost()
            return
        self.version += 1
        self.row_version = self.version
        self.row = LeaseRow(keeper.holder, self.now + LEASE_SECONDS)
        if reply_received:
            keeper.record_written(self.version, self.now)
        else:
            keeper.record_store_failure(self.now)

    @rule(index=st.integers(0, 2))
    def send_order(self, index):
        keeper = self.keepers[index]
        if not keeper.may_order(self.now):
            return
        assert keeper.fence > 0
        if keeper.fence < self.highest_fence:
            # The engine refuses the outdated fence, so the node gives up the
            # lease.
            keeper.record_lost()
            return
        self.highest_fence = keeper.fence

    @invariant()
    def fences_are_unique(self):
        fences = [each.fence for each in self.keepers if each.is_held]
        assert len(set(fences)) == len(fences)


class BudgetMachine(RuleBasedStateMachine):
    """Three nodes that share a retry budget without coordination."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 50.0
        self.nodes = [RetryWindowBudget(0.2, 30, 10, 0) for _ in range(3)]
        self.requests: list[float] = []
        self.retries: list[float] = []
        for node in self.nodes:
            node.node_share = 1 / len(self.nodes)

    @rule(seconds=st.floats(0.01, 2))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), count=st.integers(1, 20))
    def receive_requests(self, index, count):
        for _ in range(count):
            self.nodes[index].record_request(self.now)
            self.requests.append(self.now)

    @rule(index=st.integers(0, 2), count=st.integers(1, 30))
    def request_retries(self, index, count):
        for _ in range(count):
            if self.nodes[index].withdraw(self.now):
                self.retries.append(self.now)

    @invariant()
    def total_retries_stay_within_budget(self):
        start = self.now - 10
        retries = sum(timestamp > start for timestamp in self.retries)
        # A retry in the current window was granted for the requests of a
        # window that ended within it.  The bound therefore takes the largest
        # of the current window, the previous one and the one halfway between.
        requests_in_window = max(
            sum(timestamp > start for timestamp in self.requests),
            sum(start - 10 < timestamp <= start for timestamp in self.requests),
            sum(
                start - 5 < timestamp <= self.now - 5
                for timestamp in self.requests
            ),
        )
        assert retries <= 0.2 * requests_in_window + 30


class EventSplitterMachine(RuleBasedStateMachine):
    """An event stream that arrives in chunks of arbitrary size."""

    def __init__(self) -> None:
        super().__init__()
        self.splitter = EventSplitter()
        self.sent = b''
        self.emitted = b''
        self.number = 0
        self.numbers: list[int] = []

    @rule(sizes=st.lists(st.integers(1, 9), min_size=1, max_size=6))
    def receive_event_in_parts(self, sizes):
        self.number += 1
        event = f'id: {self.number}\ndata: x{self.number}\n\n'.encode()
        self.sent += event
        for size in sizes:
            self.feed(event[:size])
            event = event[size:]
        self.feed(event)

    def feed(self, part):
        for event in self.splitter.feed(part):
            self.emitted += event.raw
            self.numbers.append(event.number)

    @invariant()
    def events_are_emitted_once_in_order(self):
        assert self.sent == self.emitted + self.splitter.incomplete
        assert self.numbers == list(range(1, len(self.numbers) + 1))


TestPlacement = PlacementMachine.TestCase
TestPlacement.settings = FUZZ
TestCopies = CopiesMachine.TestCase
TestCopies.settings = FUZZ
TestLease = LeaseMachine.TestCase
TestLease.settings = FUZZ
TestBudget = BudgetMachine.TestCase
TestBudget.settings = FUZZ
TestEventSplitter = EventSplitterMachine.TestCase
TestEventSplitter.settings = FUZZ
