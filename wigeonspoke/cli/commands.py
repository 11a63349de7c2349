"""The command group of the program and its commands."""

import click

from wigeonspoke import __version__
from wigeonspoke.cli.bench import bench
from wigeonspoke.cli.demo import demo
from wigeonspoke.cli.explain import explain
from wigeonspoke.cli.load import load
from wigeonspoke.cli.node import node
from wigeonspoke.cli.operator import (
    endpoints,
    questionnaire,
    status,
    timeline,
)
from wigeonspoke.cli.standin import standin


@click.group(context_settings={'auto_envvar_prefix': 'WIGEONSPOKE'})
@click.version_option(__version__)
def main() -> None:
    """Route requests through pipelines of engines on mixed accelerators."""


COMMANDS = (
    bench,
    demo,
    endpoints,
    explain,
    load,
    node,
    questionnaire,
    standin,
    status,
    timeline,
)
main.commands.update({command.name: command for command in COMMANDS})
