"""Configuration of the simulated deployment that the scenarios run on."""

import itertools
import random
from collections.abc import Iterable

import msgspec

from wigeonspoke.core.deployment import (
    Account,
    Configuration,
    Engine,
    LayerRange,
    Link,
    Model,
)

DOMAINS = ('a', 'b', 'c')
LAYERS = 12
# The layer boundaries of the stages of a replica, used in rotation.
LAYER_BOUNDARIES = ((0, 4, 8, 12), (0, 3, 6, 9, 12))
# The step time of each kind of accelerator, used in rotation.
ACCELERATOR_SECONDS = (0.003, 0.0035, 0.004, 0.0045, 0.005)
MAX_BATCH = 2
MAX_STREAMS = 24
LINK_DELAY_SECONDS = 0.0005
SLOW_LINK_FACTOR = 100
LARGE_ACCOUNT_COUNT = 3
ACCOUNT_COUNT = 10
LARGE_ACCOUNT_WEIGHT = 4.0
MAX_REQUESTS = 100_000
MAX_CONTEXT = 4096
ANSWER_SECONDS = 60.0
QUEUE_SECONDS = 0.6
MODEL = Model('m', LAYERS, MAX_CONTEXT, ANSWER_SECONDS, QUEUE_SECONDS)


class DeploymentSize(msgspec.Struct, frozen=True):
    """Size of the deployment and speed of its links."""

    nodes: int = 6
    replicas: int = 40
    slow_links: bool = False


def make_deployment(size: DeploymentSize) -> Configuration:
    """Create the configuration of a deployment.

    Replicas have 3 or 4 stages and are placed in the failure domains in
    rotation.  All stages of a replica have the same kind of accelerator.
    """
    return Configuration(
        generation=1,
        deployment='bench',
        region='r',
        failure_domains=DOMAINS,
        models=(MODEL,),
        engines=tuple(_engines(size.replicas)),
        services=(),
        replicas=(),
        accounts=tuple(_accounts()),
        links=tuple(_links(size)),
    )


def node_domains(size: DeploymentSize) -> dict[str, str]:
    """Return the failure domain of each node by node name."""
    domains = itertools.cycle(DOMAINS)
    return {f'n{number}': next(domains) for number in range(size.nodes)}


def pick_account(rng: random.Random) -> str:
    """Draw a random account with a probability proportional to its weight."""
    large = rng.random() < LARGE_ACCOUNT_COUNT * LARGE_ACCOUNT_WEIGHT / (
        LARGE_ACCOUNT_COUNT * LARGE_ACCOUNT_WEIGHT
        + ACCOUNT_COUNT
        - LARGE_ACCOUNT_COUNT
    )
    if large:
        return f'account-{rng.randrange(LARGE_ACCOUNT_COUNT)}'
    return f'account-{rng.randrange(LARGE_ACCOUNT_COUNT, ACCOUNT_COUNT)}'


def _engines(replicas: int) -> Iterable[Engine]:
    for replica in range(replicas):
        boundaries = LAYER_BOUNDARIES[replica % len(LAYER_BOUNDARIES)]
        step_seconds = ACCELERATOR_SECONDS[replica % len(ACCELERATOR_SECONDS)]
        for stage, bounds in enumerate(itertools.pairwise(boundaries)):
            yield Engine(
                name=f'e{replica}-{stage}',
                address='',
                failure_domain=DOMAINS[replica % len(DOMAINS)],
                model=MODEL.name,
                layers=LayerRange(*bounds),
                accelerator=f'kind-{replica % len(ACCELERATOR_SECONDS)}',
                step_seconds=step_seconds,
                max_batch=MAX_BATCH,
                max_streams=MAX_STREAMS,
                checks_fencing=False,
            )


def _accounts() -> Iterable[Account]:
    for number in range(ACCOUNT_COUNT):
        weight = LARGE_ACCOUNT_WEIGHT if number < LARGE_ACCOUNT_COUNT else 1.0
        yield Account(f'account-{number}', weight, MAX_REQUESTS, '')


def _links(size: DeploymentSize) -> Iterable[Link]:
    for one, other in itertools.combinations(DOMAINS, 2):
        slow = size.slow_links and other == DOMAINS[-1]
        factor = SLOW_LINK_FACTOR if slow else 1
        yield Link(one, other, LINK_DELAY_SECONDS * factor)
