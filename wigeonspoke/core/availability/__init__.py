"""Whether a node may send a request to a run of an endpoint now."""

from wigeonspoke.core.availability.backoffs import Backoffs
from wigeonspoke.core.availability.endpoint_availability import (
    EndpointAvailability,
)
from wigeonspoke.core.availability.records import Obstacle, ObstacleReason

__all__ = ('Backoffs', 'Obstacle', 'ObstacleReason', 'EndpointAvailability')
