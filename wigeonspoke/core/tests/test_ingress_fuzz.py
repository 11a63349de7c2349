"""Random histories of the ingress core, with lost, late and doubled steps.

``make fuzz`` plays far more of them than the test run does.
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

from wigeonspoke.core.chains import ChainChooser, SuspectBook
from wigeonspoke.core.fleet import Fleet
from wigeonspoke.core.forwarding import WindowBudget
from wigeonspoke.core.leases import (
    LEASE_SECONDS,
    LeaseKeeper,
    LeaseRow,
    LeaseStep,
    SeenLease,
)
from wigeonspoke.core.placement import Placing, Steward
from wigeonspoke.core.tests.fleet_examples import (
    PROFILE,
    domain_engines,
    engine,
)
from wigeonspoke.ingress.event_splitter import EventSplitter

EXAMPLES = int(os.environ.get('WIGEONSPOKE_FUZZ_EXAMPLES', '40'))
FUZZ = settings(
    max_examples=EXAMPLES,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def _has_late_orders(machine) -> bool:
    return bool(machine.late)


def _has_engines_to_spare(machine) -> bool:
    return len(machine.fleet.endpoints) > 9


def _has_places(machine) -> bool:
    return len(machine.fleet.endpoints) < 16


class PlacementMachine(RuleBasedStateMachine):
    """A steward whose orders are lost, late or doubled, and its engines."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0
        self.steward = Steward(PROFILE)
        self.fleet = Fleet()
        self.accepted: dict[str, int] = {}
        self.late: list[tuple[Placing, int]] = []
        self.serial = 0
        for each in domain_engines('two'):
            self.fleet.put(each)
        self.chooser = ChainChooser(self.fleet, SuspectBook(), 'two')

    @rule(seconds=st.floats(0.05, 3))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(fate=st.sampled_from(['carried out', 'lost', 'late']))
    def steer(self, fate):
        engines = self.fleet.of_service('drafting')
        for placing in self.steward.decide(engines, (), self.now):
            held = placing.layers
            most = PROFILE.most_layers(placing.endpoint.accelerator)
            assert 0 < held.end - held.first <= most
            self.steward.note_sent(placing, self.now)
            orders = self.accepted.get(placing.endpoint.endpoint_id, 0)
            if fate == 'carried out':
                self.steward.note_accepted(placing, self.now)
                self.carry_out(placing, orders)
            elif fate == 'late':
                self.late.append((placing, orders))

    @precondition(_has_late_orders)
    @rule(index=st.integers(0, 99), twice=st.booleans())
    def late_order_lands(self, index, twice):
        placing, orders = self.late.pop(index % len(self.late))
        self.carry_out(placing, orders)
        if twice:
            self.carry_out(placing, orders)

    @precondition(_has_engines_to_spare)
    @rule(index=st.integers(0, 99))
    def engine_leaves(self, index):
        names = sorted(self.fleet.endpoints)
        self.fleet.drop(names[index % len(names)])

    @precondition(_has_places)
    @rule(accelerator=st.sampled_from(['large', 'middle', 'small', 'tiny']))
    def engine_joins(self, accelerator):
        self.serial += 1
        self.fleet.put(engine(f'new-{self.serial}', accelerator, domain='two'))

    @rule(index=st.integers(0, 99))
    def engine_starts_again_empty(self, index):
        names = sorted(self.fleet.endpoints)
        known = self.fleet.endpoints[names[index % len(names)]]
        again = msgspec.structs.replace(
            known,
            born=known.born + 1,
            layers=None,
        )
        self.fleet.put(again)
        self.accepted.pop(known.endpoint_id, None)

    def carry_out(self, placing, orders):
        """Carry an order out, unless another one was accepted since."""
        known = self.fleet.endpoints.get(placing.endpoint.endpoint_id)
        if known is None or known.born != placing.endpoint.born:
            return
        if self.accepted.get(known.endpoint_id, 0) != orders:
            return
        self.accepted[known.endpoint_id] = orders + 1
        self.fleet.note_layers(known.endpoint_id, known.born, placing.layers)

    @invariant()
    def no_engine_holds_more_than_fits(self):
        for each in self.fleet.endpoints.values():
            if each.layers is not None:
                held = each.layers.end - each.layers.first
                assert held <= PROFILE.most_layers(each.accelerator)

    @invariant()
    def chains_run_every_layer_once(self):
        for chain in self.chooser.chains('drafting', PROFILE):
            covered = 0
            for hop in chain.hops:
                assert hop.layers.first == covered
                held = hop.endpoint.layers
                assert held.first <= hop.layers.first
                assert hop.layers.end <= held.end
                covered = hop.layers.end
            assert covered == PROFILE.layers

    def teardown(self):
        """After the last fault a copy becomes whole, if memory allows."""
        room = sum(
            PROFILE.most_layers(each.accelerator)
            for each in self.fleet.endpoints.values()
        )
        if room < PROFILE.layers:
            return
        for _ in range(80):
            self.now += 1.5
            self.steer('carried out')
        assert self.chooser.chains('drafting', PROFILE)


