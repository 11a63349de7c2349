"""The command ``wigeonspoke load``."""

import sys

import click
import msgspec

from wigeonspoke.load import Balancer, LoadDriver, LoadPlan, LoadSummary
from wigeonspoke.load.balancer import NodeAddresses
from wigeonspoke.observe import configure_logs

EXIT_FAILED = 1


class RoundRobinBalancer(Balancer):
    """Selects nodes in turn without checking whether they are ready."""

    def __init__(self, nodes: tuple[str, ...]) -> None:
        super().__init__(tuple(NodeAddresses(node, '') for node in nodes))


@click.command()
@click.option('--node', 'nodes', multiple=True, required=True, help='HOST:PORT')
@click.option('--key', 'keys', multiple=True, required=True, help='Bearer key.')
@click.option('--model', required=True, help='Name of the model.')
@click.option('--layers', required=True, type=int, help='Its number of layers.')
@click.option(
    '--rate', default=0, type=float, help='Requests per second, open loop.'
)
@click.option(
    '--concurrency', default=0, help='Concurrent callers, closed loop.'
)
@click.option('--seconds', default=10.0, show_default=True)
@click.option('--max-tokens', default=24, show_default=True)
@click.option('--prompt-chars', default=24, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def load(
    nodes: tuple[str, ...],
    keys: tuple[str, ...],
    as_json: bool,
    **plan: float,
) -> None:
    """Send callers' requests to nodes and check every answer.

    The expected answers are those of the stand-in engines, so the engines
    behind the nodes must be stand-ins.  Use either --rate or --concurrency.

    \b
    Example:
      wigeonspoke load --node 127.0.0.1:8000 --key demo-key-packer-1 \\
        --model drafting --layers 24 --rate 20
    """
    configure_logs('ERROR', as_json=False)
    load_plan = msgspec.convert(plan, LoadPlan)
    if bool(load_plan.rate) == bool(load_plan.concurrency):
        raise click.UsageError('use either --rate or --concurrency')
    driver = LoadDriver(load_plan, RoundRobinBalancer(nodes), keys)
    driver.run()
    summary = driver.summary()
    _print_summary(summary, as_json)
    if summary.cut or summary.wrong:
        sys.exit(EXIT_FAILED)


def _print_summary(summary: LoadSummary, as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(summary))
        return
    click.echo(
        f'{summary.requests} requests: {summary.whole} whole, '
        f'{summary.cut} cut, {summary.wrong} wrong, '
        f'{summary.refused} refused, {summary.failed} failed',
    )
    click.echo(f'{summary.tokens_per_second:.1f} tokens/s')
    for name, latency in (
        ('first token', summary.first_token_seconds),
        ('whole answer', summary.answer_seconds),
    ):
        click.echo(
            f'{name}: p50 {latency.p50:.3f} s, p95 {latency.p95:.3f} s, '
            f'p99 {latency.p99:.3f} s',
        )
