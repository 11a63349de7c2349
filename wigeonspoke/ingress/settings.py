"""Settings of an ingress node."""

import msgspec


class IngressSettings(msgspec.Struct, frozen=True):
    """What an ingress node is told at its start.

    ``front`` takes the callers' requests and ``ready`` the balancer's
    questions, each as ``host:port``.  ``retry_ratio`` and ``retry_extra``
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
    peer_port: int
    metrics_port: int
    store: str
    max_sockets: int
    stop_seconds: float
    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
