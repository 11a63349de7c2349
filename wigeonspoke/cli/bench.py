"""``wigeonspoke bench``."""

from pathlib import Path

import click
import msgspec

from wigeonspoke.bench.capacity import measure_all
from wigeonspoke.bench.capacity_page import insert_tables, render_tables
from wigeonspoke.bench.membership import NODE_COUNTS, measure_membership
from wigeonspoke.bench.runner import (
    POLICIES,
    ScenarioResult,
    ScenarioResults,
    ScenarioRun,
)
from wigeonspoke.bench.scenarios import SCENARIOS, Scenario
from wigeonspoke.bench.wire import measure_wire
from wigeonspoke.observe import configure_logs

PageFile = click.Path(exists=True, dir_okay=False, path_type=Path)
ResultFile = click.Path(dir_okay=False, path_type=Path)


@click.group()
def bench() -> None:
    """Measure decisions, sockets and capacity."""
    configure_logs('ERROR', as_json=False)


@bench.command()
@click.option('--write', 'page', type=PageFile, help='Page with the tables.')
def capacity(page: Path | None) -> None:
    """Print the slopes of a node's costs and the roles' costs at size."""
    tables = render_tables(measure_all())
    click.echo(tables)
    if page:
        page.write_text(insert_tables(page.read_text(), tables))


@bench.command()
@click.option('--nodes', multiple=True, type=int, help='Only this size.')
def membership(nodes: tuple[int, ...]) -> None:
    """Measure gossip at several sizes, in virtual time."""
    for size in nodes or NODE_COUNTS:
        found = measure_membership(size)
        click.echo(
            f'{size} nodes: {found.bytes_per_second:.0f} B/s, '
            f'{found.core_percent:.2f}% of a core, a round each '
            f'{found.round_seconds:.2f} s, a mark everywhere in '
            f'{found.mark_propagation_seconds:.2f} s, a dead node forgotten in '
            f'{found.peer_removal_seconds:.2f} s',
        )


@bench.command('list')
def list_scenarios() -> None:
    """List the scenarios."""
    for scenario in SCENARIOS:
        click.echo(f'{scenario.name}: load {scenario.load} of the bound')


@bench.command()
@click.argument('names', nargs=-1)
@click.option('--seed', default=1, show_default=True)
@click.option('--load', type=float, help='Offered load over the bound.')
@click.option('--seconds', type=float, help='Seconds measured.')
@click.option('--replicas', type=int, help='Replicas of the model.')
@click.option('--json', 'json_file', type=ResultFile, help='Write JSON.')
def run(
    names: tuple[str, ...],
    seed: int,
    load: float | None,
    seconds: float | None,
    replicas: int | None,
    json_file: Path | None,
) -> None:
    """Run scenarios, all of them without a name, with both policies."""
    chosen = [one for one in SCENARIOS if not names or one.name in names]
    if len(chosen) < len(names):
        raise click.UsageError('no such scenario; see wigeonspoke bench list')
    found: list[ScenarioResult] = []
    for scenario in chosen:
        changed = _changed(scenario, load, seconds, replicas)
        for policy in POLICIES:
            found.append(ScenarioRun(changed, policy, seed).run())
            _print_result(found[-1])
    if json_file:
        body = msgspec.json.encode(ScenarioResults(tuple(found)))
        json_file.write_bytes(msgspec.json.format(body))


@bench.command()
@click.argument('before', type=PageFile)
@click.argument('after', type=PageFile)
def compare(before: Path, after: Path) -> None:
    """Compare the results of two runs, scenario by scenario."""
    earlier = {(one.name, one.policy): one for one in _read(before)}
    for result in _read(after):
        known = earlier.get((result.name, result.policy))
        if known:
            click.echo(
                f'{result.name} {result.policy}: goodput over bound '
                f'{known.goodput_over_bound} -> {result.goodput_over_bound}, '
                f'recovery {known.recovery_seconds} -> '
                f'{result.recovery_seconds} s, between tokens p95 '
                f'{known.between_tokens_seconds.p95} -> '
                f'{result.between_tokens_seconds.p95} s',
            )


def _read(path: Path) -> tuple[ScenarioResult, ...]:
    found = msgspec.json.decode(path.read_bytes(), type=ScenarioResults)
    return found.scenarios


def _changed(
    scenario: Scenario,
    load: float | None,
    seconds: float | None,
    replicas: int | None,
) -> Scenario:
    size = scenario.size
    if replicas:
        size = msgspec.structs.replace(size, replicas=replicas)
    return msgspec.structs.replace(
        scenario,
        load=load or scenario.load,
        seconds=seconds or scenario.seconds,
        size=size,
    )


def _print_result(found: ScenarioResult) -> None:
    met = 'met' if found.target_met else 'missed'
    click.echo(
        f'{found.name} {found.policy}: goodput/bound '
        f'{found.goodput_over_bound:.3f}, recovery '
        f'{found.recovery_seconds} s, whole {found.answers_whole}, cut '
        f'{found.answers_cut}, wrong {found.answers_wrong}, refused '
        f'{found.answers_refused}, first token p95 '
        f'{found.first_token_seconds.p95:.3f} s, between tokens p95 '
        f'{found.between_tokens_seconds.p95:.4f} s, fairness '
        f'{found.fairness}, retries {found.retry_share}, target {met}',
    )


@bench.command()
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def wire(as_json: bool) -> None:
    """Compare a node on real sockets with a forwarder that decides nothing."""
    report = measure_wire()
    if as_json:
        click.echo(msgspec.json.encode(report))
        return
    for name, rate in (('node', report.node), ('forwarder', report.forwarder)):
        click.echo(
            f'{name}: {rate.requests_per_second:.0f} requests/s, '
            f'{rate.core_milliseconds:.2f} ms of a core for each',
        )
    click.echo(
        f'node over forwarder: {report.over_forwarder:.2f}, '
        f'from {report.least:.2f} to {report.greatest:.2f}',
    )
    click.echo(
        f'tokens/s: {report.tokens_shared:.0f} with steps that share calls, '
        f'{report.tokens_alone:.0f} with a call for each',
    )
