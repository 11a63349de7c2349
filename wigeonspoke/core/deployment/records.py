"""Records of one generation of a deployment's configuration.

All records are immutable.  A change of configuration is a new
:class:`Configuration` with a greater generation.
"""

import msgspec


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """A half-open range of layers, from ``first`` up to ``end``."""

    first: int
    end: int

    def describe(self) -> str:
        """Return the range in interval notation, such as ``[0, 8)``."""
        return f'[{self.first}, {self.end})'


class Model(msgspec.Struct, frozen=True):
    """A model and the limits on requests for it.

    ``max_context`` counts prompt and generated tokens together.
    ``request_seconds`` limits the time of a whole request and
    ``queue_seconds`` the wait before its first step.
    ``between_tokens_seconds`` is the target for the time from one token to
    the next.  ``prompt_retention_seconds`` is how long its engines keep a
    prompt after its request.
    """

    name: str
    layers: int
    max_context: int
    request_seconds: float
    queue_seconds: float
    between_tokens_seconds: float = 0.044
    prompt_retention_seconds: float = 0


class Engine(msgspec.Struct, frozen=True):
    """An endpoint that runs a range of a model's layers.

    ``step_seconds`` is the time of one batched step on its kind of
    accelerator, ``max_batch`` the most streams in one step, and
    ``max_streams`` the most streams that it keeps state for at once.
    """

    name: str
    address: str
    failure_domain: str
    model: str
    layers: LayerRange
    accelerator: str
    step_seconds: float
    max_batch: int
    max_streams: int
    checks_fencing: bool


class Operation(msgspec.Struct, frozen=True):
    """An operation of a service, matched by method and path prefix.

    An operation that is not ``repeatable`` runs at most once for each value
    of the header named by ``identity_header``.
    """

    method: str
    path: str
    repeatable: bool
    identity_header: str = 'Idempotency-Key'


class Service(msgspec.Struct, frozen=True):
    """A plain HTTP service, as opposed to the engines.

    A reply whose status is in ``refusal_statuses`` means that the replica
    refused the call before executing any of it.  ``call_seconds`` limits the
    time of a call.
    """

    name: str
    operations: tuple[Operation, ...]
    refusal_statuses: tuple[int, ...]
    call_seconds: float


class ServiceReplica(msgspec.Struct, frozen=True):
    """An endpoint of a plain service."""

    name: str
    service: str
    address: str
    failure_domain: str


class Account(msgspec.Struct, frozen=True):
    """A client account.

    ``weight`` is its relative share under load, ``max_requests`` its limit
    of concurrent requests over all nodes, and ``key_digest`` the SHA-256
    digest of its bearer key in hexadecimal.
    """

    name: str
    weight: float
    max_requests: int
    key_digest: str


class Link(msgspec.Struct, frozen=True):
    """The one-way latency, in seconds, between two failure domains."""

    one: str
    other: str
    seconds: float


class Configuration(msgspec.Struct, frozen=True):
    """The complete configuration of a deployment, as nodes use it.

    Two configurations with the same generation are identical.  A node only
    adopts a configuration with a greater generation than its current one.
    """

    generation: int
    deployment: str
    region: str
    failure_domains: tuple[str, ...]
    models: tuple[Model, ...]
    engines: tuple[Engine, ...]
    services: tuple[Service, ...]
    replicas: tuple[ServiceReplica, ...]
    accounts: tuple[Account, ...]
    links: tuple[Link, ...]
