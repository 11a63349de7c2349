"""Figures of a replay: shares served in time, and the targets for them."""

from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from wigeonspoke.bench.line.patterns import LoadPattern
from wigeonspoke.bench.line.streams import LineStream

# Streams that arrive earlier are not counted: the chains fill up, and hosts
# have not yet seen how much arrives.
WARM_UP_SECONDS = 3.0
# Size classes: the largest tenth of the streams of a rule, the fifth below it,
# and the others.
LARGEST_FRACTION = 0.1
LARGE_FRACTION = 0.3
# Parts of the mean share that no rank or account, and no size class, may fall
# below.
LEAST_OF_MEAN = 0.25
LEAST_OF_MEAN_BY_SIZE = 0.5
DIGITS = 4


class Share(msgspec.Struct, frozen=True):
    """How many streams there were, and which shares were served.

    ``in_time`` is the share that kept the target latency, the gap between
    events and the time limit, counted from the first arrival.  ``served`` is
    the share that completed at all.
    """

    streams: int
    in_time: float
    served: float


Shares = dict[str, Share]


class LineResult(msgspec.Struct, frozen=True):
    """Figures of one pattern under one policy.

    ``refused_with_room`` counts refusals while there was unreserved room that
    the host knew of.  ``missed`` describes each target that was missed.
    """

    pattern: str
    policy: str
    seed: int
    hosts: int
    seconds: float
    total: Share
    by_rank: Shares
    by_account: Shares
    by_size: Shares
    by_domain: Shares
    refusals: int
    refused_with_room: int
    abandoned: int
    queued_at_fault: int
    missed: tuple[str, ...]


class LineResults(msgspec.Struct):
    """The figures in a file."""

    lines: tuple[LineResult, ...]


class Replayed(Protocol):
    """A replay that has ended."""

    pattern: LoadPattern
    policy: str
    seed: int
    seconds: float
    hosts: list
    streams: list[LineStream]
    counters: dict[str, int]


def summarize(replay: Replayed) -> LineResult:
    """Return the figures of a replay."""
    counted = [
        stream
        for stream in replay.streams
        if stream.arrived_at >= WARM_UP_SECONDS
    ]
    sizes = _size_classes(counted)
    figures = LineResult(
        pattern=replay.pattern.name,
        policy=replay.policy,
        seed=replay.seed,
        hosts=len(replay.hosts),
        seconds=replay.seconds,
        total=_share(counted),
        by_rank=_shares(counted, lambda stream: str(stream.kind.priority)),
        by_account=_shares(counted, lambda stream: stream.kind.account_name),
        by_size=_shares(counted, lambda stream: sizes[stream.number]),
        by_domain=_shares(counted, lambda stream: stream.domain),
        refusals=replay.counters['refusals'],
        refused_with_room=replay.counters['refused-with-room'],
        abandoned=replay.counters['abandoned'],
        queued_at_fault=replay.counters['queued-at-fault'],
        missed=(),
    )
    missed = tuple(find_missed_targets(replay.pattern, figures))
    return msgspec.structs.replace(figures, missed=missed)


def find_missed_targets(
    pattern: LoadPattern, figures: LineResult
) -> Iterable[str]:
    """Yield a description of each target that was missed."""
    yield from _below('rank', pattern.least_by_rank, figures.by_rank)
    yield from _below('account', pattern.least_by_account, figures.by_account)
    mean = figures.total.in_time
    relative = (
        ('rank', LEAST_OF_MEAN, figures.by_rank),
        ('account', LEAST_OF_MEAN, figures.by_account),
        ('size', LEAST_OF_MEAN_BY_SIZE, figures.by_size),
    )
    for label, part, shares in relative:
        least = round(part * mean, DIGITS)
        yield from _below(label, dict.fromkeys(shares, least), shares)
    if figures.refused_with_room:
        yield f'{figures.refused_with_room} refused with unreserved room'


def _below(
    label: str, targets: dict[str, float], shares: Shares
) -> Iterable[str]:
    """Yield a description of each share below its target."""
    for name, least in targets.items():
        if shares[name].in_time < least:
            yield f'{label} {name} below {least}'


def _size_classes(streams: list[LineStream]) -> dict[int, str]:
    """Return the size class of each stream among those of its rule."""
    by_rule: dict[str, list[LineStream]] = {}
    for stream in streams:
        by_rule.setdefault(stream.kind.name, []).append(stream)
    classes: dict[int, str] = {}
    for members in by_rule.values():
        members.sort(key=_token_count, reverse=True)
        for position, member in enumerate(members):
            classes[member.number] = _size_class(position / len(members))
    return classes


def _token_count(stream: LineStream) -> int:
    return stream.tokens


def _size_class(fraction: float) -> str:
    if fraction < LARGEST_FRACTION:
        return 'largest'
    return 'large' if fraction < LARGE_FRACTION else 'other'


def _shares(
    streams: list[LineStream], group_of: Callable[[LineStream], str]
) -> Shares:
    groups: dict[str, list[LineStream]] = {}
    for stream in streams:
        groups.setdefault(group_of(stream), []).append(stream)
    return {name: _share(groups[name]) for name in sorted(groups)}


def _share(streams: list[LineStream]) -> Share:
    count = max(1, len(streams))
    in_time = sum(stream.is_in_time for stream in streams)
    served = sum(stream.is_served for stream in streams)
    return Share(
        len(streams),
        round(in_time / count, DIGITS),
        round(served / count, DIGITS),
    )
