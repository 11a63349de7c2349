"""Records of registered endpoints and of the engines of a service."""

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet.speeds import EngineSpeeds

BYTES_PER_MEGABYTE = 1000000.0


class Endpoint(msgspec.Struct, frozen=True):
    """One run of an endpoint, as the registry lists it.

    ``endpoint_id`` identifies it, as another endpoint may reuse its address.
    ``born`` is the Unix time of its start in milliseconds, which
    distinguishes runs with the same id.  ``slots`` is the number of requests
    it serves at once.  ``layers`` is the range of the model that it holds,
    if any, and ``orders`` the number of orders that it has accepted.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    born: int = 0
    is_leaving: bool = False
    slots: int = 1
    accelerator: str = ''
    layers: LayerRange | None = None
    orders: int = 0

    @property
    def start_id(self) -> str:
        """The id of this run among all runs of all endpoints."""
        return f'{self.endpoint_id}@{self.born}'


class Accelerator(msgspec.Struct, frozen=True):
    """A kind of accelerator: its memory and its relative speed.

    ``step_time_factor`` and ``read_time_factor`` come from the settings
    ``pace`` and ``read-x``.  A greater factor means a slower accelerator.
    """

    name: str
    memory_mb: float
    step_time_factor: float
    read_time_factor: float


class EngineProfile(msgspec.Struct, frozen=True):
    """Properties that all engines of a service share.

    ``layer_mb`` is the size of one layer's weights in megabytes.
    ``load_seconds`` is the time to load the whole model into one engine if
    at most ``loads_at_once`` engines load at the same time.
    ``kv_token_bytes`` is the size of a token's key-value cache over all
    layers, and ``mean_request_tokens`` the mean length of prompt and answer
    together.  Engines refuse a request whose chain has more than ``max_hops``
    engines.  ``speeds`` is None if the configuration does not name them.
    """

    model: str
    layers: int
    layer_mb: float
    kv_token_bytes: float
    load_seconds: float
    loads_at_once: int
    mean_request_tokens: float
    accelerators: tuple[Accelerator, ...]
    max_hops: int
    speeds: EngineSpeeds | None = None

    def accelerator(self, name: str) -> Accelerator | None:
        """Return the kind of accelerator with a name, if there is one."""
        for kind in self.accelerators:
            if kind.name == name:
                return kind
        return None

    def max_layers(self, name: str) -> int:
        """Return how many layers fit into the memory of an accelerator."""
        kind = self.accelerator(name)
        if kind is None or not self.layer_mb:
            return 0
        return min(self.layers, int(kind.memory_mb // self.layer_mb))

    def cache_capacity(self, name: str, layers: int) -> float:
        """Return how many caches of one token for one layer fit in memory.

        This is the memory that the weights of ``layers`` layers leave free on
        an accelerator; it is 0 for an unknown one.
        """
        kind = self.accelerator(name)
        if kind is None:
            return 0
        free = (kind.memory_mb - layers * self.layer_mb) * BYTES_PER_MEGABYTE
        return free / (self.kv_token_bytes / self.layers)
