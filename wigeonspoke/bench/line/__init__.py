"""Load patterns replayed against policies of choosing chains."""

from wigeonspoke.bench.line.figures import LineResult, LineResults
from wigeonspoke.bench.line.patterns import LoadPattern, read_patterns
from wigeonspoke.bench.line.replay import POLICIES, LineReplay
from wigeonspoke.bench.line.table import render_table

__all__ = (
    'POLICIES',
    'LineReplay',
    'LineResult',
    'LineResults',
    'LoadPattern',
    'read_patterns',
    'render_table',
)
