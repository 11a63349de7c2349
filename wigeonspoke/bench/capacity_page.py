"""Estimate of a node's costs at the design size, as tables in Markdown.

Only the tables between the markers of the page are replaced; the rest of the
page stays as it is.
"""

import re
from collections.abc import Iterable

import msgspec

from wigeonspoke.bench.capacity import Slope

TABLES_PATTERN = re.compile(
    '(<!-- tables -->\n).*(<!-- end of tables -->)', re.DOTALL
)
DAY_SECONDS = 86_400
MICROSECONDS_PER_SECOND = 1_000_000

NODES = 400
FAILURE_DOMAINS = 44
DOMAIN_REPLICAS = 273
DOMAIN_ENDPOINTS = 1091
REPLICAS = 12_000
ACCOUNTS = 8000
REQUESTS_PER_SECOND = 223
TOKENS_PER_SECOND = 45_000
STAGES = 4
TOKENS_PER_STREAM = 22.7
DAILY_CHANGES = 30_000
DAILY_FAILED_HOSTS = 130
DAILY_REPLACED_HOSTS = 2500
TICKS_PER_SECOND = 20
KILOBYTES_PER_MEGABYTE = 1024
RING_EVENTS = 4096
SESSIONS = TOKENS_PER_SECOND / TOKENS_PER_STREAM
DAILY_EVENTS = DAILY_CHANGES + DAILY_FAILED_HOSTS + DAILY_REPLACED_HOSTS
PEERS_PER_ROUND = 4
ROUND_SECONDS = 3.4
MESSAGE_OVERHEAD_KILOBYTES = 0.25


class RoleCost(msgspec.Struct, frozen=True):
    """The cost of one role at the design size.

    ``core_percent`` is the processor time in per cent of one core, and
    ``kilobytes_per_second`` the network traffic.  Costs that do not apply
    are 0.
    """

    role: str
    state: str
    core_percent: float
    memory_megabytes: float
    kilobytes_per_second: float


class _Slopes:
    """Looks up slopes by name and extrapolates them to a size."""

    def __init__(self, slopes: Iterable[Slope]) -> None:
        self.by_name = {slope.name: slope for slope in slopes}

    def cost_at(self, name: str, size: float) -> float:
        """Return a cost at a size, extrapolated from the last measurement."""
        slope = self.by_name[name]
        last = slope.measurements[-1]
        return max(0, last.cost + slope.per_item * (size - last.size))

    def per_item(self, name: str) -> float:
        """Return the cost per item of a slope."""
        return self.by_name[name].per_item


def estimate_costs(slopes: Iterable[Slope]) -> tuple[RoleCost, ...]:
    """Estimate the cost of each role at the design size."""
    slope_lookup = _Slopes(slopes)
    return (
        *_data_path_costs(slope_lookup),
        *_control_plane_costs(slope_lookup),
        *_configuration_costs(slope_lookup),
    )


def _data_path_costs(slopes: _Slopes) -> Iterable[RoleCost]:
    choice = slopes.cost_at('route choice, 30 models', DOMAIN_REPLICAS)
    step = slopes.cost_at('step of a session', SESSIONS)
    yield RoleCost(
        'data path, route choices',
        f'{SESSIONS:.0f} sessions',
        _core_percent(REQUESTS_PER_SECOND * choice),
        slopes.cost_at('memory of sessions', SESSIONS) / KILOBYTES_PER_MEGABYTE,
        0,
    )
    yield RoleCost(
        'data path, decisions on steps',
        f'{TOKENS_PER_SECOND} tokens/s in {STAGES} stages',
        _core_percent(TOKENS_PER_SECOND * STAGES * step),
        0,
        0,
    )


