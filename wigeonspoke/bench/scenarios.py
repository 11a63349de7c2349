"""Benchmark scenarios with their load, faults and targets."""

from collections.abc import Callable

import msgspec

from wigeonspoke.bench.cluster import VirtualCluster
from wigeonspoke.bench.deployment import DOMAINS, DeploymentSize

Fault = Callable[[VirtualCluster], None]

LINK_DELAY_FACTOR = 100
STEP_SLOWDOWN = 10
LOAD_WITH_FAULTS = 0.7


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault and its time after the end of the warm-up."""

    delay_seconds: float
    inject: Fault


class Target(msgspec.Struct, frozen=True):
    """Results that a scenario must reach; ``None`` disables a check.

    ``goodput`` is relative to the smaller of the offered load and the
    throughput bound at the end of the run.  Latencies are in seconds.
    """

    goodput: float | None = None
    first_token_p95: float | None = None
    between_tokens_p95: float | None = None
    recovery_seconds: float | None = None
    max_answers_cut: int = 0
    max_answers_wrong: int = 0


class Scenario(msgspec.Struct, frozen=True):
    """A benchmark scenario.

    ``load`` is the offered load relative to the throughput bound, and
    ``batch_share`` the share of requests that are not interactive.
    """

    name: str
    load: float
    target: Target
    faults: tuple[ScheduledFault, ...] = ()
    size: DeploymentSize = DeploymentSize()
    batch_share: float = 0
    seconds: float = 6.0


def _kill_stage(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].kill()


def _kill_two_stages(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].kill()
    cluster.engines['e0-2'].kill()


def _hang_stage(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].hung = True


def _slow_down_stage(cluster: VirtualCluster) -> None:
    cluster.engines['e0-1'].slowdown = STEP_SLOWDOWN


def _degrade_link(cluster: VirtualCluster) -> None:
    pair = frozenset(DOMAINS[:2])
    cluster.delay_factors[pair] = LINK_DELAY_FACTOR


def _kill_tenth(cluster: VirtualCluster) -> None:
    for engine in tuple(cluster.engines.values())[::10]:
        engine.kill()


def _restart_all(cluster: VirtualCluster) -> None:
    for engine in cluster.engines.values():
        engine.restart()


def _isolate_domain(cluster: VirtualCluster) -> None:
    cluster.partitions.update(
        frozenset((DOMAINS[0], other)) for other in DOMAINS[1:]
    )


def _heal_partitions(cluster: VirtualCluster) -> None:
    cluster.partitions.clear()


def _kill_node(cluster: VirtualCluster) -> None:
    cluster.kill_node('n0')


def _flap_stage(cluster: VirtualCluster) -> None:
    engine = cluster.engines['e0-1']
    if engine.alive:
        engine.kill()
    else:
        engine.restart()


LATENCY_TARGETS = {'first_token_p95': 0.83, 'between_tokens_p95': 0.044}
FLAP_FAULTS = tuple(
    ScheduledFault(0.5 + 0.5 * number, _flap_stage) for number in range(6)
)

SCENARIOS = (
    Scenario('steady-0.5', 0.5, Target(goodput=0.99)),
    Scenario('steady-0.8', 0.8, Target(goodput=0.99, **LATENCY_TARGETS)),
    Scenario('steady-0.95', 0.95, Target(goodput=0.99)),
    Scenario('overload-1.2', 1.2, Target(goodput=0.95, **LATENCY_TARGETS)),
    Scenario('overload-2', 2.0, Target(goodput=0.95, **LATENCY_TARGETS)),
    Scenario('overload-5', 5.0, Target(goodput=0.95, **LATENCY_TARGETS)),
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
        size=DeploymentSize(slow_links=True),
    ),
    Scenario(
        'stage-dies',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=1),
        (ScheduledFault(1, _kill_stage),),
    ),
    Scenario(
        'two-stages-die',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=1),
        (ScheduledFault(1, _kill_two_stages),),
    ),
    Scenario(
        'stage-hangs',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=2.5),
        (ScheduledFault(1, _hang_stage),),
    ),
    Scenario(
        'stage-slows',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (ScheduledFault(1, _slow_down_stage),),
        seconds=8,
    ),
    Scenario(
        'stage-flaps',
        LOAD_WITH_FAULTS,
        Target(goodput=0.95),
        FLAP_FAULTS,
    ),
    Scenario(
        'link-degrades',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (ScheduledFault(1, _degrade_link),),
        seconds=8,
    ),
    Scenario(
        'tenth-dies',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (ScheduledFault(1, _kill_tenth),),
    ),
    Scenario(
        'tenth-returns',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (ScheduledFault(0, _kill_tenth), ScheduledFault(2, _restart_all)),
        seconds=8,
    ),
    Scenario(
        'domain-cut-off',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (ScheduledFault(1, _isolate_domain),),
        seconds=8,
    ),
    Scenario(
        'domain-healed',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=5),
        (
            ScheduledFault(0, _isolate_domain),
            ScheduledFault(2, _heal_partitions),
        ),
        seconds=8,
    ),
    Scenario(
        'entry-host-dies',
        LOAD_WITH_FAULTS,
        Target(recovery_seconds=2),
        (ScheduledFault(1, _kill_node),),
    ),
)
