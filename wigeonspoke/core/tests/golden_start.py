"""A calm start of three domains, recorded: engines register, layers land.

Run as a program, this records the file anew and prints the difference.
"""

import difflib
from pathlib import Path

import click
import msgspec

from wigeonspoke.core.chains import ChainSelector, SuspectRegistry
from wigeonspoke.core.fleet import Endpoint, Fleet
from wigeonspoke.core.placement import Placing, Steward
from wigeonspoke.core.tests.fleet_examples import (
    DOMAINS,
    PROFILE,
    domain_engines,
)

FILE = Path(__file__).parent / 'golden' / 'calm_start.jsonl'
REGISTER_SECONDS = 0.07
ROUND_SECONDS = 0.5
ROUNDS = 12


class Moment(msgspec.Struct, frozen=True):
    """What was decided at one moment: orders, and the chains then."""

    now: float
    registered: int
    orders: tuple[str, ...]
    chains: tuple[str, ...]


def record() -> str:
    """Play the start and give its moments, a line each."""
    waiting = [each for domain in DOMAINS for each in domain_engines(domain)]
    fleet = Fleet()
    stewards = {domain: Steward(PROFILE) for domain in DOMAINS}
    chooser = ChainSelector(fleet, SuspectRegistry(), 'one')
    moments: list[Moment] = []
    for step in range(ROUNDS):
        now = step * ROUND_SECONDS
        due = int((now + ROUND_SECONDS) / REGISTER_SECONDS)
        for endpoint in waiting[len(fleet.endpoints) : due]:
            fleet.put(endpoint)
        orders = [
            placing
            for domain, steward in stewards.items()
            for placing in _decide(steward, fleet, domain, now)
        ]
        moments.append(
            Moment(
                now=now,
                registered=len(fleet.endpoints),
                orders=tuple(map(_describe, orders)),
                chains=_chains(chooser),
            ),
        )
        for placing in orders:
            _carry_out(fleet, placing)
    lines = [msgspec.json.encode(moment).decode() for moment in moments]
    return '\n'.join(lines) + '\n'


def _decide(
    steward: Steward,
    fleet: Fleet,
    domain: str,
    now: float,
) -> tuple[Placing, ...]:
    engines = [
        each
        for each in fleet.of_service('drafting')
        if each.failure_domain == domain
    ]
    placings = steward.decide(engines, (), now)
    for placing in placings:
        steward.note_sent(placing, now)
        steward.note_accepted(placing, now)
    return placings


def _carry_out(fleet: Fleet, placing: Placing) -> None:
    endpoint: Endpoint = placing.endpoint
    fleet.note_layers(endpoint.endpoint_id, endpoint.born, placing.layers)


def _describe(placing: Placing) -> str:
    return f'{placing.endpoint.endpoint_id} {placing.layers.describe()}'


def _chains(chooser: ChainSelector) -> tuple[str, ...]:
    return tuple(
        ' '.join(
            f'{hop.endpoint.endpoint_id}{hop.layers.describe()}'
            for hop in chain.hops
        )
        for chain in chooser.chains('drafting', PROFILE)
    )


def main() -> None:
    """Record the file anew and print the difference."""
    before = FILE.read_text() if FILE.exists() else ''
    after = record()
    FILE.write_text(after)
    lines = difflib.unified_diff(before.splitlines(), after.splitlines())
    click.echo('\n'.join(lines))


if __name__ == '__main__':
    main()