def _control_plane_costs(slopes: _Slopes) -> Iterable[RoleCost]:
    peers = NODES / FAILURE_DOMAINS
    report = slopes.cost_at('load report', DOMAIN_REPLICAS)
    exchange = slopes.cost_at('exchange of a load report', DOMAIN_REPLICAS)
    yield RoleCost(
        'membership',
        f'{peers:.0f} nodes of its failure domain',
        _core_percent(PEERS_PER_ROUND / ROUND_SECONDS * 2 * exchange),
        slopes.cost_at('memory of peers', peers) / KILOBYTES_PER_MEGABYTE,
        PEERS_PER_ROUND
        / ROUND_SECONDS
        * 4
        * (report + MESSAGE_OVERHEAD_KILOBYTES),
    )
    yield RoleCost(
        'timers',
        f'{DOMAIN_ENDPOINTS} endpoints, {SESSIONS:.0f} sessions',
        _core_percent(
            TICKS_PER_SECOND * slopes.cost_at('tick with sessions', SESSIONS)
        ),
        0,
        0,
    )
    yield RoleCost(
        'time line',
        'a ring of 4,096 events',
        _core_percent(
            DAILY_EVENTS / DAY_SECONDS * slopes.per_item('time line event')
        ),
        slopes.per_item('memory of the time line')
        * RING_EVENTS
        / KILOBYTES_PER_MEGABYTE,
        0,
    )


def _configuration_costs(slopes: _Slopes) -> Iterable[RoleCost]:
    changes = DAILY_CHANGES / DAY_SECONDS
    adoption = slopes.per_item('adopting a configuration')
    body = slopes.per_item('configuration body')
    accounts = (
        slopes.cost_at('memory of accounts', ACCOUNTS) / KILOBYTES_PER_MEGABYTE
    )
    endpoint = slopes.per_item('memory of endpoints') / KILOBYTES_PER_MEGABYTE
    yield RoleCost(
        'configuration, whole bodies as today',
        f'{REPLICAS} replicas, {ACCOUNTS} accounts',
        _core_percent(changes * adoption * REPLICAS),
        endpoint * REPLICAS + accounts,
        changes * body * REPLICAS,
    )
    yield RoleCost(
        'configuration, own failure domain and deltas',
        f'{DOMAIN_REPLICAS} replicas, {ACCOUNTS} accounts',
        _core_percent(changes * adoption),
        endpoint * DOMAIN_REPLICAS + accounts,
        changes * body,
    )


def render_tables(slopes: tuple[Slope, ...]) -> str:
    """Return the tables in Markdown."""
    lines = ['### Slopes', '']
    lines.extend(_slope_table(slopes))
    lines.extend(['', '### Roles at the size to design for', ''])
    lines.extend(_cost_table(estimate_costs(slopes)))
    return '\n'.join([*lines, ''])


def insert_tables(page: str, tables: str) -> str:
    """Replace the text between the page's markers by the tables."""
    return TABLES_PATTERN.sub(lambda match: match[1] + tables + match[2], page)


def _slope_table(slopes: tuple[Slope, ...]) -> Iterable[str]:
    yield '| cost | readings (size: cost) | unit | for one more |'
    yield '|---|---|---|---|'
    for slope in slopes:
        measurements = ', '.join(
            f'{measurement.size}: {measurement.cost:.1f}'
            for measurement in slope.measurements
        )
        per_item = f'{slope.per_item:.4f} for each {slope.item_name}'
        yield f'| {slope.name} | {measurements} | {slope.unit} | {per_item} |'


def _cost_table(costs: Iterable[RoleCost]) -> Iterable[str]:
    yield '| role | state | % of a core | MB | KB/s |'
    yield '|---|---|---|---|---|'
    for cost in costs:
        yield (
            f'| {cost.role} | {cost.state} | {cost.core_percent:.2f} '
            f'| {cost.memory_megabytes:.1f} | {cost.kilobytes_per_second:.2f} |'
        )


def _core_percent(microseconds_per_second: float) -> float:
    return microseconds_per_second / MICROSECONDS_PER_SECOND * 100
