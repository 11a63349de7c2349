"""Configuration and engines of the model, as the platform writes them.

The configuration is decoded by the code that nodes use, so that policies see
what a node sees.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from wigeonspoke.bench.line.patterns import LoadPattern
from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet import Endpoint
from wigeonspoke.core.routing import RoutingConfiguration
from wigeonspoke.platform.records import decode_configuration

SERVICE = 'drafting'
HOST = 'line.example'
ACCELERATOR = 'medium'
LAYERS = 80
ENGINES_PER_CHAIN = 2
SLOTS = 6
# The users' example values, but `pace` and `link-mbps`: with these, a chain
# with 6 slots serves about 9 streams per second, so that two have the capacity
# of the stated targets.
ENGINE_SETTINGS: dict[str, Any] = {
    'layers': LAYERS,
    'layer-mb': 1750,
    'kv-token-bytes': 1180000,
    'step_ms': 1.02,
    'per_seq_ms': 0.00918,
    'context_per_k': 0.0123,
    'read_per_s': 164000,
    'pairs_per_m': 0.199,
    'chunk': 512,
    'stride': 5,
    'usual': {'prompt': 775, 'answer': 221},
    'act-bytes': 59000,
    'link-mbps': 100000,
    'pipe-mbps': 10400,
    'delays': [],
    'slots': SLOTS,
    'report_lag_ms': 500,
    'models': [{'name': 'm', 'load-s': 8}],
    'kinds': [
        {'name': ACCELERATOR, 'mb': 96000, 'pace': 2.25, 'read-x': 2.7},
    ],
}


def make_configuration(pattern: LoadPattern) -> RoutingConfiguration:
    """Return the configuration with a rule for each kind of streams."""
    routes = [
        {
            'name': kind.name,
            'host': HOST,
            'path-prefix': f'/{kind.name}/',
            'kind': 'streaming',
            'service': SERVICE,
            'timeout-ms': 20000,
            'target-latency-ms': int(kind.target * 1000),
            'max-attempts': 2,
            'priority': kind.priority,
            'resumable': True,
            'gap_aim_ms': 250,
        }
        for kind in pattern.kinds
    ]
    accounts = sorted({kind.account_name for kind in pattern.kinds})
    document = {
        'version': 1,
        'routes': routes,
        'services': [{'name': SERVICE, 'engine': ENGINE_SETTINGS}],
        'tenants': [{'name': name, 'api-keys': [name]} for name in accounts],
    }
    return decode_configuration(msgspec.json.encode(document)).unwrap()


def make_engines(pattern: LoadPattern) -> list[Endpoint]:
    """Return the engines of all chains; each holds an equal part."""
    engines: list[Endpoint] = []
    for domain, chains in pattern.chains.items():
        for chain in range(chains):
            engines.extend(_engines_of_chain(domain, f'{domain}{chain}'))
    return engines


def _engines_of_chain(domain: str, name: str) -> Iterator[Endpoint]:
    part = LAYERS // ENGINES_PER_CHAIN
    for position in range(ENGINES_PER_CHAIN):
        engine_id = f'{name}-{position}'
        yield Endpoint(
            endpoint_id=engine_id,
            service=SERVICE,
            address=f'{engine_id}:1',
            failure_domain=domain,
            slots=SLOTS,
            accelerator=ACCELERATOR,
            layers=LayerRange(part * position, part * (position + 1)),
        )
