"""Recording of the start of three domains without faults.

Engines register one after another and load the layers they are ordered to.
Run as a program, this module updates the recording and prints the difference.
"""

import difflib
from pathlib import Path

import click
import msgspec

from wigeonspoke.core.chains import ChainSelector, SuspectRegistry
from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.placement import Placement, PlacementController
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    domain_engines,
)

GOLDEN_FILE = Path(__file__).parent / 'golden' / 'calm_start.jsonl'
REGISTER_SECONDS = 0.07
ROUND_SECONDS = 0.5
ROUNDS = 12


class Round(msgspec.Struct, frozen=True):
    """The orders decided in one round, and the chains before them."""

    now: float
    registered: int
    orders: tuple[str, ...]
    chains: tuple[str, ...]


def record() -> str:
    """Simulate the start and return its rounds, one JSON line each."""
    unregistered = [
        engine for domain in DOMAINS for engine in domain_engines(domain)
    ]
    fleet = Fleet()
    controllers = {domain: PlacementController(PROFILE) for domain in DOMAINS}
    selector = ChainSelector(fleet, SuspectRegistry(), 'one')
    rounds: list[Round] = []
    for step in range(ROUNDS):
        now = step * ROUND_SECONDS
        registered_count = int((now + ROUND_SECONDS) / REGISTER_SECONDS)
        for endpoint in unregistered[len(fleet.endpoints) : registered_count]:
            fleet.put(endpoint)
        orders = [
            placement
            for domain, controller in controllers.items()
            for placement in _decide(controller, fleet, domain, now)
        ]
        rounds.append(
            Round(
                now=now,
                registered=len(fleet.endpoints),
                orders=tuple(map(_describe, orders)),
                chains=_chains(selector),
            ),
        )
        for placement in orders:
            _apply_order(fleet, placement)
    lines = [msgspec.json.encode(round_).decode() for round_ in rounds]
    return '\n'.join(lines) + '\n'


def _decide(
    controller: PlacementController,
    fleet: Fleet,
    domain: str,
    now: float,
) -> tuple[Placement, ...]:
    engines = [
        engine
        for engine in fleet.of_service('drafting')
        if engine.failure_domain == domain
    ]
    placements = controller.decide(engines, (), now)
    for placement in placements:
        controller.record_sent(placement, now)
        controller.record_accepted(placement, now)
    return placements


def _apply_order(fleet: Fleet, placement: Placement) -> None:
    endpoint: Endpoint = placement.endpoint
    fleet.update_layers(endpoint.endpoint_id, endpoint.born, placement.layers)


def _describe(placement: Placement) -> str:
    return f'{placement.endpoint.endpoint_id} {placement.layers.describe()}'


def _chains(selector: ChainSelector) -> tuple[str, ...]:
    return tuple(
        ' '.join(
            f'{hop.endpoint.endpoint_id}{hop.layers.describe()}'
            for hop in chain.hops
        )
        for chain in selector.chains('drafting', PROFILE)
    )


def main() -> None:
    """Update the recording and print the difference."""
    before = GOLDEN_FILE.read_text() if GOLDEN_FILE.exists() else ''
    after = record()
    GOLDEN_FILE.write_text(after)
    lines = difflib.unified_diff(before.splitlines(), after.splitlines())
    click.echo('\n'.join(lines))


if __name__ == '__main__':
    main()
