"""Writes whose replies are lost and that the store may apply later.

Each series of faults is played to the end: whatever the outcome of a write
says must still hold after the delayed transactions were applied.
"""

import asyncio
import itertools
import typing
import unittest

import result

from primroselock import groupcommit
from primroselock.store import table
from primroselock.test import fakestore
from primroselock.test import virtualtime

_FAULTS_IN_ROW: typing.Final = 4
_HANGS_S: typing.Final = 300.0
_SENT_WITHIN_S: typing.Final = 45.0
"""Well below the time for which a tombstone is kept."""

_Outcome = result.Result[table.Committed, table.TransactError]
_Series = tuple[int, tuple[fakestore.Fault, ...]]


def _list_series() -> typing.Iterator[_Series]:
    """Return all faults in a row, and when delayed ones are applied.

    That is before the call with the number, or in the end.
    """
    faults = itertools.product(fakestore.Fault, repeat=_FAULTS_IN_ROW)
    return itertools.product(range(1, _FAULTS_IN_ROW + 2), faults)


def _build_store(series: _Series) -> fakestore.FakeStore:
    apply_at, faults = series
    store = fakestore.FakeStore()
    store.faults = list(faults)
    calls = itertools.count()

    def apply_late() -> None:
        if next(calls) == apply_at:
            store.apply_late()

    store.before_write = apply_late
    return store


class LateWriteTest(unittest.TestCase):
    """Only an outcome that is unknown leaves open what becomes of a write."""

    def check(
        self, outcome: _Outcome, is_stored: bool, series: _Series
    ) -> None:
        """Compare an outcome with what is stored in the end."""
        if isinstance(outcome, result.Ok):
            self.assertTrue(is_stored, series)
        elif not isinstance(outcome.err_value, table.OutcomeUnknown):
            self.assertFalse(is_stored, (series, outcome))

    def test_a_transaction(self) -> None:
        """Guards against a refusal of the last attempt taken for all."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            for series in _list_series():
                store = _build_store(series)
                transaction = table.Transaction(
                    (table.Condition('t/a', table.ABSENT),),
                    (table.Put('t/a', b'v'),),
                )
                outcome = await table.transact_resolved(store, transaction)
                store.apply_late()
                row = store.inner.rows.get('t/a')
                is_stored = row is not None and row.token == transaction.token
                self.check(outcome, is_stored, series)

        virtualtime.run(run)

    def test_writes_that_share_transactions(self) -> None:
        """Guards against the outcome of one write taken for another."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            for series in _list_series():
                store = _build_store(series)
                taken = table.Transaction((), (table.Put('t/b', b'other'),))
                store.inner.transact(taken)
                committer = groupcommit.GroupCommitter(store, 0.0)
                outcomes = await asyncio.gather(
                    *(
                        committer.submit(
                            groupcommit.Write(key, table.ABSENT, b'own')
                        )
                        for key in ('t/a', 't/b', 't/c')
                    )
                )
                store.apply_late()
                for key, outcome in zip(('t/a', 't/b', 't/c'), outcomes):
                    row = store.inner.rows.get(key)
                    is_own = row is not None and row.value == b'own'
                    self.check(outcome, is_own, series)

        virtualtime.run(run)


class _HangingStore(fakestore.FakeStore):
    """Does not answer for a long time, as a process that is stopped sees it.

    ``sent_at`` is when each transaction was sent.
    """

    def __init__(self, virtual: virtualtime.VirtualClock) -> None:
        super().__init__()
        self.sent_at: list[float] = []
        self._virtual = virtual

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Record when a transaction is sent; answer nothing of use."""
        self.sent_at.append(self._virtual.now)
        await asyncio.sleep(_HANGS_S)
        return result.Err(table.OutcomeUnknown('no answer'))


class StoppedProcessTest(unittest.TestCase):
    """Writes of a process that was stopped for long."""

    def test_they_are_sent_soon_or_never(self) -> None:
        """Guards against a job stored after its tombstone was deleted."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            store = _HangingStore(virtual)
            committer = groupcommit.GroupCommitter(store, 0.0, 1)
            began = virtual.now
            outcomes = await asyncio.gather(
                *(
                    committer.submit(
                        groupcommit.Write(key, table.ABSENT, b'own')
                    )
                    for key in ('t/a', 't/b', 't/c', 't/d')
                )
            )
            self.assertLess(max(store.sent_at) - began, _SENT_WITHIN_S)
            errors = [outcome.unwrap_err() for outcome in outcomes]
            self.assertIsInstance(errors[0], table.OutcomeUnknown)
            self.assertIsInstance(errors[-1], table.Unavailable)

        virtualtime.run(run)


if __name__ == '__main__':
    unittest.main()
