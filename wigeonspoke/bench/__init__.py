"""Measurement of the decisions under load and faults, in virtual time."""

from wigeonspoke.bench.cluster import AnswerLog, Policy, VirtualCluster
from wigeonspoke.bench.engine import VirtualEngine
from wigeonspoke.bench.naive import NaiveRouter
from wigeonspoke.bench.scheduler import Scheduler

__all__ = (
    'AnswerLog',
    'NaiveRouter',
    'Policy',
    'Scheduler',
    'VirtualCluster',
    'VirtualEngine',
)
