"""Benchmarks of routing under load and faults, most in virtual time."""

from wigeonspoke.bench.cluster import Policy, RequestRecord, VirtualCluster
from wigeonspoke.bench.engine import VirtualEngine
from wigeonspoke.bench.naive import NaiveRouter
from wigeonspoke.bench.scheduler import Scheduler

__all__ = (
    'NaiveRouter',
    'Policy',
    'RequestRecord',
    'Scheduler',
    'VirtualCluster',
    'VirtualEngine',
)
