"""Endpoints as they register themselves, and what their services tell."""

import msgspec

from wigeonspoke.core.deployment import LayerRange


class Endpoint(msgspec.Struct, frozen=True):
    """One start of an endpoint, as the registry lists it.

    ``endpoint_id`` names it; an address may be used again by another one.
    ``born`` is the Unix time of its start in milliseconds and tells two
    starts under the same id apart.  ``layers`` is the range of the model it
    holds, or none.  ``orders`` counts the orders that it has accepted.
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


class Accelerator(msgspec.Struct, frozen=True):
    """A kind of accelerator: its memory, and its slowness for steps."""

    name: str
    memory_mb: float
    step_time_factor: float
    read_time_factor: float


class EngineProfile(msgspec.Struct, frozen=True):
    """What all engines of a service share.

    ``load_seconds`` is the time to load the whole model into one engine, as
    long as no more than ``loads_at_once`` load,
    ``kv_token_bytes`` the size of a token's state over all layers, and
    ``mean_request_tokens`` the mean of prompt and answer together.
    """

    model: str
    layers: int
    layer_mb: float
    kv_token_bytes: float
    load_seconds: float
    loads_at_once: int
    mean_request_tokens: float
    accelerators: tuple[Accelerator, ...]

    def accelerator(self, name: str) -> Accelerator | None:
        """Find a kind of accelerator by its name."""
        for kind in self.accelerators:
            if kind.name == name:
                return kind
        return None

    def max_layers(self, name: str) -> int:
        """Give how many layers fit a kind of accelerator at the most."""
        kind = self.accelerator(name)
        if kind is None or not self.layer_mb:
            return 0
        return min(self.layers, int(kind.memory_mb // self.layer_mb))
