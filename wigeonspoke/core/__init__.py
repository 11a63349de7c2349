"""Decisions of the router, free of input, output, clocks and threads."""

from wigeonspoke.core.router import Router

__all__ = ('Router',)
