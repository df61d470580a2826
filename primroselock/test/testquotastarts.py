"""Quotas when starts are sent and repeated, and what counts against them."""

import asyncio
import dataclasses
import typing
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import startchecks
from primroselock.decisions import unexpectedruns
from primroselock import jobgraph
from primroselock import jobs
from primroselock import queues
from primroselock.test import boundbuilders
from primroselock.test import fleetbuilders
from primroselock.test import quotabuilders
from primroselock.test import testunsentstarts
from primroselock.workers import orders

_NOW: typing.Final = 100.0
_STORING_S: typing.Final = 3.0


def build_board(
    workers: int, **quotas_by_account: queues.Quota
) -> fleet.ShardBoard:
    """Return a board of workers that were polled."""
    board = fleet.ShardBoard(
        epoch=1,
        queue_configuration=quotabuilders.build_configuration(
            **quotas_by_account
        ),
    )
    for number in range(workers):
        entry = fleetbuilders.build_entry(f'w{number}')
        board.record_entry(entry, _NOW)
        board.workers_by_id[entry.id].polled_at = _NOW
    return board


def add_placed(
    board: fleet.ShardBoard, job_id: str, tasks: int, **changes: typing.Any
) -> livejobs.Group:
    """Place a gang of tasks of an accelerator each on the first worker."""
    step = fleetbuilders.build_step(tasks, 1, gang=True)
    graph = fleetbuilders.build_graph(job_id, step, **changes)
    job = graphs.add_job(board, graph, None, 0, _NOW, 0)
    assert job is not None
    (group,) = job.groups_by_key.values()
    group.attempt = 1
    group.enter(livejobs.Phase.COMMITTING, _NOW)
    group.enter(livejobs.Phase.STARTING, _NOW)
    for index in range(tasks):
        member = livejobs.Member(
            group, index, 'w0', 1, livejobs.MemberState.PLACED
        )
        group.members.append(member)
        board.workers_by_id['w0'].add_member(member)
    return group


class StartCheckTest(unittest.TestCase):
    """A start is judged again when it is sent, and when it is repeated."""

    def setUp(self) -> None:
        self.board = build_board(2, signs=queues.Quota(accelerators=6))

    def set_quota(self, accelerators: int) -> None:
        """Apply another quota."""
        self.board.queue_configuration = quotabuilders.with_quotas(
            self.board.queue_configuration,
            {'signs': queues.Quota(accelerators=accelerators)},
        )

    def find_obstacle(
        self, group: livejobs.Group, first: int = 0, now: float = _NOW
    ) -> str:
        """Return why the members from ``first`` on may not be started."""
        return startchecks.find_obstacle(
            self.board, group.members[first:], now
        )

    def test_a_start_within_the_quota_is_sent(self) -> None:
        """Guards against an account that may not use all of its quota."""
        self.assertEqual(
            '', self.find_obstacle(add_placed(self.board, 'j', 6))
        )

    def test_a_quota_lowered_since_the_placement(self) -> None:
        """Guards against a start by a former configuration (QUOTA)."""
        group = add_placed(self.board, 'j', 6)
        self.set_quota(5)
        self.assertIn('quota', self.find_obstacle(group))

    def test_a_gang_is_judged_as_a_whole(self) -> None:
        """Guards against the first members of a gang that cannot be whole."""
        group = add_placed(self.board, 'j', 6)
        for member in group.members[:4]:
            member.state = livejobs.MemberState.ORDERED
        self.set_quota(5)
        self.assertIn('quota', self.find_obstacle(group, first=4))

    def test_of_two_placements_one_is_sent(self) -> None:
        """Guards against two starts that refuse each other."""
        first = add_placed(self.board, 'first', 3)
        second = add_placed(self.board, 'second', 3)
        self.set_quota(4)
        self.assertEqual('', self.find_obstacle(first))
        for member in first.members:
            member.state = livejobs.MemberState.ORDERED
        self.assertIn('quota', self.find_obstacle(second))
        # Its own repeated order is still within the quota.
        self.assertEqual('', self.find_obstacle(first, first=2))

    def test_an_order_is_not_repeated_over_the_quota(self) -> None:
        """Guards against a late start by a repeated order."""
        group = add_placed(self.board, 'j', 6)
        for member in group.members:
            member.state = livejobs.MemberState.ORDERED
        self.assertEqual('', self.find_obstacle(group, first=5))
        self.set_quota(3)
        self.assertIn('quota', self.find_obstacle(group, first=5))

    def test_runs_that_were_discovered_since(self) -> None:
        """Guards against a start beside runs of an earlier holder."""
        group = add_placed(self.board, 'j', 5)
        self.assertEqual('', self.find_obstacle(group))
        other = add_placed(self.board, 'other', 1)
        (member,) = other.members
        self.board.mark_terminated(member)
        for index in range(2):
            run = orders.Run(jobgraph.TaskName('other', 0, 0, index), 1)
            unexpectedruns.record(
                self.board, self.board.workers_by_id['w1'], run, _NOW
            )
        self.assertIn('quota', self.find_obstacle(group, now=_NOW + 1.0))

    def test_other_accounts_are_not_concerned(self) -> None:
        """Guards against a quota that counts for all."""
        group = add_placed(self.board, 'j', 8, account='merch')
        self.set_quota(1)
        self.assertEqual('', self.find_obstacle(group))


