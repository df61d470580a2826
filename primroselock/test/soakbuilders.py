"""Runs of whole nodes in virtual time under load and series of faults.

Everything follows from a seed: the number of nodes, the jobs, and faults
that come in series and overlap.  The check of idle capacity runs beside.
Jobs that crash the workers that start them, and configurations that are large
for the nodes' links, are added if asked for.
"""

import asyncio
from collections import abc
import dataclasses
import random
import typing

from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock import jobgraph
from primroselock.test import accountfaults
from primroselock.test import copyfaults
from primroselock.test import crashbuilders
from primroselock.test import drainfaults
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlecapacity
from primroselock.test import lastingcapacity
from primroselock.test import loadbuilders
from primroselock.test import orderfaults
from primroselock.test import outagefaults
from primroselock.test import quotafaults
from primroselock.test import rebuiltworkers
from primroselock.test import restartfaults
from primroselock.test import unevenworkers
from primroselock.test import virtualtime
from primroselock import waits
from primroselock.workers import orders

_WORKERS: typing.Final = 60
_SERIES: typing.Final = 4
_MAX_FAULTS: typing.Final = 6
_MAX_FAULT_S: typing.Final = 8.0
_FINAL_WAIT_S: typing.Final = 14.0
"""Time after the last submission or fault until the last check."""

_SHORT_LEASES: typing.Final = '[fleet]\nrun_lease_s = 6\n'
"""Settings of nodes in plans with outages: more runs are at stake."""

