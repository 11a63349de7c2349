"""A retry budget: retries may add only a fixed share to the work."""

RETRY_RATIO = 0.1
RESERVE_TOKENS = 50000.0


class RetryBudget:
    """Counts work in tokens and lends a tenth of it to retries.

    The reserve lets a node that has just started, or that loses many
    streams at once, rebuild them; it refills with new work only.
    """

    __slots__ = ('tokens',)

    def __init__(self) -> None:
        self.tokens = RESERVE_TOKENS

    def deposit(self, work_tokens: int) -> None:
        """Take in the work of a new request."""
        replenished = self.tokens + RETRY_RATIO * work_tokens
        self.tokens = min(RESERVE_TOKENS, replenished)

    def withdraw(self, work_tokens: int) -> bool:
        """Pay for a retry, or refuse it."""
        if self.tokens < work_tokens:
            return False
        self.tokens -= work_tokens
        return True
