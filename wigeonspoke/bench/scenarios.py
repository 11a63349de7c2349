"""The scenarios: load, faults and targets."""

from collections.abc import Callable

import msgspec

from wigeonspoke.bench.cluster import VirtualCluster
from wigeonspoke.bench.deployment import DOMAINS, Size

Fault = Callable[[VirtualCluster], None]

LINK_FACTOR = 100
SLOWDOWN = 10
FAULT_LOAD = 0.7


class Strike(msgspec.Struct, frozen=True):
    """A fault, ``after`` so many seconds of measurement."""

    after: float
    fault: Fault


class Target(msgspec.Struct, frozen=True):
    """What a scenario must reach; ``None`` where it does not apply.

    Goodput is over what is offered or over the bound, whichever is less.
    """

    goodput: float | None = None
    first_token_p95: float | None = None
    between_tokens_p95: float | None = None
    recovery_seconds: float | None = None
    cut: int = 0
    wrong: int = 0


class Scenario(msgspec.Struct, frozen=True):
    """One case: offered load over the bound, faults and targets."""

    name: str
    load: float
    target: Target
    strikes: tuple[Strike, ...] = ()
    size: Size = Size()
    batch_share: float = 0
    seconds: float = 6.0


def _kill(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].kill()


def _kill_two(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].kill()
    cluster.engines['e0-2'].kill()


def _freeze(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].frozen = True


def _slow_down(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].slowdown = SLOWDOWN


def _degrade_link(cluster: VirtualCluster) -> None:
    pair = frozenset(DOMAINS[:2])
    cluster.link_factors[pair] = LINK_FACTOR


def _kill_tenth(cluster: VirtualCluster) -> None:
    for engine in tuple(cluster.engines.values())[::10]:
        engine.kill()


def _revive_all(cluster: VirtualCluster) -> None:
    for engine in cluster.engines.values():
        engine.revive()


def _cut_off(cluster: VirtualCluster) -> None:
    cluster.cuts.update(frozenset((DOMAINS[0], other)) for other in DOMAINS[1:])


def _heal(cluster: VirtualCluster) -> None:
    cluster.cuts.clear()


def _kill_node(cluster: VirtualCluster) -> None:
    cluster.lose_node('n0')


def _flap(cluster: VirtualCluster) -> None:
    engine = cluster.engines['e0-1']
    if engine.alive:
        engine.kill()
    else:
        engine.revive()


LATENCIES = {'first_token_p95': 0.83, 'between_tokens_p95': 0.044}
FLAPS = tuple(Strike(0.5 + 0.5 * number, _flap) for number in range(6))

SCENARIOS = (
    Scenario('steady-0.5', 0.5, Target(goodput=0.99)),
    Scenario('steady-0.8', 0.8, Target(goodput=0.99, **LATENCIES)),
    Scenario('steady-0.95', 0.95, Target(goodput=0.99)),
    Scenario('overload-1.2', 1.2, Target(goodput=0.95, **LATENCIES)),
    Scenario('overload-2', 2.0, Target(goodput=0.95, **LATENCIES)),
    Scenario('overload-5', 5.0, Target(goodput=0.95, **LATENCIES)),
    Scenario(
        'month-end',
        1.5,
        Target(goodput=0.95),
        batch_share=0.6,
    ),
    Scenario(
        'slow-links',
        1.1,
        Target(goodput=0.95),
        size=Size(slow_links=True),
    ),
    Scenario(
        'stage-dies',
        FAULT_LOAD,
        Target(recovery_seconds=1),
        (Strike(1, _kill),),
    ),
    Scenario(
        'two-stages-die',
        FAULT_LOAD,
        Target(recovery_seconds=1),
        (Strike(1, _kill_two),),
    ),
    Scenario(
        'stage-hangs',
        FAULT_LOAD,
        Target(recovery_seconds=2.5),
        (Strike(1, _freeze),),
    ),
    Scenario(
        'stage-slows',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(1, _slow_down),),
        seconds=8,
    ),
    Scenario(
        'stage-flaps',
        FAULT_LOAD,
        Target(goodput=0.95),
        FLAPS,
    ),
    Scenario(
        'link-degrades',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(1, _degrade_link),),
        seconds=8,
    ),
    Scenario(
        'tenth-dies',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(1, _kill_tenth),),
    ),
    Scenario(
        'tenth-returns',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(0, _kill_tenth), Strike(2, _revive_all)),
        seconds=8,
    ),
    Scenario(
        'domain-cut-off',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(1, _cut_off),),
        seconds=8,
    ),
    Scenario(
        'domain-healed',
        FAULT_LOAD,
        Target(recovery_seconds=5),
        (Strike(0, _cut_off), Strike(2, _heal)),
        seconds=8,
    ),
    Scenario(
        'entry-host-dies',
        FAULT_LOAD,
        Target(recovery_seconds=2),
        (Strike(1, _kill_node),),
    ),
)
