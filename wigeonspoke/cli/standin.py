"""The command ``wigeonspoke standin``: stand-ins as processes."""

import click
import eventlet

from wigeonspoke.core.deployment import Engine, LayerRange
from wigeonspoke.observe import configure_logs
from wigeonspoke.standins import (
    ExecutionLog,
    StandInEngine,
    StandInPlatform,
    StandInService,
)

SLEEP_SECONDS = 3600
DEFAULT_HOST = '127.0.0.1'


@click.group()
def standin() -> None:
    """Run a stand-in for an engine, a service or the platform."""
    configure_logs('INFO', as_json=False)


@standin.command()
@click.option('--host', default=DEFAULT_HOST, show_default=True)
@click.option('--port', default=0, show_default=True)
def platform(host: str, port: int) -> None:
    """Run an in-memory platform: table, object store and host list."""
    _serve_forever(StandInPlatform(host, port).address)


@standin.command()
@click.option('--host', default=DEFAULT_HOST, show_default=True)
@click.option('--port', default=0, show_default=True)
@click.option('--model', required=True)
@click.option(
    '--layers', required=True, type=int, help='Layers of the whole model.'
)
@click.option('--first-layer', required=True, type=int)
@click.option('--end-layer', required=True, type=int)
@click.option('--step-seconds', default=0.05, show_default=True)
@click.option('--max-batch', default=8, show_default=True)
@click.option('--max-streams', default=64, show_default=True)
def engine(
    host: str,
    port: int,
    model: str,
    layers: int,
    first_layer: int,
    end_layer: int,
    step_seconds: float,
    max_batch: int,
    max_streams: int,
) -> None:
    """Run an engine that holds a range of layers."""
    engine_record = Engine(
        name=f'{model}-{host}:{port}',
        address=f'{host}:{port}',
        failure_domain='',
        model=model,
        layers=LayerRange(first_layer, end_layer),
        accelerator='stand-in',
        step_seconds=step_seconds,
        max_batch=max_batch,
        max_streams=max_streams,
        checks_fencing=False,
    )
    _serve_forever(
        StandInEngine(engine_record, layers, ExecutionLog(), host, port).address
    )


@standin.command()
@click.option('--host', default=DEFAULT_HOST, show_default=True)
@click.option('--port', default=0, show_default=True)
@click.option('--service', 'service_name', required=True)
def service(host: str, port: int, service_name: str) -> None:
    """Run a replica of a service."""
    name = f'{service_name}-{port}'
    replica = StandInService(name, service_name, ExecutionLog(), host, port)
    _serve_forever(replica.address)


def _serve_forever(address: str) -> None:
    click.echo(f'listening on {address}')
    while True:
        eventlet.sleep(SLEEP_SECONDS)
