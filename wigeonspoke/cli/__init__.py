"""The command line, a thin layer over the library."""

from wigeonspoke.cli.commands import main

__all__ = ('main',)