_MAX_DRAIN_S: typing.Final = 120.0
"""Time after the last check by which every job must have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What follows from a seed before the run."""

    seed: int
    nodes: int
    demand: float
    arrival_s: float
    faults: tuple[faultbuilders.Fault, ...]
    is_wide: bool = False
    has_crashing_jobs: bool = False
    has_restarts: bool = False
    has_bounds: bool = False
    has_drains: bool = False
    has_large_configurations: bool = False
    quota_changes: tuple[quotafaults.QuotaChange, ...] = ()
    has_accounts: bool = False
    is_uneven: bool = False
    has_outages: bool = False


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a run; ``problems`` is empty if it kept every rule."""

    plan: Plan
    problems: list[str] = dataclasses.field(default_factory=list)
    jobs: int = 0
    starts: int = 0
    lapsed: int = 0


def draw_plan(
    seed: int,
    is_wide: bool = False,
    has_late_orders: bool = False,
    has_crashing_jobs: bool = False,
) -> Plan:
    """Return the plan of a seed.

    A wide one has more kinds of faults and of jobs.  With
    ``has_late_orders`` series of faults of orders are added to the same
    plan (see ``orderfaults``).  Each series draws its
    faults from a few kinds, so that faults of the same kind follow each
    other.
    """
    source = random.Random(seed)
    at = 2.0
    faults: list[faultbuilders.Fault] = []
    for _ in range(_SERIES):
        kinds = source.sample(
            faultbuilders.list_kinds(is_wide), source.randint(1, 4)
        )
        series = [
            faultbuilders.Fault(
                source.choice(kinds),
                at + source.uniform(0.0, 5.0),
                source.uniform(0.2, _MAX_FAULT_S),
                source.randrange(_WORKERS),
            )
            for _ in range(source.randint(1, _MAX_FAULTS))
        ]
        faults += series
        at = max(fault.at + fault.for_s for fault in series)
        at += source.uniform(1.0, 16.0)
    plan = Plan(
        seed,
        source.randint(3, 6),
        source.uniform(0.1, 0.6),
        at * source.uniform(0.5, 1.0),
        tuple(faults),
        is_wide,
        has_crashing_jobs,
    )
    if not has_late_orders:
        return plan
    added = orderfaults.draw_series(seed, plan.arrival_s)
    return dataclasses.replace(plan, faults=plan.faults + added)


def add_restarts(plan: Plan) -> Plan:
    """Return a plan with series of restarts too (see ``restartfaults``)."""
    added = restartfaults.draw_series(plan.seed, plan.arrival_s)
    return dataclasses.replace(
        plan, faults=plan.faults + added, has_restarts=True
    )


def add_bounds(plan: Plan) -> Plan:
    """Return a plan with bounded steps too (see ``rebuiltworkers``)."""
    added = rebuiltworkers.draw_series(plan.seed, plan.arrival_s)
    return dataclasses.replace(
        plan, faults=plan.faults + added, has_bounds=True
    )


def add_drains(plan: Plan) -> Plan:
    """Return a plan with series of drains too (see ``drainfaults``)."""
    added = drainfaults.draw_series(plan.seed, plan.arrival_s)
    return dataclasses.replace(
        plan, faults=plan.faults + added, has_drains=True
    )


def add_quotas(plan: Plan) -> Plan:
    """Return a plan with quotas that change (see ``quotafaults``)."""
    changes = quotafaults.draw_changes(plan.seed, plan.arrival_s)
    return dataclasses.replace(plan, quota_changes=changes)


def add_accounts(plan: Plan) -> Plan:
    """Return a plan with floods of accounts too (see ``accountfaults``)."""
    added = accountfaults.draw_series(plan.seed, plan.arrival_s)
    return dataclasses.replace(
        plan, faults=plan.faults + added, has_accounts=True
    )


def add_outages(plan: Plan) -> Plan:
    """Return a plan with outages of the store too (see ``outagefaults``)."""
    added = outagefaults.draw_series(plan.seed, plan.arrival_s)
    return dataclasses.replace(
        plan, faults=plan.faults + added, has_outages=True
    )


class Soak:
    """One run; ``world`` can be examined while it goes on."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.log = faultbuilders.FaultLog()
        self.world = fleetbuilders.World(plan.seed, 0)
        self.world.fleet.late_starts_outlive = plan.has_restarts
        loadbuilders.add_workers(self.world, _WORKERS)
        if plan.has_outages:
            self.world.settings_text = _SHORT_LEASES
        if plan.is_uneven:
            unevenworkers.set_speeds(self.world, plan.seed)
        self.crashing: crashbuilders.CrashingTasks | None = None
        if plan.has_crashing_jobs:
            self.crashing = crashbuilders.CrashingTasks(
                self.world, seed=plan.seed, log=self.log
            )
        self.check = idlecapacity.IdleCapacityCheck(self.world, self.log)
        self.copies: copyfaults.Copies | None = None
        if plan.has_large_configurations:
            self.copies = copyfaults.Copies(
                self.world, plan.seed, plan.arrival_s, self.log
            )
        self.lasting_check = lastingcapacity.LastingWorkCheck(
            self.world, self.log
        )
        self.quotas: quotafaults.QuotaPlay | None = None
        if plan.quota_changes:
            self.quotas = quotafaults.QuotaPlay(self.world, plan.quota_changes)
            self.check.may_wait = self.quotas.may_wait
            self.lasting_check.may_wait = self.quotas.may_wait

    async def run(self) -> Outcome:
        """Run to the end of every job, or until it is too late."""
        plan, world = self.plan, self.world
        for number in range(plan.nodes):
            world.add_node(f'entry-{number}')
        checks = [
            asyncio.create_task(check.run())
            for check in (self.check, self.lasting_check)
        ]
        await asyncio.gather(
            loadbuilders.submit_varied_jobs(
                world,
                plan.demand,
                plan.arrival_s,
                random.Random(plan.seed),
                plan.is_wide,
                rebuiltworkers.bound_steps if plan.has_bounds else None,
            ),
            *(
                faultbuilders.inject(world, fault, self.log)
                for fault in plan.faults
            ),
            self._submit_crashing_jobs(),
            self._play_large_configurations(),
            self._change_quotas(),
            self._submit_bursts(),
        )
        world.store.apply_late()
        await asyncio.sleep(_FINAL_WAIT_S)
        self.check.check(clock.monotonic(), at_end=True)
        late_ids = await self._wait_for_ends()
        await waits.cancel_tasks(checks)
        given_up = self.crashing.list_given_up() if self.crashing else []
        if plan.has_drains:
            given_up += drainfaults.list_failed_without_cause(
                world,
                self.crashing.after_s_by_job_id if self.crashing else (),
            )
        await world.close()
        return Outcome(
            plan,
            [
                *(str(violation) for violation in self.check.violations),
                *self.lasting_check.violations,
                *(f'{job_id} has not ended' for job_id in late_ids),
                *(f'{job_id} failed without cause' for job_id in given_up),
                *world.fleet.violations,
                *(self.copies.violations if self.copies else ()),
            ],
            len(world.fleet.graphs_by_id),
            world.fleet.starts,
            world.fleet.end_counts.get(orders.EndCause.LEASE_EXPIRED, 0),
        )

    async def _play_large_configurations(self) -> None:
        """Let the configuration grow, if the plan says so."""
        if self.copies is not None:
            await self.copies.run()

    async def _change_quotas(self) -> None:
        """Change the quotas, if the plan has any."""
        if self.quotas is not None:
            await self.quotas.run()

    async def _submit_crashing_jobs(self) -> None:
        """Submit jobs that crash their workers, if the plan has any."""
        if self.crashing is not None:
            await crashbuilders.submit_crashing_jobs(
                self.world,
                self.crashing,
                self.plan.arrival_s,
                random.Random(f'{self.plan.seed} crashing'),
            )

    async def _submit_bursts(self) -> None:
        """Submit bursts of urgent gangs, if the plan has any."""
        if self.plan.is_uneven:
            await unevenworkers.submit_bursts(
                self.world, self.plan.arrival_s, self.plan.seed
            )

    def _list_open_jobs(self) -> list[str]:
        """Return the jobs that have not ended and that workers could run."""
        graphs_by_id = self.world.fleet.graphs_by_id
        entries = list(self.world.entries_by_id.values())
        return [
            job_id
            for job_id in self.check.list_open_jobs()
            if can_hold_gangs(graphs_by_id[job_id], entries)
        ]

    async def _wait_for_ends(self) -> list[str]:
        until = clock.monotonic() + _MAX_DRAIN_S
        while open_ids := self._list_open_jobs():
            if clock.monotonic() >= until:
                return open_ids
            await asyncio.sleep(1.0)
        return []


