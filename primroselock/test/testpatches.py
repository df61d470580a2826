"""Patches under concurrent updates, lost replies, delays and restarts.

Guards against accepted patches that are lost or applied twice, against
refused patches that are applied, and against processes that return to an
older version.
"""

import asyncio
import contextlib
import logging
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import result
import structlog

from primroselock import audit
from primroselock import configuration
from primroselock import follower
from primroselock import history
from primroselock import ini
from primroselock import patches
from primroselock import patchsubmission
from primroselock.store import table
from primroselock.test import builders
from primroselock.test import fakestore

TEXTS: typing.Final = (
    '[zone a]\nstate = out\n',
    '[zone a]\nstate = in\nracks = 2\n',
    '[zone b]\nracks = 1\n',
    '[zone b]\nremove = true\n',
    '[account signs]\nweight = 3\nguarantee.a = 8:1\n',
    '[account signs]\nguarantee.a = unset\n',
    '[account signs]\nguarantee.a = 64:9\n',
)
FAULTS: typing.Final = st.lists(st.sampled_from(fakestore.Fault), max_size=4)


def setUpModule() -> None:
    """Suppress logs: the injected faults would fill them."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )


def tearDownModule() -> None:
    """Restore the log configuration."""
    structlog.reset_defaults()


def build_submission(
    base: int, text: str = TEXTS[2], submission_id: str = ''
) -> patchsubmission.Submission:
    """Return a submission by an operator on ``base``."""
    return patchsubmission.Submission(
        base, text, 'why', 'ann', '10.0.0.9', submission_id
    )


class PatchMachine(stateful.RuleBasedStateMachine):
    """Operators and processes that share a store with injected faults."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.cleanup = contextlib.ExitStack()
        self.cleanup.enter_context(self.runner)
        for module, name, value in (
            (table, '_RESOLVE_BACKOFF_S', 0.0),
            (patchsubmission, 'SNAPSHOT_INTERVAL', 3),
        ):
            self.cleanup.enter_context(mock.patch.object(module, name, value))
        self.store = fakestore.FakeStore()
        self.sent: list[patchsubmission.Submission] = []
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.followers = [self._start_follower() for _ in range(2)]
        self.seen = [0, 0]

    def teardown(self) -> None:
        self.cleanup.close()

    def _start_follower(self) -> follower.ConfigurationFollower:
        settings = builders.build_settings()
        return follower.ConfigurationFollower(settings, self.store)

    def _rows(self) -> list[patches.Patch]:
        rows = self.store.inner.scan('config/patch/', '', 1000)
        return [msgspec.json.decode(r.value, type=patches.Patch) for r in rows]

    def _submit(
        self,
        submission: patchsubmission.Submission,
        faults: list[fakestore.Fault],
    ) -> None:
        self.store.faults = list(faults)
        outcome = self.runner.run(
            patchsubmission.submit(self.store, submission, 1.0)
        )
        self.store.faults = []
        if isinstance(outcome, result.Ok):
            version = outcome.ok_value.version
            known = self.accepted.setdefault(submission.id, version)
            assert known == version == submission.base_version + 1
            return
        error = outcome.err_value
        if isinstance(error, patchsubmission.VersionConflict):
            assert error.present_version != submission.base_version
        if isinstance(
            error, patchsubmission.VersionConflict | patchsubmission.Invalid
        ):
            self.refused.add(submission.id)

    @stateful.rule(
        text=st.sampled_from(TEXTS),
        behind=st.integers(0, 2),
        faults=FAULTS,
    )
    def submit(
        self, text: str, behind: int, faults: list[fakestore.Fault]
    ) -> None:
        base = max(0, len(self._rows()) - behind)
        new = build_submission(base, text, f's{len(self.sent)}')
        self.sent.append(new)
        self._submit(new, faults)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=st.data(), faults=FAULTS)
    def repeat(
        self, data: st.DataObject, faults: list[fakestore.Fault]
    ) -> None:
        self._submit(data.draw(st.sampled_from(self.sent)), faults)

    @stateful.rule(
        text=st.sampled_from(TEXTS), faults=FAULTS, after=st.booleans()
    )
    def race(
        self, text: str, faults: list[fakestore.Fault], after: bool
    ) -> None:
        """Accept another patch just before or just after the write."""
        base = len(self._rows())
        new = build_submission(base, text, f's{len(self.sent)}')
        self.sent.append(new)
        other_store = fakestore.FakeStore()
        other_store.inner = self.store.inner

        def interfere() -> None:
            self.store.before_write = self.store.after_write = lambda: None
            current_version = len(self._rows())
            rival = build_submission(
                current_version, TEXTS[2], f'r{len(self.sent)}'
            )
            coroutine = patchsubmission.submit(other_store, rival, 1.0)
            try:
                # Completes in one step: the store never suspends.
                coroutine.send(None)
            except StopIteration as done:
                if isinstance(done.value, result.Ok):
                    self.accepted[rival.id] = done.value.ok_value.version

        if after:
            self.store.after_write = interfere
        else:
            self.store.before_write = interfere
        self._submit(new, faults)
        self.store.before_write = self.store.after_write = lambda: None

    @stateful.rule(
        data=st.data(),
        faults=FAULTS,
    )
    def revert(
        self, data: st.DataObject, faults: list[fakestore.Fault]
    ) -> None:
        current_version = len(self._rows())
        target = data.draw(st.integers(0, current_version))
        self.store.faults = list(faults)
        outcome = self.runner.run(
            history.revert(
                self.store, build_submission(current_version, ''), target, 1.0
            )
        )
        self.store.faults = []
        if isinstance(outcome, result.Ok):
            old = self.runner.run(history.load(self.store, target))
            new = self.runner.run(
                history.load(self.store, current_version + 1)
            )
            assert old.unwrap().sections == new.unwrap().sections

    @stateful.rule()
    def deliver_late(self) -> None:
        self.store.apply_late()

    @stateful.rule(available=st.booleans())
    def switch_objects(self, available: bool) -> None:
        self.store.objects_available = available

    @stateful.rule(index=st.integers(0, 1), reads_available=st.booleans())
    def poll(self, index: int, reads_available: bool) -> None:
        self.store.reads_available = reads_available
        self.runner.run(self.followers[index].poll())
        self.store.reads_available = True

    @stateful.rule(index=st.integers(0, 1))
    def restart(self, index: int) -> None:
        self.followers[index] = self._start_follower()
        self.seen[index] = 0

    @stateful.invariant()
    def history_is_linear(self) -> None:
        rows = self._rows()
        versions = [row.version for row in rows]
        assert versions == list(range(1, len(rows) + 1))
        ids = [row.submission_id for row in rows if row.submission_id]
        assert len(ids) == len(set(ids)), 'a submission was applied twice'
        for submission_id, version in self.accepted.items():
            assert rows[version - 1].submission_id == submission_id
        assert not self.refused & set(ids), 'a refused one was applied'

    @stateful.invariant()
    def no_process_goes_back(self) -> None:
        for index, process in enumerate(self.followers):
            version = process.current.version
            assert version >= self.seen[index]
            self.seen[index] = version
            content = patches.EMPTY
            for row in self._rows()[:version]:
                content = patches.apply_text(content, row.text).unwrap()
            read = configuration.read(content.sections, version, 'model')
            expected = read.unwrap() if version else configuration.EMPTY
            assert process.current == expected


