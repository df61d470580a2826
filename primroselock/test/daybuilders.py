"""Builds short days of random jobs and faults on a simulated site."""

import random
import typing

from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import loadbuilders

_DAY_S: typing.Final = 30.0
_DEMAND: typing.Final = 0.9
_FAULTS_PER_S: typing.Final = 0.5
_FAILING_SHARE: typing.Final = 0.1


class RandomDay:
    """A short day with random jobs and faults on a site of random size.

    Jobs arrive for ``_DAY_S``; workers crash, drain, become slow or fail
    all runs, and become sound again.  The day follows ``seed``.
    """

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        workers = self.source.randint(40, 180)
        self.site = idlebuilders.Site(workers)
        accelerators = workers * fleetbuilders.WORKER_CAPACITY.accelerators
        self.rates = [
            _DEMAND * kind.share * accelerators / kind.mean_work_s
            for kind in loadbuilders.KINDS
        ]
        self.jobs = 0

    def run_day(self) -> None:
        """Submit jobs for ``_DAY_S``."""
        ends_at = self.site.now + _DAY_S
        next_job_at = self.site.now + self._draw_pause_s()
        while self.site.now < ends_at:
            while next_job_at <= self.site.now:
                self._submit()
                next_job_at += self._draw_pause_s()
            self._step()

    def run_end(self, duration_s: float) -> None:
        """Go on without new jobs; the faults go on."""
        ends_at = self.site.now + duration_s
        while self.site.now < ends_at:
            self._step()

    def _step(self) -> None:
        if self.source.random() < _FAULTS_PER_S * idlebuilders.STEP_S:
            self._change_worker()
        self.site.step()

    def _draw_pause_s(self) -> float:
        return self.source.expovariate(sum(self.rates))

    def _submit(self) -> None:
        source = self.source
        kind = source.choices(loadbuilders.KINDS, self.rates)[0]
        tasks = 1 + int(source.expovariate(1 / kind.tasks))
        expected_ms = int(kind.run_ms * source.uniform(0.5, 1.5))
        is_gang = tasks > 1 and source.random() < 2 * kind.gang_share
        step = fleetbuilders.build_step(
            min(tasks, 6 * kind.tasks),
            source.choice(kind.accelerators),
            expected_ms,
            kind.cpu_millis,
            gang=is_gang,
            rack_local=is_gang and source.random() < 0.6,
            checkpointing=source.random() < 0.5,
            data_rack=source.choice(('', '', 'r0', 'r1')),
            max_per_worker=0 if is_gang else source.choice((0, 0, 4)),
        )
        self.jobs += 1
        name = f'{kind.queue}-{self.jobs}'
        run_s = expected_ms / 1000 * source.lognormvariate(0.0, 0.4)
        if source.random() < _FAILING_SHARE:
            self.site.failing_job_ids.add(name)
            run_s = source.uniform(0.1, 1.0)
        self.site.submit(name, step, run_s=run_s, queue=kind.queue)

    def _change_worker(self) -> None:
        """Let a random worker break, or make it sound again."""
        workers = list(self.site.board.workers_by_id.values())
        worker = self.source.choice(workers)
        changes = (self._break_worker, self.site.restore)
        self.source.choice(changes)(worker.id)

    def _break_worker(self, worker_id: str) -> None:
        simulated = self.site.workers_by_id[worker_id]
        fault = self.source.choice(('crash', 'drain', 'slow', 'fail'))
        if fault == 'crash':
            self.site.silence(worker_id)
        elif fault == 'drain':
            self.site.drain(worker_id)
        elif fault == 'slow':
            simulated.speed = 0.2
        else:
            simulated.fails_all = True
