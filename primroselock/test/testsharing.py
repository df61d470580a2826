"""Filling work and work with a latency target, on few workers."""

import asyncio
import typing
import unittest
from unittest import mock

from primroselock.decisions import fleetround
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions import sharing
from primroselock import jobgraph
from primroselock.platform import workers as platformworkers
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import simulatedworker
from primroselock.workers import orders

_LONG_S: typing.Final = 600.0
_LIMIT_S: typing.Final = 3.0
_TARGET_MS: typing.Final = 100


def _serving(tasks: int) -> jobgraph.Step:
    return fleetbuilders.build_step(
        tasks,
        1,
        5_000,
        max_per_worker=1,
        long_running=True,
        tail_latency_target_ms=_TARGET_MS,
    )


def _filling(tasks: int, **changes: typing.Any) -> jobgraph.Step:
    return fleetbuilders.build_step(
        tasks, 1, 5_000, fills=True, max_per_worker=1, **changes
    )


class FillingWorkTest(unittest.TestCase):
    """Work that fills spare CPU, and work with a latency target."""

    def test_filling_work_runs_where_all_workers_serve(self) -> None:
        """Guards against work that may run on no worker for ever."""
        site = idlebuilders.Site(4)
        serving = fleetbuilders.build_step(
            4,
            1,
            60_000,
            max_per_worker=1,
            long_running=True,
            tail_latency_target_ms=100,
        )
        site.submit('serving', serving, run_s=_LONG_S, queue='batch')
        site.run_for(1.0)
        filling = fleetbuilders.build_step(4, 1, 5_000, fills=True)
        job = site.submit('filling', filling, run_s=5.0, queue='bulk')
        site.run_for(_LIMIT_S)
        phases = {group.phase for group in job.groups_by_key.values()}
        self.assertEqual({livejobs.Phase.RUNNING}, phases)


class SharingTest(unittest.TestCase):
    """Where both kinds are placed, and when one makes room."""

    def _submit(
        self,
        site: idlebuilders.Site,
        job_id: str,
        step: jobgraph.Step,
        queue: str = 'batch',
    ) -> list[livejobs.Group]:
        job = site.submit(job_id, step, run_s=_LONG_S, queue=queue)
        return list(job.groups_by_key.values())

    def _places(self, groups: list[livejobs.Group]) -> set[str]:
        return {
            member.worker_id
            for group in groups
            if group.phase is livejobs.Phase.RUNNING
            for member in group.members
        }

    def _report_latency(
        self, site: idlebuilders.Site, group: livejobs.Group, tail_ms: float
    ) -> None:
        (member,) = group.members
        worker = site.board.workers_by_id[member.worker_id]
        running = tuple(
            orders.Running(run, '', 1.0, tail_ms if run == member.run else 0.0)
            for run in worker.members
        )
        report = orders.RunReport(site.now, 1, running, ())
        runs.record_poll(site.board, worker, report, site.now, site.now, 0)
        fleetround.run(site.board, site.settings, site.now, site.now)

    def test_they_are_kept_apart(self) -> None:
        """Guards against sharing while there is another place."""
        site = idlebuilders.Site(2)
        serving = self._submit(site, 'serving', _serving(1))
        site.run_for(1.0)
        filling = self._submit(site, 'filling', _filling(1))
        site.run_for(_LIMIT_S)
        self.assertEqual({'n000', 'n001'}, self._places(serving + filling))

    def test_serving_work_where_all_workers_run_filling_work(self) -> None:
        """Guards against serving work that never starts (review/3)."""
        site = idlebuilders.Site(4)
        filling = self._submit(site, 'filling', _filling(4, long_running=True))
        site.run_for(1.0)
        serving = self._submit(site, 'serving', _serving(1))
        site.run_for(_LIMIT_S)
        self.assertEqual(1, len(self._places(serving)))
        self.assertEqual(4, len(self._places(filling)))

    def test_urgent_serving_work_takes_the_room_of_filling_work(self) -> None:
        """Guards against filling work that is not preempted any more."""
        site = idlebuilders.Site(2)
        wide = fleetbuilders.build_step(
            2, 8, 5_000, fills=True, long_running=True
        )
        self._submit(site, 'filling', wide, 'bulk')
        site.run_for(1.0)
        serving = self._submit(site, 'serving', _serving(1), 'urgent')
        site.run_for(2 * _LIMIT_S)
        self.assertEqual(1, len(self._places(serving)))

    def _share(
        self, workers: int, filling_step: jobgraph.Step
    ) -> tuple[idlebuilders.Site, livejobs.Group, list[livejobs.Group]]:
        """Return a site whose workers run one serving and filling tasks."""
        site = idlebuilders.Site(workers)
        filling = self._submit(site, 'filling', filling_step)
        site.run_for(1.0)
        (serving,) = self._submit(site, 'serving', _serving(1))
        site.run_for(_LIMIT_S)
        self.assertIs(livejobs.Phase.RUNNING, serving.phase)
        return site, serving, filling

    def _over_target_s(
        self, site: idlebuilders.Site, serving: livejobs.Group, span_s: float
    ) -> None:
        """Report a latency over the target, now and ``span_s`` later."""
        self._report_latency(site, serving, 2.0 * _TARGET_MS)
        site.now += span_s
        self._report_latency(site, serving, 2.0 * _TARGET_MS)

    def test_filling_work_beside_a_task_over_its_target(self) -> None:
        """Guards against filling work that does harm for long (HARM)."""
        step = _filling(2, long_running=True)
        site, serving, filling = self._share(2, step)
        (place,) = self._places([serving])
        self._over_target_s(site, serving, 1.0)
        self.assertNotIn(place, self._places(filling))
        self.assertEqual(1, len(self._places(filling)))

    def test_one_figure_over_the_target(self) -> None:
        """Guards against work that is stopped for one rough figure."""
        step = _filling(2, long_running=True)
        site, serving, filling = self._share(2, step)
        self._report_latency(site, serving, 2.0 * _TARGET_MS)
        site.now += 1.0
        self._report_latency(site, serving, 0.5 * _TARGET_MS)
        site.now += 1.0
        self._report_latency(site, serving, 2.0 * _TARGET_MS)
        self.assertEqual(2, len(self._places(filling)))

    def test_a_report_that_is_long_ago(self) -> None:
        """Guards against a second report taken for granted by the clock."""
        step = _filling(2, long_running=True)
        site, serving, filling = self._share(2, step)
        self._report_latency(site, serving, 2.0 * _TARGET_MS)
        site.now += 2.0
        fleetround.run(site.board, site.settings, site.now, site.now)
        self.assertEqual(2, len(self._places(filling)))

    def test_filling_work_that_must_stay_available(self) -> None:
        """Guards against more stops than a step may miss (AVAIL)."""
        for most, expected in ((0, 2), (1, 1)):
            with self.subTest(most=most):
                step = _filling(2, long_running=True, max_unavailable=most)
                site, serving, filling = self._share(2, step)
                self._over_target_s(site, serving, 1.0)
                self.assertEqual(expected, len(self._places(filling)))


