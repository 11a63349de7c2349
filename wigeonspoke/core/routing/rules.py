"""Routing configuration: which service handles which request."""

import enum

import msgspec

from wigeonspoke.core.fleet import EngineProfile


@enum.unique
class RequestKind(enum.StrEnum):
    """Kind of a request; decides whether it may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Target(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of the requests of a rule."""

    service: str
    weight: float


class Rule(msgspec.Struct, frozen=True):
    """How requests for a host and a path prefix are routed.

    ``timeout_seconds`` limits the time to the complete response.
    ``target_latency_seconds`` is the time to the response, or to the first
    event of a stream, that users expect.  ``target_event_gap_seconds`` is the
    longest gap between the events of a stream that they accept.
    ``max_attempts`` limits the number of endpoints that may run one request.
    ``allows_anonymous`` admits requests without the key of an account.
    ``is_resumable`` lets a stream that broke off continue on another endpoint.
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
        """Return whether a request may run again if it may already have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


class ServiceProfile(msgspec.Struct, frozen=True):
    """A service; ``engine`` is set if its endpoints are engines."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account with the API keys that identify it."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on the size and duration of what a client sends."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class RoutingConfiguration(msgspec.Struct, frozen=True):
    """One complete version of the configuration.

    ``has_accounts`` tells whether it lists any account.
    """

    version: int
    rules: tuple[Rule, ...]
    services: tuple[ServiceProfile, ...]
    accounts: tuple[ClientAccount, ...]
    has_accounts: bool
    limits: ClientLimits
