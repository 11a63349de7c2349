"""Ranks of requests: which of them are served first."""

from collections.abc import Iterator

from wigeonspoke.core.routing.rules import RoutingConfiguration, Rule

# Values of the header that sets the order of admission at engines, from the
# most urgent rank on.  Engines take 5 for requests without the header, and 0
# and 1 are left for operators' own requests.
URGENCIES = (2, 4, 6, 8)
# Rank of all requests where ranks are not in force.
SINGLE_RANK = 0


class RankTable:
    """The ranks that requests of each service can have, 0 being served first.

    The rank of a request is the priority of its account if that has one, and
    otherwise the priority of its rule.  Ranks are in force for a service if
    its requests can have more than one; otherwise all have the same.  Ranks
    come from the configuration alone, so that all nodes agree on them.
    """

    __slots__ = ('account_priorities', 'ranks_by_service')

    def __init__(
        self, configuration: RoutingConfiguration | None = None
    ) -> None:
        self.account_priorities: dict[str, int] = {}
        self.ranks_by_service: dict[str, tuple[int, ...]] = {}
        if configuration is not None:
            self._adopt(configuration)

    def differs(self, service: str) -> bool:
        """Return whether requests of a service can have different ranks."""
        return service in self.ranks_by_service

    def rank(self, service: str, rule: Rule, account: str) -> int:
        """Return the rank of a request of an account, '' if it has none."""
        if service not in self.ranks_by_service:
            return SINGLE_RANK
        return self.account_priorities.get(account, rule.priority)

    def urgency(self, service: str, rank: int) -> int | None:
        """Return the urgency of a rank, None if ranks are not in force.

        A rank of a former configuration counts as the next less urgent one.
        """
        ranks = self.ranks_by_service.get(service)
        if ranks is None:
            return None
        position = sum(each < rank for each in ranks)
        return URGENCIES[min(position, len(URGENCIES) - 1)]

    def _adopt(self, configuration: RoutingConfiguration) -> None:
        self.account_priorities = {
            account.name: account.priority
            for account in configuration.accounts
            if account.priority is not None
        }
        found: dict[str, set[int]] = {}
        for rule in configuration.rules:
            priorities = set(_possible_priorities(rule, configuration))
            for target in rule.targets:
                found.setdefault(target.service, set()).update(priorities)
        self.ranks_by_service = {
            service: tuple(sorted(ranks))
            for service, ranks in found.items()
            if len(ranks) > 1
        }


def _possible_priorities(
    rule: Rule, configuration: RoutingConfiguration
) -> Iterator[int]:
    """Yield the priorities that requests of a rule can have."""
    if rule.allows_anonymous or not configuration.has_accounts:
        yield rule.priority
    for account in configuration.accounts:
        yield rule.priority if account.priority is None else account.priority