class PatchMachineTest(unittest.TestCase):
    """The history is linear and keeps every accepted patch."""

    def test_machine(self) -> None:
        stateful.run_state_machine_as_test(
            PatchMachine,
            settings=hypothesis.settings(
                max_examples=80, stateful_step_count=25, deadline=None
            ),
        )


NAMES: typing.Final = st.sampled_from(['zone a', 'zone b', 'jobs', 'x y'])
LINES: typing.Final = st.text('ab:%=[1 ', min_size=1, max_size=4).map(
    lambda text: f'a{text}'.strip()
)
VALUES: typing.Final = st.lists(LINES, max_size=3).map('\n'.join)
SECTIONS: typing.Final = st.dictionaries(
    NAMES, st.dictionaries(st.sampled_from(['p', 'q', 'r']), VALUES)
)


class DifferenceTest(unittest.TestCase):
    """The difference of two contents is a patch from one to the other."""

    @hypothesis.given(SECTIONS, SECTIONS)
    def test_difference_restores(
        self, old: ini.Sections, new: ini.Sections
    ) -> None:
        changes = configuration.difference(old, new)
        patch = ini.parse(configuration.to_text(changes), 'patch').unwrap()
        self.assertEqual(new, configuration.merge(old, patch))


class UnknownOutcomeTest(unittest.IsolatedAsyncioTestCase):
    """An unknown outcome is resolved only by rows that were read back.

    Guards against a conflict that is reported although the transaction may
    have been applied, and against a second application.
    """

    def setUp(self) -> None:
        self.store = fakestore.FakeStore()

    def put(self, key: str, token: str = 'other') -> int:
        """Write a row as another writer; return its version."""
        write = table.Transaction(puts=(table.Put(key, b''),), token=token)
        self.store.inner.transact(write)
        return self.store.inner.version

    async def assert_outcome_unknown(
        self, transaction: table.Transaction, *faults: fakestore.Fault
    ) -> None:
        """Apply a transaction with faults; its outcome must stay unknown."""
        self.store.faults = list(faults)
        outcome = await table.transact_resolved(self.store, transaction)
        assert isinstance(outcome, result.Err)
        self.assertIsInstance(outcome.err_value, table.OutcomeUnknown)

    async def test_deletes_only_is_not_reported_as_a_conflict(self) -> None:
        """A deleted row does not show by whom it was deleted."""
        condition = table.Condition('inbox', self.put('inbox'))
        await self.assert_outcome_unknown(
            table.Transaction((condition,), deletes=('inbox',)),
            fakestore.Fault.REPLY_LOST,
        )

    async def test_resend_that_fails_leaves_the_outcome_unknown(self) -> None:
        """The first request may still arrive, whatever the others return."""
        condition = table.Condition('k', table.ABSENT)
        await self.assert_outcome_unknown(
            table.Transaction((condition,), (table.Put('k', b''),)),
            fakestore.Fault.LATE,
            *[fakestore.Fault.UNAVAILABLE] * 3,
        )

    async def test_unconditioned_write_is_not_sent_twice(self) -> None:
        """Without a condition, a second write could be applied as well."""
        writes: list[int] = []
        self.store.before_write = lambda: writes.append(1)
        await self.assert_outcome_unknown(
            table.Transaction(puts=(table.Put('k', b''),)),
            fakestore.Fault.REQUEST_LOST,
        )
        self.assertEqual(1, len(writes))

    async def test_overwritten_row_is_not_reported_as_a_conflict(self) -> None:
        """Another writer may have replaced the row of this transaction."""
        condition = table.Condition('job', self.put('job'))
        original = self.store.read

        async def overwrite_then_read(keys: typing.Any) -> typing.Any:
            self.put('job')
            return await original(keys)

        with mock.patch.object(self.store, 'read', overwrite_then_read):
            await self.assert_outcome_unknown(
                table.Transaction((condition,), (table.Put('job', b''),)),
                fakestore.Fault.REPLY_LOST,
            )


