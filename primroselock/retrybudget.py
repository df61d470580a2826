"""A budget that bounds the load that retries add.

Each first try earns a fraction of a retry, and each retry spends a whole
one; a stated number is saved at most.  So over any time, retries exceed
that fraction of the first tries by that number at most, also when every
try fails.
"""

import typing

EARNED_PERCENT: typing.Final = 10
_RETRY_COST_PERCENT: typing.Final = 100


class RetryBudget:
    """Counts in hundredths of a retry.

    ``most_saved`` retries may be spent at once on top of what is earned;
    ``saved`` of them are there from the start.
    """

    def __init__(self, most_saved: int = 1, saved: int = 0) -> None:
        self._most_saved = most_saved * _RETRY_COST_PERCENT
        self._saved = saved * _RETRY_COST_PERCENT

    def earn(self) -> None:
        """Note a first try."""
        self._saved = min(self._saved + EARNED_PERCENT, self._most_saved)

    def spend(self) -> bool:
        """Take one retry out of the budget, if it holds one."""
        if self._saved < _RETRY_COST_PERCENT:
            return False
        self._saved -= _RETRY_COST_PERCENT
        return True
