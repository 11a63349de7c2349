"""Settings of an ingress node."""

import msgspec


class IngressSettings(msgspec.Struct, frozen=True):
    """What an ingress node is told at its start.

    ``front`` takes the callers' requests, ``ready`` the balancer's questions
    and ``peers`` those of other nodes, each as ``host:port``.  ``seeds`` are
    some nodes' addresses for peers, which may be out of date.
    ``retry_ratio`` and ``retry_extra``
    bound the work that all nodes together may add by retries in any
    ``retry_window_seconds``.  ``stop_seconds`` is how long a planned stop
    may take.
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