class HistoryTest(unittest.IsolatedAsyncioTestCase):
    """A cold process reads few rows; refused attempts are audited."""

    async def test_cold_process_reads_little(self) -> None:
        """The rows read are bounded by the interval of the snapshots."""
        store = fakestore.FakeStore()
        versions = 4 * patchsubmission.SNAPSHOT_INTERVAL + 7
        for version in range(versions):
            submission = build_submission(version)
            done = await patchsubmission.submit(
                store, submission, float(version)
            )
            self.assertEqual(version + 1, done.unwrap().version)
        for load in (
            patches.load_current(store),
            history.load(store, versions // 2),
        ):
            store.reads = store.rows_read = 0
            await load
            self.assertLessEqual(store.reads, 3)
            self.assertLessEqual(
                store.rows_read, patchsubmission.SNAPSHOT_INTERVAL + 1
            )

    async def test_refused_attempts_are_audited(self) -> None:
        store = fakestore.FakeStore()
        await patchsubmission.submit(store, build_submission(0), 1.0)
        await patchsubmission.submit(store, build_submission(0), 2.0)
        await patchsubmission.submit(store, build_submission(1, '[x'), 3.0)
        listed = (await audit.list_entries(store, '', 10)).unwrap()
        outcomes = [(e.author, e.origin, e.outcome) for e in listed]
        self.assertEqual(
            [('ann', '10.0.0.9', 'accepted')]
            + [('ann', '10.0.0.9', 'refused')] * 2,
            outcomes,
        )
        self.assertIn('the present version is 1', listed[1].detail)
        rest = await audit.list_entries(store, listed[0].id, 10)
        self.assertEqual(listed[1:], rest.unwrap())


if __name__ == '__main__':
    unittest.main()