class CountTest(unittest.TestCase):
    """What counts as running."""

    def setUp(self) -> None:
        self.board = build_board(2)
        self.worker = self.board.workers_by_id['w0']

    def count(self, account: str = 'signs') -> int:
        """Return the accelerators that may be in use by an account."""
        used = usage.by_account(self.board).get(account)
        return used.accelerators if used else 0

    def test_a_start_that_may_begin_late(self) -> None:
        """Guards against an account that runs what was given up."""
        group = add_placed(self.board, 'j', 3)
        self.assertEqual(3, self.count())
        for member in group.members:
            member.unanswered_starts = 1
            member.ordered_at = _NOW
            self.board.mark_terminated(member)
        self.assertEqual(0, self.count())
        self.worker.doubted_at = _NOW
        self.assertEqual(3, self.count())
        # The same run is reported: it counts once, also without its job.
        del self.board.jobs_by_id['j']
        run = next(iter(self.worker.late_runs))
        unexpectedruns.record(self.board, self.worker, run, _NOW)
        self.assertEqual(3, self.count())
        self.worker.doubted_at = None
        self.assertEqual(1, self.count())

    def test_a_run_of_a_job_that_was_removed_meanwhile(self) -> None:
        """Guards against a run that counts only until its job is gone."""
        group = add_placed(self.board, 'j', 2)
        runs = [member.run for member in group.members]
        for member in group.members:
            self.board.mark_terminated(member)
        unexpectedruns.record(self.board, self.worker, runs[0], _NOW)
        del self.board.jobs_by_id['j']
        unexpectedruns.record(self.board, self.worker, runs[0], _NOW + 1.0)
        self.assertEqual(1, self.count())

    def test_a_run_of_a_job_that_ended_before_the_takeover(self) -> None:
        """Guards against the room of runs whose step is not stored."""
        self.board.note_ended('gone', 'signs', 0)
        add_placed(self.board, 'j', 3, account='merch')
        run = orders.Run(jobgraph.TaskName('gone', 0, 0, 0), 1)
        unexpectedruns.record(self.board, self.worker, run, _NOW)
        # It may take all that the members leave.
        self.assertEqual(5, self.count())
        self.board.forget_ended('gone')
        self.assertEqual({}, self.board.ended_ms_by_id)

    def test_a_run_that_nobody_knows(self) -> None:
        """Guards against a run that is charged to some account."""
        run = orders.Run(jobgraph.TaskName('gone', 0, 0, 0), 1)
        unexpectedruns.record(self.board, self.worker, run, _NOW)
        self.assertEqual({}, usage.by_account(self.board))

    def test_a_worker_without_an_entry(self) -> None:
        """Guards against runs of earlier holders that count for nothing."""
        step = fleetbuilders.build_step(2, 1, gang=True)
        place = jobgraph.Place('gone', 1)
        record = jobgraph.GroupRecord(
            jobgraph.GroupKey(0, 0, 0),
            jobgraph.GroupPhase.PLACED,
            1,
            places=(place, place),
        )
        graphs.add_job(
            self.board,
            fleetbuilders.build_graph('j', step),
            jobgraph.JobProgress(jobs.JobState.RUNNING, (record,)),
            1,
            _NOW,
            0,
        )
        self.assertEqual(2, self.count())

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('signs', 'merch')),
                strategies.integers(0, 3),
                strategies.booleans(),
            ),
            max_size=20,
        )
    )
    @settings(deadline=None)
    def test_it_is_the_sum_over_all_members(
        self, members: list[tuple[str, int, bool]]
    ) -> None:
        """Guards against sums of workers that drift."""
        board = build_board(4)
        expected: dict[str, jobgraph.Resources] = {}
        for number, (account, place, ends) in enumerate(members):
            step = fleetbuilders.build_step(1, number % 3, fills=number % 2)
            graph = fleetbuilders.build_graph(
                f'j{number}', step, account=account
            )
            job = graphs.add_job(board, graph, None, 0, _NOW, 0)
            assert job is not None
            (group,) = job.groups_by_key.values()
            member = livejobs.Member(
                group, 0, f'w{place}', 1, livejobs.MemberState.PLACED
            )
            board.workers_by_id[member.worker_id].add_member(member)
            if ends:
                board.mark_terminated(member)
            else:
                known = expected.get(account, fleetworkers.NO_RESOURCES)
                expected[account] = known.plus(step.need)
        self.assertEqual(expected, usage.by_account(board))


