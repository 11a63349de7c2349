"""Which connections give way when a listener has no place for another one.

Connections that only wait for their clients must not keep others out.  The
ones that have gone longest without progress are ended, first those whose
client was refused, then those that never had an answer.  A connection whose
request runs, or whose response is written, stays.
"""

import heapq
from collections.abc import Iterable

import msgspec

from wigeonspoke.transport.client_connection import ClientConnection, Phase

# Sockets of a process that its listeners may take, for each of them.  The rest
# is for connections to endpoints, peers and the store.
CLIENT_SOCKET_FRACTION = 3 / 8
PEER_SOCKET_FRACTION = 1 / 8
READINESS_SOCKET_FRACTION = 0.03
# Descriptors that a process keeps for files.
FILE_DESCRIPTORS = 200
# The largest head of a request takes some 0.1 MB until the request has ended.
CONNECTIONS_PER_MEGABYTE = 5
# Part of the places that are freed at once.
FREED_FRACTION = 0.03

_CLIENT_PHASES = frozenset((Phase.IDLE, Phase.HEAD, Phase.BODY))


class HostLimits(msgspec.Struct, frozen=True):
    """The descriptors and the memory, in megabytes, of a process."""

    max_descriptors: int
    memory_mb: float

    def connections(self, socket_fraction: float, most: int) -> int:
        """Return how many connections a listener may have, ``most`` at most."""
        sockets = max(0, self.max_descriptors - FILE_DESCRIPTORS)
        by_sockets = int(sockets * socket_fraction)
        by_memory = int(self.memory_mb * CONNECTIONS_PER_MEGABYTE)
        return max(1, min(most, by_sockets, by_memory))


def choose_to_end(
    clients: Iterable[ClientConnection], connections: int
) -> list[ClientConnection]:
    """Return the clients that give way, of a listener with some places."""
    waited_for = (client for client in clients if _may_end(client))
    count = max(1, int(connections * FREED_FRACTION))
    return heapq.nsmallest(count, waited_for, key=_rank)


def _may_end(client: ClientConnection) -> bool:
    return client.is_closing or client.phase in _CLIENT_PHASES


def _rank(client: ClientConnection) -> tuple[bool, bool, float]:
    return (not client.is_closing, client.answered > 0, client.progress_at)
