"""Lookup of the rule and the account of a request."""

from wigeonspoke.core.routing.ranks import RankTable
from wigeonspoke.core.routing.rules import (
    ClientAccount,
    ClientLimits,
    RoutingConfiguration,
    Rule,
    ServiceProfile,
    Target,
)


class RoutingTable:
    """The newest configuration known to the node, indexed for lookup.

    Configurations whose version is not newer are ignored.
    """

    __slots__ = (
        'accounts',
        'configuration',
        'ranks',
        'rules_by_host',
        'services',
    )

    def __init__(self) -> None:
        self.configuration: RoutingConfiguration | None = None
        self.rules_by_host: dict[str, list[Rule]] = {}
        self.accounts: dict[str, ClientAccount] = {}
        self.services: dict[str, ServiceProfile] = {}
        self.ranks = RankTable()

    @property
    def version(self) -> int:
        """Return the active version, or -1 if there is none yet."""
        return self.configuration.version if self.configuration else -1

    @property
    def limits(self) -> ClientLimits:
        """Return the active limits, or the defaults if there are none yet."""
        if self.configuration is None:
            return ClientLimits()
        return self.configuration.limits

    def adopt(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self.rules_by_host = _rules_by_host(configuration)
        self.accounts = {
            key: account
            for account in configuration.accounts
            for key in account.keys
        }
        self.services = {
            service.name: service for service in configuration.services
        }
        self.ranks = RankTable(configuration)
        return True

    def find_rule(self, host: str, path: str) -> Rule | None:
        """Return the rule of a host with the longest prefix of a path."""
        for rule in self.rules_by_host.get(host, ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the account that a key identifies."""
        return self.accounts.get(key)

    def allows(self, rule: Rule, key: str) -> bool:
        """Return whether the active configuration still admits a request.

        The rule under which it was admitted must still exist, and its key must
        still belong to an account if one is required.
        """
        current = self.find_rule(rule.host, rule.prefix)
        if current is None:
            return False
        if rule.allows_anonymous or not self.requires_keys:
            return True
        return key in self.accounts

    @property
    def requires_keys(self) -> bool:
        """Return whether requests must carry the key of an account."""
        return bool(self.configuration and self.configuration.has_accounts)


def choose_target(targets: tuple[Target, ...], random_point: float) -> str:
    """Choose a service by weight, given a random number in ``[0, 1)``."""
    total = sum(target.weight for target in targets)
    remaining = random_point * total
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return targets[-1].service


def _rules_by_host(
    configuration: RoutingConfiguration,
) -> dict[str, list[Rule]]:
    rules_by_host: dict[str, list[Rule]] = {}
    for rule in configuration.rules:
        rules_by_host.setdefault(rule.host, []).append(rule)
    for rules in rules_by_host.values():
        rules.sort(key=_prefix_length, reverse=True)
    return rules_by_host


def _prefix_length(rule: Rule) -> int:
    return len(rule.prefix)
