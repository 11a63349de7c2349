"""Limits on concurrent requests per account, divided among live nodes."""

import math

from wigeonspoke.core.deployment import Account


class AccountLimits:
    """Counts each account's active requests at this node.

    A node allows an account its limit divided by the number of live nodes,
    rounded up, so that admission needs no coordination between nodes.
    """

    __slots__ = ('accounts', 'active_requests', 'by_key_digest')

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}
        self.active_requests: dict[str, int] = {}
        self.by_key_digest: dict[str, Account] = {}

    def adopt(self, accounts: tuple[Account, ...]) -> None:
        """Replace the accounts by those of a configuration."""
        self.accounts = {account.name: account for account in accounts}
        self.by_key_digest = {
            account.key_digest: account for account in accounts
        }

    def weight(self, name: str) -> float:
        """Return an account's weight in fair queueing, 1 if it is unknown."""
        account = self.accounts.get(name)
        return account.weight if account else 1

    def acquire(self, name: str, live_nodes: int) -> bool:
        """Count a new request and return whether it is admitted.

        It is refused if the account is unknown or at its limit.
        """
        account = self.accounts.get(name)
        if account is None:
            return False
        active = self.active_requests.get(name, 0)
        if active >= math.ceil(account.max_requests / live_nodes):
            return False
        self.active_requests[name] = active + 1
        return True

    def release(self, name: str) -> None:
        """Stop counting a request that was admitted by :meth:`acquire`."""
        active = self.active_requests.get(name, 0) - 1
        if active > 0:
            self.active_requests[name] = active
        else:
            self.active_requests.pop(name, None)
