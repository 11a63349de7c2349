"""Decisions of the router, free of input, output, clocks and threads.

Each part is a package of its own, and a process loads those that it needs;
:mod:`wigeonspoke.core.router` puts them together.
"""
