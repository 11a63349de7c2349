"""The configuration in force: which request goes to which service."""

import enum

import msgspec

from wigeonspoke.core.fleet import EngineProfile


@enum.unique
class RequestKind(enum.StrEnum):
    """What may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True):
    """A service that gets a share of a rule's requests."""

    service: str
    weight: float


class Rule(msgspec.Struct, frozen=True):
    """Where requests for a host and a path prefix go.

    ``timeout_seconds`` bounds the whole answer.  ``target_latency_seconds`` is
    the time to the answer, or to a stream's first event, that users expect;
    ``target_event_gap_seconds`` the longest pause they accept within a stream.
    ``max_attempts`` is the number of endpoints that may run one request.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_latency_seconds: float
    max_attempts: int
    priority: int
    allows_anonymous: bool
    is_resumable: bool
    target_event_gap_seconds: float
    targets: tuple[Target, ...]

    @property
    def may_repeat(self) -> bool:
        """Tell whether a request may run again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


class ServiceProfile(msgspec.Struct, frozen=True):
    """A service; ``engine`` is there where its endpoints are engines."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account with the keys that identify it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on what a client may send and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration, whole."""

    version: int
    rules: tuple[Rule, ...]
    services: tuple[ServiceProfile, ...]
    accounts: tuple[ClientAccount, ...]
    has_accounts: bool
    limits: ClientLimits
