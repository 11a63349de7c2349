"""The deployment that the scenarios run on."""

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
CUTS = ((0, 4, 8, 12), (0, 3, 6, 9, 12))
KIND_SECONDS = (0.003, 0.0035, 0.004, 0.0045, 0.005)
BATCH = 2
MAX_STREAMS = 24
NEAR_SECONDS = 0.0005
SLOW_FACTOR = 100
LARGE_ACCOUNTS = 3
ACCOUNTS = 10
LARGE_WEIGHT = 4.0
MAX_REQUESTS = 100_000
CONTEXT = 4096
ANSWER_SECONDS = 60.0
QUEUE_SECONDS = 0.6
MODEL = Model('m', LAYERS, CONTEXT, ANSWER_SECONDS, QUEUE_SECONDS)


class Size(msgspec.Struct, frozen=True):
    """How large the deployment is."""

    nodes: int = 6
    replicas: int = 40
    slow_links: bool = False


def make_deployment(size: Size) -> Configuration:
    """Make a deployment: replicas of 3 or 4 stages, in turn over domains.

    All stages of a replica are of one kind of accelerator.
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


def node_homes(size: Size) -> dict[str, str]:
    """Give the nodes and their failure domains."""
    domains = itertools.cycle(DOMAINS)
    return {f'n{number}': next(domains) for number in range(size.nodes)}


def pick_account(chance: random.Random) -> str:
    """Pick an account as often as its weight says."""
    large = chance.random() < LARGE_ACCOUNTS * LARGE_WEIGHT / (
        LARGE_ACCOUNTS * LARGE_WEIGHT + ACCOUNTS - LARGE_ACCOUNTS
    )
    if large:
        return f'account-{chance.randrange(LARGE_ACCOUNTS)}'
    return f'account-{chance.randrange(LARGE_ACCOUNTS, ACCOUNTS)}'


def _engines(replicas: int) -> Iterable[Engine]:
    for replica in range(replicas):
        cuts = CUTS[replica % len(CUTS)]
        seconds = KIND_SECONDS[replica % len(KIND_SECONDS)]
        for stage, bounds in enumerate(itertools.pairwise(cuts)):
            yield Engine(
                name=f'e{replica}-{stage}',
                address='',
                failure_domain=DOMAINS[replica % len(DOMAINS)],
                model=MODEL.name,
                layers=LayerRange(*bounds),
                accelerator=f'kind-{replica % len(KIND_SECONDS)}',
                step_seconds=seconds,
                max_batch=BATCH,
                max_streams=MAX_STREAMS,
                checks_fencing=False,
            )


def _accounts() -> Iterable[Account]:
    for number in range(ACCOUNTS):
        weight = LARGE_WEIGHT if number < LARGE_ACCOUNTS else 1.0
        yield Account(f'account-{number}', weight, MAX_REQUESTS, '')


def _links(size: Size) -> Iterable[Link]:
    for one, other in itertools.combinations(DOMAINS, 2):
        slow = size.slow_links and other == DOMAINS[-1]
        factor = SLOW_FACTOR if slow else 1
        yield Link(one, other, NEAR_SECONDS * factor)
