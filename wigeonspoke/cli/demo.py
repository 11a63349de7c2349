"""The command ``wigeonspoke demo``."""

import sys
from pathlib import Path

import click
import msgspec

from wigeonspoke.demo import print_report, run_demo
from wigeonspoke.observe import configure_logs

DEFAULT_SECONDS = 7.5
EXIT_GUARANTEE_VIOLATED = 1


@click.command()
@click.option(
    '--seed', default=1, show_default=True, help='Random seed of the load.'
)
@click.option(
    '--seconds',
    default=DEFAULT_SECONDS,
    show_default=True,
    type=click.FloatRange(5, 600),
    help='Duration of the load on each deployment.',
)
@click.option(
    '--json',
    'json_file',
    type=click.Path(dir_okay=False, path_type=Path),
    help='Also write the report to this file as one JSON object.',
)
def demo(seed: int, seconds: float, json_file: Path | None) -> None:
    """Run two deployments in this process, under load and injected faults.

    Prints for each promise whether it was kept, and exits with status 1 if
    one was broken.
    """
    configure_logs('ERROR', as_json=False)
    report = run_demo(seed, seconds, _show_progress)
    print_report(report)
    if json_file:
        body = msgspec.json.encode(report)
        json_file.write_bytes(msgspec.json.format(body))
    if not report.ok:
        sys.exit(EXIT_GUARANTEE_VIOLATED)


def _show_progress(text: str) -> None:
    if sys.stderr.isatty():
        click.echo(f'... {text}', err=True)
