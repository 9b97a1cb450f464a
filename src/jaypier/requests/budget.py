"""Bounds retries to a share of the load, so that an outage does not multiply it."""

RETRY_SHARE = 0.1
"""Retries allowed for each first attempt, on average."""

MAX_TOKENS = 50.0
"""Retries that may come at once after a quiet time."""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Count one first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + RETRY_SHARE)

    def withdraw(self) -> bool:
        """Take one retry out of the budget.

        :returns: whether the retry is allowed.
        """
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
