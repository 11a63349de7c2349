"""Table of results as text."""

from collections.abc import Iterable

from wigeonspoke.bench.line.figures import LineResult, Shares

HEADINGS = (
    'pattern',
    'policy',
    'in time',
    'served',
    'by rank',
    'by account',
    'by size',
    'by failure domain',
    'refused',
    'with room',
    'missed',
)


def render_table(lines: Iterable[LineResult]) -> str:
    """Return a table in Markdown; shares are those served in time."""
    rows = [HEADINGS, ('---',) * len(HEADINGS), *map(_row, lines)]
    return '\n'.join('| {0} |'.format(' | '.join(row)) for row in rows)


def _row(line: LineResult) -> list[str]:
    return [
        line.pattern,
        line.policy,
        f'{line.total.in_time:.2f}',
        f'{line.total.served:.2f}',
        _describe(line.by_rank),
        _describe(line.by_account),
        _describe(line.by_size),
        _describe(line.by_domain),
        str(line.refusals),
        str(line.refused_with_room),
        ', '.join(line.missed) or 'none',
    ]


def _describe(shares: Shares) -> str:
    return ', '.join(
        f'{name} {share.in_time:.2f}' for name, share in shares.items()
    )
