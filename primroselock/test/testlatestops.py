"""Stops of settled runs, for each boot where a start of theirs may begin."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import restartbuilders
from primroselock.workers import orders

_RUN_MS: typing.Final = 100
_UNANSWERED_S: typing.Final = 0.4
_LATE_S: typing.Final = 4.0
_SOON_S: typing.Final = 0.05


class SecondRestartTest(unittest.TestCase):
    """A worker starts again while a stop for the boot before is new."""

    def test_its_report_makes_a_stop_due(self) -> None:
        """Guards against a pause that counts from a stop of another boot."""
        board = fleet.ShardBoard(epoch=1)
        board.record_entry(fleetbuilders.build_entry('w'), 0.0)
        worker = board.workers_by_id['w']
        graph = fleetbuilders.build_graph('j', fleetbuilders.build_step())
        key = jobgraph.GroupKey(0, 0, 0)
        job = livejobs.LiveJob(graph, None)
        group = livejobs.Group(
            job, key, graph.steps[0], livejobs.Phase.DONE, 0.0
        )
        member = livejobs.Member(
            group, 0, 'w', 1, livejobs.MemberState.TERMINATED
        )
        worker.boot = 1
        worker.add_late_run(member, 9.0)
        for boot, now, expected in (
            (1, 10.0, 0),
            (2, 11.0, 1),
            (2, 11.1, 0),
            (3, 11.2, 1),
            (3, 11.3, 0),
            (3, 11.8, 1),
        ):
            report = orders.RunReport(now, boot, (), ())
            runs.record_poll(board, worker, report, now, now, 0)
            self.assertEqual(expected, len(board.orders), f'{boot} {now}')
            board.orders.clear()

    def test_it_is_told_while_the_stop_before_hangs(self) -> None:
        """Guards against a boot that is told once another's stop times out."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.fleet.late_s = (_LATE_S, _LATE_S)
            await asyncio.sleep(1.0)
            (worker,) = world.fleet.workers_by_id.values()
            await restartbuilders.submit_unanswered(
                world, worker, _RUN_MS, _UNANSWERED_S
            )
            await world.wait_for('j', 'done', 2.0)
            stop = world.fleet.stop
            stopped_at: list[float] = []

            async def stop_and_crash(*arguments: typing.Any) -> typing.Any:
                stopped_at.append(clock.monotonic())
                if len(stopped_at) > 1:
                    return await stop(*arguments)
                world.fleet.crash(worker)
                world.restart_worker(worker)
                await asyncio.sleep(arguments[-1])
                return result.Err(orders.Unanswered('it crashed'))

            with mock.patch.object(world.fleet, 'stop', stop_and_crash):
                world.fleet.crash(worker)
                world.restart_worker(worker)
                await asyncio.sleep(2.0)
            self.assertEqual(3, worker.boot)
            self.assertEqual(2, len(stopped_at))
            self.assertLess(stopped_at[1] - stopped_at[0], _SOON_S)

        fleetbuilders.run_with_node(scenario, workers=1)


if __name__ == '__main__':
    unittest.main()
