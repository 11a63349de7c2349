"""The registered endpoints that a node knows."""

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet.records import Endpoint


class Fleet:
    """Endpoints by id, with the layers that they reported since.

    ``revision`` increases with every change to the endpoints or their
    layers, so that results computed from them can be cached until then.
    """

    __slots__ = ('endpoints', 'revision')

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.revision = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Add or update an endpoint, and tell whether anything changed.

        A row of an earlier run, or with fewer accepted orders than the known
        one, has arrived late and is ignored.
        """
        known = self.endpoints.get(endpoint.endpoint_id)
        if known == endpoint:
            return False
        if known is not None and _is_older(endpoint, known):
            return False
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.revision += 1
        return True

    def drop(self, endpoint_id: str) -> Endpoint | None:
        """Remove and return an endpoint that left the registry."""
        removed = self.endpoints.pop(endpoint_id, None)
        if removed is not None:
            self.revision += 1
        return removed

    def update_layers(
        self,
        endpoint_id: str,
        born: int,
        layers: LayerRange | None,
    ) -> None:
        """Store the layers that an endpoint reported when polled.

        ``born`` tells which run reported them; other runs are not changed.
        """
        known = self.endpoints.get(endpoint_id)
        if known is None or known.born != born or known.layers == layers:
            return
        self.put(msgspec.structs.replace(known, layers=layers))

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that are not shutting down."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.is_leaving
        ]


def _is_older(endpoint: Endpoint, known: Endpoint) -> bool:
    if endpoint.born != known.born:
        return endpoint.born < known.born
    return endpoint.orders < known.orders
