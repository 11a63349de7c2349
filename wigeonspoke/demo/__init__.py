"""Demonstration of the whole system in one process under load and faults."""

from wigeonspoke.demo.report import DemoReport, print_report
from wigeonspoke.demo.run import run_demo

__all__ = ('DemoReport', 'print_report', 'run_demo')