def can_hold_gangs(
    graph: jobgraph.JobGraph, entries: abc.Sequence[fleetworkers.WorkerEntry]
) -> bool:
    """Return whether workers, when empty, hold each gang of a job at once.

    Those that have left for good may have been needed.
    """
    return all(
        sum(
            entry.capacity.fit_count(step.counted_need)
            for entry in entries
            if not step.label or step.label in entry.labels
        )
        >= step.tasks
        for step in graph.steps
        if step.gang
    )


def run(
    seed: int,
    examine: abc.Callable[[Soak], None] = lambda soak: None,
    is_wide: bool = False,
    has_late_orders: bool = False,
    has_crashing_jobs: bool = False,
    has_restarts: bool = False,
    has_bounds: bool = False,
    has_drains: bool = False,
    has_large_configurations: bool = False,
    has_quotas: bool = False,
    has_accounts: bool = False,
    is_uneven: bool = False,
    has_outages: bool = False,
) -> Outcome:
    """Run the soak of a seed in virtual time.

    ``examine`` is called before the run, and may add to the checks.
    """
    # Followers draw their pauses from the shared generator.
    random.seed(seed)

    async def run_all(virtual: virtualtime.VirtualClock) -> Outcome:
        plan = draw_plan(seed, is_wide, has_late_orders, has_crashing_jobs)
        if has_restarts:
            plan = add_restarts(plan)
        if has_bounds:
            plan = add_bounds(plan)
        if has_drains:
            plan = add_drains(plan)
        if has_large_configurations:
            plan = dataclasses.replace(plan, has_large_configurations=True)
        if has_quotas:
            plan = add_quotas(plan)
        if has_accounts:
            plan = add_accounts(plan)
        if is_uneven:
            plan = dataclasses.replace(plan, is_uneven=True)
        if has_outages:
            plan = add_outages(plan)
        soak = Soak(plan)
        examine(soak)
        return await soak.run()

    return virtualtime.run(run_all)
