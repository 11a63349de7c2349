"""Works out a node's costs at the size to design for, and writes the page.

The page keeps its prose; the tables between its markers are written anew.
"""

import re
from collections.abc import Iterable

import msgspec

from wigeonspoke.bench.capacity import Slope

MARKED = re.compile('(<!-- tables -->\n).*(<!-- end of tables -->)', re.DOTALL)
DAY_SECONDS = 86_400
MICROSECONDS = 1_000_000

NODES = 400
FAILURE_DOMAINS = 44
REPLICAS_HERE = 273
ENDPOINTS_HERE = 1091
REPLICAS = 12_000
ACCOUNTS = 8000
REQUESTS = 223
TOKENS = 45_000
STAGES = 4
TOKENS_PER_STREAM = 22.7
CHANGES = 30_000
FAILED_HOSTS = 130
REPLACED_HOSTS = 2500
TICKS = 20
KILO = 1024
RING_EVENTS = 4096
SESSIONS = TOKENS / TOKENS_PER_STREAM
DAILY_EVENTS = CHANGES + FAILED_HOSTS + REPLACED_HOSTS
PEERS_ASKED = 4
ROUND_SECONDS = 3.4
OVERHEAD_KILOBYTES = 0.25


class Cost(msgspec.Struct, frozen=True):
    """One role's cost at the size to design for.

    ``core`` is in per cent of a core, ``memory`` in MB and ``traffic`` in
    KB a second; a budget that does not apply is left out.
    """

    role: str
    state: str
    core: float
    memory: float
    traffic: float


class _Slopes:
    """Looks slopes up by name and extends them to a size."""

    def __init__(self, slopes: Iterable[Slope]) -> None:
        self.by_name = {slope.name: slope for slope in slopes}

    def at(self, name: str, size: float) -> float:
        """Give a cost at a size, from the last reading and the slope."""
        slope = self.by_name[name]
        last = slope.readings[-1]
        return max(0, last.cost + slope.per_item * (size - last.size))

    def per_item(self, name: str) -> float:
        """Give the cost of one more item."""
        return self.by_name[name].per_item


def work_out(slopes: Iterable[Slope]) -> tuple[Cost, ...]:
    """Give the cost of each role at the size to design for."""
    found = _Slopes(slopes)
    return (
        *_data_path(found),
        *_control(found),
        *_configuration(found),
    )


def _data_path(found: _Slopes) -> Iterable[Cost]:
    choice = found.at('route choice, 30 models', REPLICAS_HERE)
    step = found.at('step of a session', SESSIONS)
    yield Cost(
        'data path, route choices',
        f'{SESSIONS:.0f} sessions',
        _share(REQUESTS * choice),
        found.at('memory of sessions', SESSIONS) / KILO,
        0,
    )
    yield Cost(
        'data path, decisions on steps',
        f'{TOKENS} tokens/s in {STAGES} stages',
        _share(TOKENS * STAGES * step),
        0,
        0,
    )


def _control(found: _Slopes) -> Iterable[Cost]:
    peers = NODES / FAILURE_DOMAINS
    report = found.at('load report', REPLICAS_HERE)
    exchange = found.at('exchange of a load report', REPLICAS_HERE)
    yield Cost(
        'membership',
        f'{peers:.0f} nodes of its failure domain',
        _share(PEERS_ASKED / ROUND_SECONDS * 2 * exchange),
        found.at('memory of peers', peers) / KILO,
        PEERS_ASKED / ROUND_SECONDS * 4 * (report + OVERHEAD_KILOBYTES),
    )
    yield Cost(
        'timers',
        f'{ENDPOINTS_HERE} endpoints, {SESSIONS:.0f} sessions',
        _share(TICKS * found.at('tick with sessions', SESSIONS)),
        0,
        0,
    )
    yield Cost(
        'time line',
        'a ring of 4,096 events',
        _share(DAILY_EVENTS / DAY_SECONDS * found.per_item('time line event')),
        found.per_item('memory of the time line') * RING_EVENTS / KILO,
        0,
    )


def _configuration(found: _Slopes) -> Iterable[Cost]:
    changes = CHANGES / DAY_SECONDS
    adoption = found.per_item('adopting a configuration')
    body = found.per_item('configuration body')
    accounts = found.at('memory of accounts', ACCOUNTS) / KILO
    endpoint = found.per_item('memory of endpoints') / KILO
    yield Cost(
        'configuration, whole bodies as today',
        f'{REPLICAS} replicas, {ACCOUNTS} accounts',
        _share(changes * adoption * REPLICAS),
        endpoint * REPLICAS + accounts,
        changes * body * REPLICAS,
    )
    yield Cost(
        'configuration, own failure domain and deltas',
        f'{REPLICAS_HERE} replicas, {ACCOUNTS} accounts',
        _share(changes * adoption),
        endpoint * REPLICAS_HERE + accounts,
        changes * body,
    )


def render(slopes: tuple[Slope, ...]) -> str:
    """Write the tables in Markdown."""
    lines = ['### Slopes', '']
    lines.extend(_slope_table(slopes))
    lines.extend(['', '### Roles at the size to design for', ''])
    lines.extend(_cost_table(work_out(slopes)))
    return '\n'.join([*lines, ''])


def insert(page: str, tables: str) -> str:
    """Put the tables in the page's place for them."""
    return MARKED.sub(lambda found: found[1] + tables + found[2], page)


def _slope_table(slopes: tuple[Slope, ...]) -> Iterable[str]:
    yield '| cost | readings (size: cost) | unit | for one more |'
    yield '|---|---|---|---|'
    for slope in slopes:
        readings = ', '.join(
            f'{reading.size}: {reading.cost:.1f}' for reading in slope.readings
        )
        per_item = f'{slope.per_item:.4f} for each {slope.for_each}'
        yield f'| {slope.name} | {readings} | {slope.unit} | {per_item} |'


def _cost_table(costs: Iterable[Cost]) -> Iterable[str]:
    yield '| role | state | % of a core | MB | KB/s |'
    yield '|---|---|---|---|---|'
    for cost in costs:
        yield (
            f'| {cost.role} | {cost.state} | {cost.core:.2f} '
            f'| {cost.memory:.1f} | {cost.traffic:.2f} |'
        )


def _share(microseconds_per_second: float) -> float:
    return microseconds_per_second / MICROSECONDS * 100
