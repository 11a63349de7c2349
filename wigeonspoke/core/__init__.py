"""Routing logic without I/O, clocks or threads.

Each concern is a separate package, and a process imports only those it needs.
:mod:`wigeonspoke.core.router` combines them.
"""