class LeaseMachine(RuleBasedStateMachine):
    """Three nodes and one lease row; writes may be lost after they landed."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.version = 0
        self.row: LeaseRow | None = None
        self.row_version = 0
        self.keepers = [
            LeaseKeeper('one', f'n{index}', index < 2) for index in range(3)
        ]
        self.highest_order = 0

    @rule(seconds=st.floats(0.01, 4))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), answered=st.booleans())
    def look(self, index, answered):
        keeper = self.keepers[index]
        if keeper.is_held and not keeper.renewal_due(self.now):
            return
        seen = SeenLease(self.row_version, self.row)
        expected = keeper.row_version
        if not keeper.is_held:
            if keeper.judge(seen, self.now) is LeaseStep.WAIT:
                return
            expected = seen.version
        if expected != self.row_version:
            keeper.note_lost()
            return
        self.version += 1
        self.row_version = self.version
        self.row = LeaseRow(keeper.holder, self.now + LEASE_SECONDS)
        if answered:
            keeper.note_held(self.version, self.now)
        else:
            keeper.note_store_lost(self.now)

    @rule(index=st.integers(0, 2))
    def order(self, index):
        keeper = self.keepers[index]
        if not keeper.may_order(self.now):
            return
        assert keeper.fence > 0
        if keeper.fence < self.highest_order:
            # The engine refuses, and the node believes it.
            keeper.note_lost()
            return
        self.highest_order = keeper.fence

    @invariant()
    def no_two_nodes_have_the_same_fence(self):
        fences = [each.fence for each in self.keepers if each.is_held]
        assert len(set(fences)) == len(fences)


class BudgetMachine(RuleBasedStateMachine):
    """Three nodes that share a budget without talking."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 50.0
        self.nodes = [WindowBudget(0.2, 30, 10, 0) for _ in range(3)]
        self.requests: list[float] = []
        self.repeats: list[float] = []
        for node in self.nodes:
            node.share = 1 / len(self.nodes)

    @rule(seconds=st.floats(0.01, 2))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=st.integers(0, 2), count=st.integers(1, 20))
    def requests_come(self, index, count):
        for _ in range(count):
            self.nodes[index].note_request(self.now)
            self.requests.append(self.now)

    @rule(index=st.integers(0, 2), count=st.integers(1, 30))
    def repeats_are_wanted(self, index, count):
        for _ in range(count):
            if self.nodes[index].withdraw(self.now):
                self.repeats.append(self.now)

    @invariant()
    def all_nodes_together_keep_to_it(self):
        start = self.now - 10
        repeats = sum(moment > start for moment in self.repeats)
        # The requests counted are those of the window or the one before.
        asked = max(
            sum(moment > start for moment in self.requests),
            sum(start - 10 < moment <= start for moment in self.requests),
            sum(start - 5 < moment <= self.now - 5 for moment in self.requests),
        )
        assert repeats <= 0.2 * asked + 30


class SplicingMachine(RuleBasedStateMachine):
    """A stream cut anywhere and read in parts of any size."""

    def __init__(self) -> None:
        super().__init__()
        self.splitter = EventSplitter()
        self.sent = b''
        self.given = b''
        self.number = 0
        self.numbers: list[int] = []

    @rule(cuts=st.lists(st.integers(1, 9), min_size=1, max_size=6))
    def events_come_in_parts(self, cuts):
        self.number += 1
        event = f'id: {self.number}\ndata: x{self.number}\n\n'.encode()
        self.sent += event
        for cut in cuts:
            self.feed(event[:cut])
            event = event[cut:]
        self.feed(event)

    def feed(self, part):
        for event in self.splitter.feed(part):
            self.given += event.raw
            self.numbers.append(event.number)

    @invariant()
    def whole_events_come_once_and_in_order(self):
        assert self.sent == self.given + self.splitter.incomplete
        assert self.numbers == list(range(1, len(self.numbers) + 1))


TestPlacement = PlacementMachine.TestCase
TestPlacement.settings = FUZZ
TestLease = LeaseMachine.TestCase
TestLease.settings = FUZZ
TestBudget = BudgetMachine.TestCase
TestBudget.settings = FUZZ
TestSplicing = SplicingMachine.TestCase
TestSplicing.settings = FUZZ