class PollTest(unittest.TestCase):
    """How soon a worker tells that a target is exceeded."""

    def test_a_worker_that_runs_both(self) -> None:
        """Guards against harm that is seen only after seconds (HARM)."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            for name, step in (
                ('serving', _long(tail_latency_target_ms=_TARGET_MS)),
                ('filling', _long(fills=True)),
            ):
                world.submit(fleetbuilders.build_graph(name, step))
            await asyncio.sleep(5.0)
            self.assertEqual(2, sum(map(_count_runs, _workers(world))))
            poll_runs = world.fleet.poll_runs
            with mock.patch.object(
                world.fleet, 'poll_runs', autospec=True, side_effect=poll_runs
            ) as polls:
                await asyncio.sleep(4.0)
            self.assertGreaterEqual(polls.call_count, 8)

        fleetbuilders.run_with_node(scenario, workers=1)


def _long(**changes: typing.Any) -> jobgraph.Step:
    return fleetbuilders.build_step(
        1, 1, 600_000, long_running=True, **changes
    )


def _workers(
    world: fleetbuilders.World,
) -> list[simulatedworker.FakeWorker]:
    return list(world.fleet.workers_by_id.values())


def _count_runs(worker: simulatedworker.FakeWorker) -> int:
    return len(worker.runs)


class ReportTest(unittest.TestCase):
    """The load figure in the platform's lists of runs."""

    def test_odd_figures(self) -> None:
        """Guards against a figure that hides a run."""
        cases = (
            ('', None),
            (',250', 250.0),
            (',1.5', 1.5),
            (',-1', None),
            (',"x"', None),
            (',true', None),
            (',[1]', None),
            (',1e300', None),
        )
        for text, expected in cases:
            with self.subTest(text):
                row = f'["0123456789abcdef.0.0.1",2,"",40{text}]'
                body = f'{{"clock_ms":5,"running":[{row}],"ended":[]}}'
                report = platformworkers.read_run_report(body.encode())
                (running,) = report.unwrap().running
                self.assertEqual(expected, running.tail_latency_ms)


class OtherRunTest(unittest.TestCase):
    """A run that no row asks for is being stopped on a worker."""

    def check_apart(
        self, other: jobgraph.Step | None, step: jobgraph.Step, apart: bool
    ) -> None:
        """Check whether a step is kept apart from a run of another one."""
        site = idlebuilders.Site(1)
        worker = site.board.workers_by_id['n000']
        run = orders.Run(jobgraph.TaskName('other', 0, 0, 0), 1)
        worker.unexpected_runs[run] = fleetworkers.UnexpectedRun(
            run, other, site.now
        )
        self.assertIs(apart, sharing.are_apart(worker, step))

    def test_it_is_kept_apart_as_a_member_is(self) -> None:
        """Guards against work over its target beside a stray run (HARM)."""
        self.check_apart(_filling(1), _serving(1), False)
        self.check_apart(_serving(1), _filling(1), False)
        self.check_apart(_filling(1), _filling(1), True)

    def test_one_that_is_not_known_may_be_of_either_kind(self) -> None:
        """Guards against the run of a job that is not known any more."""
        self.check_apart(None, _serving(1), False)
        self.check_apart(None, _filling(1), False)
        self.check_apart(None, fleetbuilders.build_step(1, 1), True)


if __name__ == '__main__':
    unittest.main()