class NodeTest(unittest.TestCase):
    """Whole nodes whose fake workers judge each start."""

    def run_with_quota(
        self, scenario: typing.Any, accelerators: int, nodes: int = 1
    ) -> None:
        """Run a scenario with a quota for ``signs`` on 32 accelerators."""

        async def run(world: fleetbuilders.World) -> None:
            check = quotabuilders.QuotaCheck(world)
            for number in range(1, nodes):
                world.add_node(f'entry-{number + 1}')
            self.set_quota(world, check, accelerators)
            await asyncio.sleep(1.0)
            await scenario(world, check)

        fleetbuilders.run_with_node(run)

    def set_quota(
        self,
        world: fleetbuilders.World,
        check: quotabuilders.QuotaCheck,
        accelerators: int,
    ) -> None:
        """Apply another quota on every node."""
        world.set_queue_configuration(
            quotabuilders.with_quotas(
                world.queue_configuration,
                {'signs': queues.Quota(accelerators=accelerators)},
            )
        )
        check.note_change()

    def count_running(self, world: fleetbuilders.World) -> int:
        """Return how many tasks run."""
        return sum(
            len(worker.runs) for worker in world.fleet.workers_by_id.values()
        )

    def test_the_check_finds_a_start_over_the_quota(self) -> None:
        """Guards against a check that finds nothing."""

        async def scenario(
            world: fleetbuilders.World, check: quotabuilders.QuotaCheck
        ) -> None:
            # No node knows of it.
            check._current = quotabuilders.build_configuration(
                signs=queues.Quota(accelerators=1)
            )
            check._earlier.clear()
            boundbuilders.submit(world, 'j', 3)
            await asyncio.sleep(1.0)
            self.assertEqual(2, len(world.fleet.violations))
            world.fleet.violations.clear()

        self.run_with_quota(scenario, 20)

    def test_a_successor_counts_what_runs(self) -> None:
        """Guards against a holder that begins at nothing."""

        async def scenario(
            world: fleetbuilders.World, check: quotabuilders.QuotaCheck
        ) -> None:
            boundbuilders.submit(world, 'j', 20)
            await asyncio.sleep(1.0)
            self.assertEqual(10, self.count_running(world))
            await world.find_shard_holder().kill()
            await asyncio.sleep(6.0)
            boundbuilders.submit(world, 'later', 5)
            await asyncio.sleep(2.0)
            self.assertEqual(10, self.count_running(world))

        self.run_with_quota(scenario, 10, nodes=2)

    def test_runs_on_a_worker_that_is_cut_off_count(self) -> None:
        """Guards against a second use of the quota beside a cut."""

        async def scenario(
            world: fleetbuilders.World, check: quotabuilders.QuotaCheck
        ) -> None:
            boundbuilders.submit(world, 'j', 20)
            await asyncio.sleep(1.0)
            busy = world.find_busy_worker()
            busy.is_partitioned = True
            world.delete_entry(busy.entry.id)
            await asyncio.sleep(20.0)
            self.assertEqual(10, self.count_running(world))

        self.run_with_quota(scenario, 10)

    def test_a_quota_lowered_before_the_start_is_sent(self) -> None:
        """Guards against starts of placements that take long to store."""

        async def scenario(
            world: fleetbuilders.World, check: quotabuilders.QuotaCheck
        ) -> None:
            with testunsentstarts.delay_placements(world.find_shard_holder()):
                boundbuilders.submit(world, 'j', 10)
                await asyncio.sleep(1.0)
                self.set_quota(world, check, 4)
                check._earlier.clear()
                await asyncio.sleep(_STORING_S + 1.0)
            await asyncio.sleep(_STORING_S)
            self.assertEqual(4, self.count_running(world))

        self.run_with_quota(scenario, 10)

    def test_late_orders_count(self) -> None:
        """Guards against a start beside one that begins late."""

        async def scenario(
            world: fleetbuilders.World, check: quotabuilders.QuotaCheck
        ) -> None:
            for worker in list(world.fleet.workers_by_id.values())[:2]:
                worker.delayed_order_share = 0.5
            boundbuilders.submit(world, 'j', 60, run_ms=700)
            await world.wait_for('j', 'done', 60.0)

        self.run_with_quota(scenario, 6)


class LimitsTest(unittest.TestCase):
    """Amounts."""

    def test_zero_is_no_limit(self) -> None:
        """Guards against a resource of which nothing is allowed."""
        limit = quotas.limit_of(queues.Quota(accelerators=1))
        self.assertTrue(limit.can_fit(jobgraph.Resources(10**9, 10**9, 1)))
        self.assertFalse(limit.can_fit(jobgraph.Resources(0, 0, 2)))

    def test_an_account_that_is_not_configured_has_no_limit(self) -> None:
        """Guards against work that waits for a quota nobody can raise."""
        known = quotas.find_quota(queues.EMPTY, 'signs')
        self.assertTrue(known.is_unlimited)

    def test_accounts_without_quotas_are_left_out(self) -> None:
        """Guards against counting where nothing is limited."""
        configuration = quotabuilders.build_configuration()
        self.assertEqual({}, quotas.list_limits(configuration))
        limited = dataclasses.replace(
            configuration,
            accounts_by_name={
                'a': queues.QueueAccount('a', quota=queues.Quota(memory_mb=5))
            },
        )
        self.assertEqual(['a'], list(quotas.list_limits(limited)))


if __name__ == '__main__':
    unittest.main()
