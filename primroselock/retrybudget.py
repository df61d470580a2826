"""A budget that bounds the load that retries add.

Each first try earns a fraction of a retry, and each retry spends a whole
one; at most one is saved.  So over any time, retries exceed that fraction
of the first tries by one at most, also when every upstream fails.
"""

import typing

EARNED_PERCENT: typing.Final = 10
_WHOLE_RETRY: typing.Final = 100
# What is saved may be spent at once on top of what is earned.
_MOST_SAVED: typing.Final = _WHOLE_RETRY


class RetryBudget:
    """Counts in hundredths of a retry."""

    def __init__(self) -> None:
        self._saved = 0

    def earn(self) -> None:
        """Note a first try."""
        self._saved = min(self._saved + EARNED_PERCENT, _MOST_SAVED)

    def spend(self) -> bool:
        """Take one retry out of the budget, if it holds one."""
        if self._saved < _WHOLE_RETRY:
            return False
        self._saved -= _WHOLE_RETRY
        return True
