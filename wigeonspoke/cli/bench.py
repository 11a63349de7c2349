"""The command ``wigeonspoke bench``."""

from pathlib import Path

import click
import msgspec

from wigeonspoke.bench.capacity import measure_all
from wigeonspoke.bench.capacity_page import insert_tables, render_tables
from wigeonspoke.bench.line import (
    POLICIES as LINE_POLICIES,
    LineReplay,
    LineResult,
    LineResults,
    read_patterns,
    render_table,
)
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

ExistingFile = click.Path(exists=True, dir_okay=False, path_type=Path)
OutputFile = click.Path(dir_okay=False, path_type=Path)


@click.group()
def bench() -> None:
    """Run benchmarks of routing, networking and capacity."""
    configure_logs('ERROR', as_json=False)


@bench.command()
@click.option(
    '--write', 'page', type=ExistingFile, help='Page whose tables are updated.'
)
def capacity(page: Path | None) -> None:
    """Print the slopes of a node's costs, and the roles' costs at scale."""
    tables = render_tables(measure_all())
    click.echo(tables)
    if page:
        page.write_text(insert_tables(page.read_text(), tables))


@bench.command()
@click.option(
    '--nodes', multiple=True, type=int, help='Number of nodes; repeatable.'
)
def membership(nodes: tuple[int, ...]) -> None:
    """Measure gossip in clusters of several sizes, in virtual time."""
    for size in nodes or NODE_COUNTS:
        result = measure_membership(size)
        click.echo(
            f'{size} nodes: {result.bytes_per_second:.0f} B/s, '
            f'{result.core_percent:.2f}% of a core, one round every '
            f'{result.round_seconds:.2f} s, a mark propagated in '
            f'{result.mark_propagation_seconds:.2f} s, '
            f'a failed node removed in {result.peer_removal_seconds:.2f} s',
        )


@bench.command('list')
def list_scenarios() -> None:
    """List the scenarios."""
    for scenario in SCENARIOS:
        click.echo(
            f'{scenario.name}: load {scenario.load} of the throughput bound'
        )


@bench.command()
@click.argument('names', nargs=-1)
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--load', type=float, help='Offered load relative to the throughput bound.'
)
@click.option('--seconds', type=float, help='Measured seconds.')
@click.option('--replicas', type=int, help='Replicas of the model.')
@click.option(
    '--json', 'json_file', type=OutputFile, help='Write the results as JSON.'
)
def run(
    names: tuple[str, ...],
    seed: int,
    load: float | None,
    seconds: float | None,
    replicas: int | None,
    json_file: Path | None,
) -> None:
    """Run scenarios with both policies; all scenarios if none is named."""
    selected = [
        scenario
        for scenario in SCENARIOS
        if not names or scenario.name in names
    ]
    if len(selected) < len(names):
        raise click.UsageError('unknown scenario; see wigeonspoke bench list')
    scenario_results: list[ScenarioResult] = []
    for scenario in selected:
        overridden = _override(scenario, load, seconds, replicas)
        for policy in POLICIES:
            scenario_results.append(ScenarioRun(overridden, policy, seed).run())
            _print_result(scenario_results[-1])
    if json_file:
        body = msgspec.json.encode(ScenarioResults(tuple(scenario_results)))
        json_file.write_bytes(msgspec.json.format(body))


@bench.command()
@click.argument('before', type=ExistingFile)
@click.argument('after', type=ExistingFile)
def compare(before: Path, after: Path) -> None:
    """Compare the results of two runs, scenario by scenario."""
    baselines = {(old.name, old.policy): old for old in _read_results(before)}
    for result in _read_results(after):
        prior = baselines.get((result.name, result.policy))
        if prior:
            click.echo(
                f'{result.name} {result.policy}: goodput over bound '
                f'{prior.goodput_over_bound} -> {result.goodput_over_bound}, '
                f'recovery {prior.recovery_seconds} -> '
                f'{result.recovery_seconds} s, between tokens p95 '
                f'{prior.between_tokens_seconds.p95} -> '
                f'{result.between_tokens_seconds.p95} s',
            )


def _read_results(path: Path) -> tuple[ScenarioResult, ...]:
    scenario_results = msgspec.json.decode(
        path.read_bytes(), type=ScenarioResults
    )
    return scenario_results.scenarios


def _override(
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


def _print_result(result: ScenarioResult) -> None:
    met = 'met' if result.target_met else 'missed'
    click.echo(
        f'{result.name} {result.policy}: goodput/bound '
        f'{result.goodput_over_bound:.3f}, recovery '
        f'{result.recovery_seconds} s, whole {result.answers_whole}, cut '
        f'{result.answers_cut}, wrong {result.answers_wrong}, refused '
        f'{result.answers_refused}, first token p95 '
        f'{result.first_token_seconds.p95:.3f} s, between tokens p95 '
        f'{result.between_tokens_seconds.p95:.4f} s, fairness '
        f'{result.fairness}, retries {result.retry_share}, target {met}',
    )


@bench.command()
@click.argument('names', nargs=-1)
@click.option(
    '--policy',
    'policies',
    multiple=True,
    type=click.Choice(tuple(LINE_POLICIES)),
    help='Policy to replay with; repeatable.  All by default.',
)
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--hosts',
    default=100,
    show_default=True,
    type=click.IntRange(1, 1000),
    help='Number of hosts.',
)
@click.option(
    '--seconds',
    default=30.0,
    show_default=True,
    type=click.FloatRange(5, 600),
    help='Virtual seconds in which streams arrive.',
)
@click.option(
    '--json', 'json_file', type=OutputFile, help='Write the results as JSON.'
)
def line(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    seed: int,
    hosts: int,
    seconds: float,
    json_file: Path | None,
) -> None:
    """Replay load patterns with several policies, in virtual time.

    All patterns are replayed if none is named.  Prints the shares of the
    streams that were served in time, and the targets that were missed.

    \b
    Example:
      wigeonspoke bench line two-ranks large-account --seed 1 --hosts 100
    """
    known = {pattern.name: pattern for pattern in read_patterns()}
    unknown = set(names) - known.keys()
    if unknown:
        raise click.UsageError(
            f'unknown pattern {", ".join(sorted(unknown))}; there are: '
            f'{", ".join(known)}'
        )
    replayed: list[LineResult] = [
        LineReplay(known[name], policy, seed, hosts, seconds).run()
        for name in names or known
        for policy in policies or LINE_POLICIES
    ]
    click.echo(render_table(replayed))
    if json_file:
        body = msgspec.json.encode(LineResults(tuple(replayed)))
        json_file.write_bytes(msgspec.json.format(body))


@bench.command()
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def wire(as_json: bool) -> None:
    """Compare a node on real sockets with a forwarder without routing."""
    report = measure_wire()
    if as_json:
        click.echo(msgspec.json.encode(report))
        return
    for name, rate in (('node', report.node), ('forwarder', report.forwarder)):
        click.echo(
            f'{name}: {rate.requests_per_second:.0f} requests/s, '
            f'{rate.core_milliseconds:.2f} ms of processor time each',
        )
    click.echo(
        f'node relative to forwarder: {report.over_forwarder:.2f}, '
        f'from {report.least:.2f} to {report.greatest:.2f}',
    )
    click.echo(
        f'tokens/s: {report.tokens_shared:.0f} with several steps per call, '
        f'{report.tokens_alone:.0f} with one step per call',
    )
