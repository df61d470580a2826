"""A retry budget that bounds the load added by retries.

Each first attempt earns a fraction of a retry, and each retry spends one;
the balance is capped.  Over any period, retries therefore exceed that
fraction of the first attempts by at most the cap, even when every attempt
fails.
"""

import typing

EARNED_PERCENT: typing.Final = 10
_RETRY_COST_PERCENT: typing.Final = 100


class RetryBudget:
    """Keeps its balance in hundredths of a retry.

    ``max_saved`` caps the balance, in retries; ``saved`` is the initial
    balance.
    """

    def __init__(self, max_saved: int = 1, saved: int = 0) -> None:
        self._max_saved = max_saved * _RETRY_COST_PERCENT
        self._saved = saved * _RETRY_COST_PERCENT

    def earn(self) -> None:
        """Credit a first attempt."""
        self._saved = min(self._saved + EARNED_PERCENT, self._max_saved)

    def spend(self) -> bool:
        """Spend one retry; return False if the balance is too low."""
        if self._saved < _RETRY_COST_PERCENT:
            return False
        self._saved -= _RETRY_COST_PERCENT
        return True
