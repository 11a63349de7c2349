"""The endpoints that a node knows of, by service."""

import msgspec

from wigeonspoke.core.deployment import LayerRange
from wigeonspoke.core.fleet.records import Endpoint


class Fleet:
    """Endpoints by id, with what was seen of them since they registered.

    ``revision`` rises whenever the usable endpoints or their layers change,
    so that whatever is computed from them can be kept until then.
    """

    __slots__ = ('endpoints', 'revision')

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.revision = 0

    def put(self, endpoint: Endpoint) -> bool:
        """Take in what an endpoint says of itself; tell whether it is new.

        A row of an earlier start, or of fewer orders, than what is known
        arrived late and changes nothing.
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
        """Forget an endpoint that left the registry."""
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
        """Take in layers that an endpoint reported on being asked."""
        known = self.endpoints.get(endpoint_id)
        if known is None or known.born != born or known.layers == layers:
            return
        self.put(msgspec.structs.replace(known, layers=layers))

    def of_service(self, service: str) -> list[Endpoint]:
        """Give the endpoints of a service that are not leaving."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.is_leaving
        ]


def _is_older(endpoint: Endpoint, known: Endpoint) -> bool:
    if endpoint.born != known.born:
        return endpoint.born < known.born
    return endpoint.orders < known.orders
