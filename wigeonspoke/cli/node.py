"""The command ``wigeonspoke node``."""

import os
import signal
import sys

import click
import eventlet
import msgspec
from eventlet.event import Event
from loguru import logger
from returns.result import Success

from wigeonspoke.node import Node, NodeSettings, check_settings
from wigeonspoke.observe import configure_logs

EXIT_INVALID_SETTINGS = 2
EXIT_FORCED = 1


@click.command()
@click.option('--name', default='', help='Name of this node.')
@click.option(
    '--failure-domain', default='', help='Failure domain of this host.'
)
@click.option('--platform', default='', help='HOST:PORT of the platform.')
@click.option(
    '--admin-key', default='', help='Key for the administration interface.'
)
@click.option('--cluster-key', default='', help='Key shared by all nodes.')
@click.option('--host', default='127.0.0.1', show_default=True)
@click.option('--callers-port', default=0, show_default=True)
@click.option('--admin-port', default=0, show_default=True)
@click.option('--peers-port', default=0, show_default=True)
@click.option('--seed', 'seeds', multiple=True, help='HOST:PORT of a peer.')
@click.option('--look-away-seconds', default=5.0, show_default=True)
@click.option('--log-level', default='INFO', show_default=True)
@click.option('--log-json', is_flag=True, help='Log lines in JSON.')
def node(**options: object) -> None:
    """Run the router of an entry host.

    Each setting is a flag or an environment variable, such as
    WIGEONSPOKE_NODE_NAME for --name.  SIGTERM stops the node gracefully: it
    fails its readiness checks, finishes the requests in progress and exits
    with status 0.  A second SIGTERM exits immediately with status 1.

    \b
    Example:
      wigeonspoke node --name entry-1 --failure-domain ar-centro-1 \\
        --platform 127.0.0.1:7000 --admin-key ... --cluster-key ...
    """
    settings = msgspec.convert(options, NodeSettings)
    result = check_settings(settings)
    if not isinstance(result, Success):
        for error in result.failure():
            click.echo(error.describe(), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    configure_logs(settings.log_level, settings.log_json)
    _serve(Node(settings))


class StopRequest:
    """Sets ``event`` at the first stop signal, exits at the second one."""

    __slots__ = ('event', 'is_requested')

    def __init__(self) -> None:
        self.event: Event = Event()
        self.is_requested = False

    def handle_signal(self, *_: object) -> None:
        """Handle a stop signal."""
        if self.is_requested:
            os._exit(EXIT_FORCED)
        self.is_requested = True
        eventlet.spawn_after(0, self.event.send)


def _serve(daemon: Node) -> None:
    stop_request = StopRequest()
    signal.signal(signal.SIGTERM, stop_request.handle_signal)
    signal.signal(signal.SIGINT, stop_request.handle_signal)
    daemon.start()
    logger.info(
        'serving callers={} admin={} peers={}',
        daemon.callers.address,
        daemon.admin.address,
        daemon.peers.address,
    )
    stop_request.event.wait()
    daemon.stop()
    logger.info('stopped')
