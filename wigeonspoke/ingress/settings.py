"""Settings of an ingress node."""

import msgspec


class IngressSettings(msgspec.Struct, frozen=True):
    """Startup settings of an ingress node.

    ``front``, ``ready`` and ``peers`` are ``host:port`` listen addresses for
    client requests, the load balancer's readiness checks and requests from
    other nodes.  ``seeds`` are peer addresses of some nodes and may be out
    of date.  ``retry_ratio`` and ``retry_extra`` limit the retries that all
    nodes together may add within any ``retry_window_seconds``.
    ``stop_seconds`` is the time limit of a graceful shutdown, and ``memory_mb``
    the memory above which the process is ended.
    """

    name: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    host: str
    front: str
    ready: str
    peers: str
    seeds: tuple[str, ...]
    metrics_port: int
    store: str
    max_sockets: int
    stop_seconds: float
    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    memory_mb: float = 300
