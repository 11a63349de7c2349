"""Report of a demo run, as an object and as a short text."""

from collections.abc import Iterable

import click
import msgspec

NOT_TESTED = 'not tested'


class Guarantees(msgspec.Struct, frozen=True):
    """Counts of violations of each guarantee.

    A count is ``None`` if nothing in the run exercised the guarantee.
    ``answers_whole`` counts complete answers and no violations.
    """

    layers_out_of_order: int | None
    answers_whole: int
    answers_cut: int | None
    answers_wrong: int | None
    answers_failed: int | None
    repeated_operations: int | None
    not_run_but_ran: int | None
    work_after_drain: int | None
    cut_by_planned_stop: int | None
    generation_reverts: int | None

    @property
    def all_kept(self) -> bool:
        """Whether no guarantee was violated."""
        violations = msgspec.structs.asdict(self)
        violations.pop('answers_whole')
        return not any(violations.values())


class Throughput(msgspec.Struct, frozen=True):
    """Tokens per second in steady state, and the bound of the engines."""

    bound_tokens_per_second: float
    tokens_per_second: float
    over_bound: float


class Operations(msgspec.Struct, frozen=True):
    """Counts of operations that must not run twice.

    ``asked`` counts the distinct operations, ``requests`` the requests for
    them, ``run`` the operations that ran and ``most_runs`` the runs of the
    operation that ran most often.  ``refused_not_run`` counts the requests
    that were refused as not run.
    """

    asked: int
    requests: int
    run: int
    most_runs: int
    refused_not_run: int


class DeploymentReport(msgspec.Struct, frozen=True):
    """Results of the run of one deployment."""

    deployment: str
    promises: Guarantees
    throughput: Throughput
    recovery_seconds: dict[str, float | None]
    operations: Operations
    answers_refused: int


class DemoReport(msgspec.Struct, frozen=True):
    """Results of all deployments of a demo run."""

    seed: int
    ok: bool
    promises: Guarantees
    throughput: Throughput
    recovery_seconds: dict[str, float | None]
    deployments: tuple[DeploymentReport, ...]


def combine_reports(
    seed: int, reports: tuple[DeploymentReport, ...]
) -> DemoReport:
    """Combine the reports of the deployments.

    Violations are added, rates are averaged, and each recovery time is the
    longest one, or ``None`` if a deployment did not recover.
    """
    promises = Guarantees(
        **{
            name: _total_or_none(
                getattr(report.promises, name) for report in reports
            )
            for name in Guarantees.__struct_fields__
        },
    )
    faults = {fault for report in reports for fault in report.recovery_seconds}
    recovery = {
        fault: _longest_or_none(
            report.recovery_seconds.get(fault) for report in reports
        )
        for fault in sorted(faults)
    }
    bound = _mean(
        report.throughput.bound_tokens_per_second for report in reports
    )
    rate = _mean(report.throughput.tokens_per_second for report in reports)
    return DemoReport(
        seed=seed,
        ok=promises.all_kept,
        promises=promises,
        throughput=Throughput(bound, rate, round(rate / bound, 3)),
        recovery_seconds=recovery,
        deployments=reports,
    )


def print_report(report: DemoReport) -> None:
    """Print a report as text."""
    for deployment in report.deployments:
        _print_deployment(deployment)
    verdict = 'all promises kept' if report.ok else 'A PROMISE BROKE'
    click.echo(f'seed {report.seed}: {verdict}')


def _print_deployment(report: DeploymentReport) -> None:
    click.echo(report.deployment)
    promises = report.promises
    _print_line(
        'answers',
        f'{promises.answers_whole} whole, {promises.answers_cut} cut, '
        f'{promises.answers_wrong} wrong, {promises.answers_failed} failed, '
        f'{report.answers_refused} refused',
    )
    operations = report.operations
    _print_line(
        'operations',
        f'{operations.asked} asked for in {operations.requests} requests, '
        f'{operations.run} run, at most {operations.most_runs} time(s) each, '
        f'{operations.refused_not_run} refused as not run',
    )
    throughput = report.throughput
    _print_line(
        'throughput',
        f'{throughput.tokens_per_second:.0f} of at most '
        f'{throughput.bound_tokens_per_second:.0f} tokens/s, '
        f'{throughput.over_bound:.2f} of the bound',
    )
    for name in (
        'layers_out_of_order',
        'repeated_operations',
        'not_run_but_ran',
        'work_after_drain',
        'cut_by_planned_stop',
        'generation_reverts',
    ):
        violations = getattr(promises, name)
        _print_line(name, NOT_TESTED if violations is None else str(violations))
    for fault, seconds in report.recovery_seconds.items():
        text = 'never' if seconds is None else f'{seconds:.2f} s'
        _print_line(f'recovery from {fault}', text)


def _print_line(name: str, text: str) -> None:
    click.echo(f'  {name.replace("_", " "):<28} {text}')


def _total_or_none(counts: Iterable[int | None]) -> int | None:
    known_counts = [count for count in counts if count is not None]
    return sum(known_counts) if known_counts else None


def _longest_or_none(times: Iterable[float | None]) -> float | None:
    all_times = list(times)
    if any(seconds is None for seconds in all_times):
        return None
    return max(seconds for seconds in all_times if seconds is not None)


def _mean(rates: Iterable[float]) -> float:
    all_rates = list(rates)
    return round(sum(all_rates) / len(all_rates), 2)
