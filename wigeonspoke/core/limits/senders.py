"""Which nodes may send to an endpoint that names a limit.

Each sender may have saved up one request, so the more of them there are, the
more requests can come at once.  Their number therefore depends on the limit.
All nodes compute the same senders from the nodes that they know, without an
agreement: rendezvous hashing changes few of them when a node comes or goes.
"""

from wigeonspoke.core.rendezvous import rank_names

# A node that is not heard from keeps its place for this long: it may only be
# partitioned, and would then go on sending.
MEMORY_SECONDS = 60.0
# A node that has just started does not know the others yet.
DISCOVERY_SECONDS = 5.0
CHECK_SECONDS = 1.0


class SenderRegistry:
    """The nodes that may send, by failure domain.

    ``revision`` changes when a node comes or is forgotten.
    """

    __slots__ = (
        'checked_at',
        'discovered_at',
        'domains',
        'heard_at',
        'own_name',
        'revision',
    )

    def __init__(
        self, own_name: str, own_domain: str, started_at: float
    ) -> None:
        self.own_name = own_name
        self.discovered_at = started_at + DISCOVERY_SECONDS
        self.checked_at = started_at
        self.domains: dict[str, str] = {own_name: own_domain}
        self.heard_at: dict[str, float] = {}
        self.revision = 0

    def record(self, name: str, domain: str, now: float) -> None:
        """Record that a peer was heard from."""
        if name == self.own_name:
            return
        self.heard_at[name] = now
        if self.domains.get(name) != domain:
            self.domains[name] = domain
            self.revision += 1
        if now >= self.checked_at + CHECK_SECONDS:
            self.checked_at = now
            self._forget_silent(now)

    def has_discovered(self, now: float) -> bool:
        """Return whether this node has had the time to hear from others."""
        return now >= self.discovered_at

    def share(self, start_id: str, domain: str, limit: float) -> float:
        """Return this node's share of an endpoint's limit, from 0 to 1.

        ``domain`` is that of the endpoint.  Nodes of other domains send only
        if no node of its own is known, since their clients are served there.
        """
        local = [
            name for name, known in self.domains.items() if known == domain
        ]
        ranked = rank_names(start_id, local or self.domains)
        senders = ranked[: max_senders(limit)]
        return 1 / len(senders) if self.own_name in senders else 0

    def _forget_silent(self, now: float) -> None:
        oldest = now - MEMORY_SECONDS
        silent = [name for name, at in self.heard_at.items() if at < oldest]
        for name in silent:
            self.heard_at.pop(name)
            self.domains.pop(name)
            self.revision += 1


def max_senders(limit: float) -> int:
    """Return how many nodes may send to an endpoint.

    In 4 s they send at most 4 times the limit and one request each, which
    leaves a margin below one and a half times the limit and five requests.
    """
    return 2 + int(limit)
