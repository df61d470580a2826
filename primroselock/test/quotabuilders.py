"""Builders for tests of quotas, and a check of each start against them.

What an account has running is counted from the runs on the fake workers,
without the code under test.
"""

import dataclasses
import typing

from primroselock import clock
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import simulatedworker

_IN_FORCE_S: typing.Final = 0.5
"""For this long an earlier configuration may still be in force: every node
has the next one at once, and an order may be under way."""

_NOTHING: typing.Final = jobgraph.Resources()


def build_configuration(
    **quotas_by_account: queues.Quota,
) -> queues.QueueConfiguration:
    """Return the usual configuration with quotas for some accounts."""
    usual = fleetbuilders.QUEUE_CONFIGURATION
    return with_quotas(usual, quotas_by_account)


def with_quotas(
    configuration: queues.QueueConfiguration,
    quotas_by_account: dict[str, queues.Quota],
) -> queues.QueueConfiguration:
    """Return the next version; accounts that are not named have no quota."""
    return dataclasses.replace(
        configuration,
        version=configuration.version + 1,
        accounts_by_name={
            name: dataclasses.replace(
                account, quota=quotas_by_account.get(name, queues.UNLIMITED)
            )
            for name, account in configuration.accounts_by_name.items()
        },
    )


class QuotaSite(idlebuilders.Site):
    """A simulated site whose accounts have quotas.

    ``most_by_account`` is the most accelerators that ran at a time.
    """

    def __init__(
        self, workers: int, **quotas_by_account: queues.Quota
    ) -> None:
        super().__init__(workers)
        self.most_by_account: dict[str, int] = {}
        self.events: list[tuple[str, str]] = []
        self.set_quotas(**quotas_by_account)

    def set_quotas(self, **quotas_by_account: queues.Quota) -> None:
        """Apply the next version of the configuration."""
        self.board.queue_configuration = with_quotas(
            self.board.queue_configuration, quotas_by_account
        )

    def submit_for(
        self,
        account: str,
        job_id: str,
        step: jobgraph.Step,
        run_s: float = 60.0,
        queue: str = 'batch',
    ) -> livejobs.LiveJob:
        """Add a job of an account; its tasks run for ``run_s``."""
        graph = fleetbuilders.build_graph(
            job_id,
            step,
            queue=queue,
            account=account,
            accepted_ms=int(self.now * 1000),
        )
        return self.add_job(graph, run_s)

    def step(self) -> None:
        """Advance by one step, and note what ran and what was logged."""
        super().step()
        for account in self.board.queue_configuration.accounts_by_name:
            used = self.count_accelerators(account)
            most = self.most_by_account.get(account, 0)
            self.most_by_account[account] = max(most, used)
        self.events += [
            (record.event, record.job_id)
            for record in self.board.take_decision_records()
        ]

    def count_accelerators(self, account: str) -> int:
        """Return how many accelerators runs of an account use."""
        total = 0
        for worker in self.workers_by_id.values():
            for run in worker.runs:
                job = self.board.jobs_by_id.get(run.task.job_id)
                if job is not None and job.graph.account == account:
                    step = job.graph.steps[run.task.step]
                    total += step.need.accelerators
        return total

    def count_running(self, job: livejobs.LiveJob) -> int:
        """Return how many groups of a job run."""
        return sum(
            group.phase is livejobs.Phase.RUNNING
            for group in job.groups_by_key.values()
        )

    def count_events(self, event: str, job: livejobs.LiveJob) -> int:
        """Return how often a decision about a job was logged."""
        return self.events.count((event, job.graph.id))


class QuotaCheck:
    """Judges each start on the fake workers of a world.

    No start may bring what an account has running over the highest quota
    that may be in force, at the time of its order: a worker may carry that
    out late.  What runs on workers that are down is lost.
    """

    def __init__(self, world: fleetbuilders.World) -> None:
        self._world = world
        self._earlier: list[tuple[float, queues.QueueConfiguration]] = []
        self._current = world.queue_configuration
        self.starts_near_quota = 0
        world.fleet.begin_hooks.append(self._check_start)

    def note_change(self) -> None:
        """Note that the world has just applied another configuration."""
        self._earlier.append((clock.monotonic(), self._current))
        self._current = self._world.queue_configuration

    def _list_limits(
        self, account: str, since: float
    ) -> list[jobgraph.Resources]:
        """Return the quotas of an account that may be in force ``since``."""
        in_force = [
            configuration
            for left_at, configuration in self._earlier
            if since - left_at <= _IN_FORCE_S
        ]
        return [
            _limit_of(configuration.accounts_by_name[account].quota)
            for configuration in (*in_force, self._current)
        ]

    def _count_running(self, account: str) -> jobgraph.Resources:
        """Return what runs of an account."""
        graphs_by_id = self._world.fleet.graphs_by_id
        used = _NOTHING
        for worker in self._world.fleet.workers_by_id.values():
            if worker.is_down:
                continue
            for run, running in worker.runs.items():
                if graphs_by_id[run.task.job_id].account == account:
                    used = used.plus(running.step.need)
        return used

    def leaves_room(self, account: str, step: jobgraph.Step) -> bool:
        """Return whether an account is clearly within its quota.

        It uses less than half, and a group of the step would fit.
        """
        used = self._count_running(account)
        with_group = used.plus(step.need, step.group_size)
        return all(
            limit.can_fit(_NOTHING.plus(used, 2)) and limit.can_fit(with_group)
            for limit in self._list_limits(account, clock.monotonic())
        )

    def _check_start(
        self, worker: simulatedworker.FakeWorker, live: simulatedworker.LiveRun
    ) -> None:
        account = self._world.fleet.graphs_by_id[live.run.task.job_id].account
        used = self._count_running(account)
        since = min(live.ordered_at, clock.monotonic())
        limits = self._list_limits(account, since)
        if not any(limit.can_fit(used) for limit in limits):
            self._world.fleet.violations.append(
                f'{clock.monotonic():.2f}: start of {live.run.task} brings'
                f' {account} to {used} of {limits}'
            )
        self.starts_near_quota += not any(
            limit.can_fit(_NOTHING.plus(used, 2)) for limit in limits
        )


def _limit_of(quota: queues.Quota) -> jobgraph.Resources:
    unlimited = 10**12
    return jobgraph.Resources(
        quota.cpu_millis or unlimited,
        quota.memory_mb or unlimited,
        quota.accelerators or unlimited,
    )
