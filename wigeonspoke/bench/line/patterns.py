"""Load patterns of the model, read from ``patterns.toml``."""

import enum
import math
from importlib import resources

import msgspec


@enum.unique
class FaultKind(enum.StrEnum):
    """What fails during a replay."""

    HOST_DIES = 'host-dies'
    CHAIN_VANISHES = 'chain-vanishes'
    NEWS_STOPS = 'news-stops'
    CLOCKS_JUMP = 'clocks-jump'


class LineFault(msgspec.Struct, frozen=True):
    """A failure at a time; ``seconds`` is how far clocks jump."""

    kind: FaultKind
    at: float
    seconds: float = 0


class Period(
    msgspec.Struct, frozen=True, rename={'begin': 'from', 'end': 'to'}
):
    """A period in seconds of a replay."""

    begin: float = 0
    end: float = math.inf


class StreamKind(
    msgspec.Struct, frozen=True, rename={'begin': 'from', 'end': 'to'}
):
    """Streams of one rule and account, with Poisson arrivals.

    ``per_second`` is the mean rate over all hosts from ``begin`` to ``end``.
    ``target`` is the target latency.  Clients that ``repeats_at_once`` send a
    refused request again without waiting for its Retry-After.
    """

    name: str
    priority: int
    per_second: float
    account: str = ''
    target: float = 0.5
    begin: float = 0
    end: float = math.inf
    repeats_at_once: bool = False

    @property
    def account_name(self) -> str:
        """The client account of the streams."""
        return self.account or self.name


class LoadPattern(msgspec.Struct, frozen=True):
    """Streams that arrive at the hosts, the chains, and what fails.

    ``chains`` is the number of chains by failure domain.  The rate in each
    domain swings by ``swing`` of its mean, equally spaced in phase.  The
    targets ``least_by_rank`` and ``least_by_account`` are shares in time.
    """

    name: str
    chains: dict[str, int]
    kinds: tuple[StreamKind, ...]
    swing: float = 0
    period: float = 20
    outage: Period | None = None
    faults: tuple[LineFault, ...] = ()
    least_by_rank: dict[str, float] = {}
    least_by_account: dict[str, float] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """The failure domains, which divide hosts and load equally."""
        return tuple(self.chains)


class _PatternFile(msgspec.Struct):
    patterns: tuple[LoadPattern, ...]


def read_patterns() -> tuple[LoadPattern, ...]:
    """Return the load patterns in the order of the file."""
    text = resources.files(__package__).joinpath('patterns.toml').read_text()
    return msgspec.toml.decode(text, type=_PatternFile).patterns
