"""The command-line interface, a thin layer over the library."""

from wigeonspoke.cli.commands import main

__all__ = ('main',)
