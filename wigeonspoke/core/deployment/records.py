"""The records that make up one generation of the configuration.

All records are immutable; a change of configuration is a new
:class:`Configuration` with a greater generation.
"""

import msgspec


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """The layers from ``first`` up to, but without, ``end``."""

    first: int
    end: int

    def describe(self) -> str:
        """Give the range in half-open notation, such as ``[0, 8)``."""
        return f'[{self.first}, {self.end})'


class Model(msgspec.Struct, frozen=True):
    """A model and the limits on requests for it.

    ``max_context`` counts prompt and generated tokens together.
    ``request_seconds`` bounds a whole answer, ``queue_seconds`` the wait
    before its first step, and ``between_tokens_seconds`` is the target for
    the time from one token to the next.
    """

    name: str
    layers: int
    max_context: int
    request_seconds: float
    queue_seconds: float
    between_tokens_seconds: float = 0.044


class Engine(msgspec.Struct, frozen=True):
    """An endpoint that holds a range of a model's layers.

    ``step_seconds`` is the time of one batched step of its kind of
    accelerator, ``max_batch`` the streams in one step, and ``max_streams``
    how many streams it keeps state for at once.
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
    """A kind of call of a service, matched by method and path prefix.

    An operation that is not ``repeatable`` runs at most once for each value
    of the header named by ``identity_header``.
    """

    method: str
    path: str
    repeatable: bool
    identity_header: str = 'Idempotency-Key'


class Service(msgspec.Struct, frozen=True):
    """A plain service beside the engines.

    A reply whose status is in ``refusal_statuses`` says that the replica
    refused the call before it ran any of it.
    """

    name: str
    operations: tuple[Operation, ...]
    refusal_statuses: tuple[int, ...]
    call_seconds: float


class ServiceReplica(msgspec.Struct, frozen=True):
    """One endpoint of a plain service."""

    name: str
    service: str
    address: str
    failure_domain: str


class Account(msgspec.Struct, frozen=True):
    """A client account.

    ``weight`` is its share under load, ``max_requests`` its limit of
    requests at once over all nodes, and ``key_digest`` the SHA-256 digest
    of its bearer key in hexadecimal.
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
    """Everything a node needs to know of its deployment.

    Two configurations with the same generation are the same; a node only
    ever adopts a greater generation than the one in force.
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
