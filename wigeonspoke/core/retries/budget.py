"""A retry budget that limits retries to a fixed fraction of new work."""

# Budget earned per token of new work.
RETRY_RATIO = 0.1
# Initial and maximum budget.
RESERVE_TOKENS = 50000.0


class RetryBudget:
    """Token bucket that new work fills and retries empty.

    Work is measured in model tokens; a tenth of the work of new requests is
    available for retries.  The bucket starts full, so that a node that has
    just started or loses many streams at once can rebuild them.  Only new
    work refills it.
    """

    __slots__ = ('tokens',)

    def __init__(self) -> None:
        self.tokens = RESERVE_TOKENS

    def deposit(self, work_tokens: int) -> None:
        """Add the share that a new request earns."""
        replenished = self.tokens + RETRY_RATIO * work_tokens
        self.tokens = min(RESERVE_TOKENS, replenished)

    def withdraw(self, work_tokens: int) -> bool:
        """Take the cost of a retry; return whether the budget covers it."""
        if self.tokens < work_tokens:
            return False
        self.tokens -= work_tokens
        return True
