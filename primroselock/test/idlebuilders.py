"""A simulated site for tests of work that waits beside free capacity.

A :class:`Site` is a blackboard and workers without a network.  The test
decides which workers are sound and how long each task runs; ``step`` lets
the workers report, runs a decision round and starts what was placed.  What
is free is computed from the members, without the code under test.
"""

import dataclasses
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.workers import orders

RACK_SIZE: typing.Final = 20
STEP_S: typing.Final = 0.1
IDLE_LIMIT_S: typing.Final = 3.0
"""The longest time that work may wait beside free capacity."""

_ZONES: typing.Final = ('a', 'b', 'c')
_LEASE_S: typing.Final = 10.0
_STARTED_AT: typing.Final = 1000.0
_PROBE_S: typing.Final = 0.3


@dataclasses.dataclass(slots=True)
class SimulatedRun:
    """A run on a simulated worker; ``run_s`` is its whole run time."""

    began_at: float
    run_s: float
    fails: bool


@dataclasses.dataclass(slots=True)
class SimulatedWorker:
    """A worker; it does not answer while ``answers`` is False.

    It answers the next ``ignored_stops`` stops, but the runs go on.
    """

    answers: bool = True
    ignored_stops: int = 0
    fails_all: bool = False
    speed: float = 1.0
    ends: int = 0
    runs: dict[orders.Run, SimulatedRun] = dataclasses.field(
        default_factory=dict
    )
    ended: list[orders.Ended] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class IdleJob:
    """A job that waited too long beside free capacity."""

    job_id: str
    waited_s: float
    why: str


class Site:
    """Workers in racks of 20 and three zones, and the jobs on them."""

    def __init__(self, workers: int) -> None:
        self.now = _STARTED_AT
        self.settings = fleetbuilders.build_node_settings()
        self.board = fleet.ShardBoard(
            epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        self.workers_by_id: dict[str, SimulatedWorker] = {}
        self.failing_job_ids: set[str] = set()
        self.run_s_by_job_id: dict[str, float] = {}
        self.idle_jobs_by_id: dict[str, IdleJob] = {}
        self._idle_since_by_job_id: dict[str, float] = {}
        for number in range(workers):
            rack = number // RACK_SIZE
            self.add_worker(
                fleetbuilders.build_entry(
                    f'n{number:03}', f'r{rack}', _ZONES[rack % len(_ZONES)]
                )
            )

    def add_worker(self, entry: fleetworkers.WorkerEntry) -> None:
        """Add a worker that has answered its first poll."""
        self.board.record_entry(entry, self.now)
        self.workers_by_id[entry.id] = SimulatedWorker()
        worker = self.board.workers_by_id[entry.id]
        self._report(worker, self.workers_by_id[entry.id])

    def submit(
        self,
        job_id: str,
        *steps: jobgraph.Step,
        run_s: float,
        queue: str,
        account: str = 'signs',
    ) -> livejobs.LiveJob:
        """Add a job that is accepted now; its tasks run for ``run_s``."""
        graph = fleetbuilders.build_graph(
            job_id,
            *steps,
            queue=queue,
            account=account,
            accepted_ms=int(self.now * 1000),
        )
        return self.add_job(graph, run_s)

    def add_job(
        self, graph: jobgraph.JobGraph, run_s: float
    ) -> livejobs.LiveJob:
        """Add a job whose tasks run for ``run_s``."""
        self.run_s_by_job_id[graph.id] = run_s
        job = graphs.add_job(
            self.board, graph, None, 0, self.now, graph.accepted_ms
        )
        assert job is not None
        return job

    def occupy(
        self, worker_id: str, job_id: str, step: jobgraph.Step, run_s: float
    ) -> livejobs.LiveJob:
        """Run a batch job of one task on a worker."""
        job = self.submit(job_id, step, run_s=run_s, queue='batch')
        (group,) = job.groups_by_key.values()
        worker = self.board.workers_by_id[worker_id]
        group.attempt = 1
        group.enter(livejobs.Phase.COMMITTING, self.now)
        member = livejobs.Member(
            group, 0, worker_id, worker.boot, livejobs.MemberState.PLACED
        )
        group.members = [member]
        worker.add_member(member)
        self._start_placed()
        return job

    def drain(self, worker_id: str) -> None:
        """Publish that a worker is draining; it does not say for how long."""
        entry = self.board.workers_by_id[worker_id].entry
        self.board.record_entry(
            dataclasses.replace(entry, is_draining=True), self.now
        )

    def silence(self, worker_id: str) -> None:
        """Let a worker crash that stays listed."""
        self.workers_by_id[worker_id].answers = False
        self.workers_by_id[worker_id].runs.clear()
        self.board.workers_by_id[worker_id].record_failed_call(self.now)

    def restore(self, worker_id: str) -> None:
        """Make a worker sound again."""
        simulated = self.workers_by_id[worker_id]
        simulated.answers, simulated.fails_all = True, False
        simulated.speed = 1.0
        entry = self.board.workers_by_id[worker_id].entry
        self.board.record_entry(
            dataclasses.replace(entry, is_draining=False), self.now
        )

    def take_out_of_service(self, zone: str) -> None:
        """Take a zone out of service."""
        self.board.queue_configuration = dataclasses.replace(
            self.board.queue_configuration,
            zones_out_of_service=frozenset({zone}),
        )

    def run_for(self, duration_s: float) -> None:
        """Advance in steps for ``duration_s``."""
        for _ in range(round(duration_s / STEP_S)):
            self.step()

    def step(self) -> None:
        """Advance by one step: reports, a round, starts and the check."""
        self.now += STEP_S
        for worker in list(self.board.workers_by_id.values()):
            self._poll(worker)
        for job in self.board.jobs_by_id.values():
            job.saved_change = job.change
        fleetround.run(self.board, self.settings, self.now, self.now)
        self._start_placed()
        self._apply_orders()
        self._check_idle()

    def _poll(self, worker: fleetworkers.Worker) -> None:
        simulated = self.workers_by_id[worker.id]
        if not simulated.answers:
            if worker.is_busy or worker.failures_in_row:
                worker.record_failed_call(self.now)
            return
        runs.advance_saved_end(worker)
        if worker.is_busy or worker.failures_in_row or not worker.is_polled:
            self._report(worker, simulated)
        elif self._is_unverified(worker):
            worker.last_answer_at = self.now

    def _is_unverified(self, worker: fleetworkers.Worker) -> bool:
        """Return whether a probe of the worker is answered in this step."""
        return any(
            other.failures_in_row
            and other.entry.zone == worker.entry.zone
            and worker.last_answer_at < other.unresponsive_since
            and self.now - other.unresponsive_since >= _PROBE_S
            for other in self.board.workers_by_id.values()
        )

    def _report(
        self, worker: fleetworkers.Worker, simulated: SimulatedWorker
    ) -> None:
        confirmed = runs.end_to_confirm(worker)
        simulated.ended = [e for e in simulated.ended if e.number > confirmed]
        worker.confirmed_end = max(worker.confirmed_end, confirmed)
        for run, simulated_run in list(simulated.runs.items()):
            self._end_if_due(simulated, run, simulated_run)
        running = tuple(
            orders.Running(
                run,
                '',
                min(
                    0.99,
                    round((self.now - known.began_at) / known.run_s, 2),
                ),
            )
            for run, known in simulated.runs.items()
        )
        report = orders.RunReport(
            self.now, worker.entry.boot, running, tuple(simulated.ended)
        )
        runs.record_poll(
            self.board,
            worker,
            report,
            self.now,
            self.now,
            int(self.now * 1000),
        )
        worker.lease_end = self.now + _LEASE_S

    def _end_if_due(
        self,
        simulated: SimulatedWorker,
        run: orders.Run,
        known: SimulatedRun,
    ) -> None:
        if self.now - known.began_at >= known.run_s:
            cause = (
                orders.EndCause.FAILED if known.fails else orders.EndCause.DONE
            )
            self._end(simulated, run, cause)

    def _end(
        self,
        simulated: SimulatedWorker,
        run: orders.Run,
        cause: orders.EndCause,
    ) -> None:
        if simulated.runs.pop(run, None) is None:
            return
        simulated.ends += 1
        simulated.ended.append(orders.Ended(simulated.ends, run, cause, ''))

    def _start_placed(self) -> None:
        """Store what was placed and start it; all workers accept."""
        for job in list(self.board.jobs_by_id.values()):
            for group in job.groups_by_key.values():
                if group.phase is livejobs.Phase.COMMITTING:
                    self._start(group)

    def _start(self, group: livejobs.Group) -> None:
        group.enter(livejobs.Phase.STARTING, self.now)
        job_id = group.job.graph.id
        for member in group.members:
            simulated = self.workers_by_id[member.worker_id]
            worker = self.board.workers_by_id[member.worker_id]
            worker.lease_end = self.now + _LEASE_S
            member.state = livejobs.MemberState.ORDERED
            member.ordered_at = self.now
            if not simulated.answers:
                worker.record_failed_call(self.now)
                continue
            fails = simulated.fails_all or job_id in self.failing_job_ids
            run_s = self.run_s_by_job_id[job_id] / simulated.speed
            simulated.runs[member.run] = SimulatedRun(self.now, run_s, fails)
            runs.mark_present(self.board, member, self.now)

    def _apply_orders(self) -> None:
        for order in self.board.take_orders():
            if isinstance(order, fleet.StopOrder):
                simulated = self.workers_by_id[order.worker_id]
                if not simulated.answers:
                    continue
                if simulated.ignored_stops:
                    simulated.ignored_stops -= 1
                else:
                    self._end(simulated, order.run, orders.EndCause.STOPPED)
                if order.member is not None:
                    order.member.stopped_at = self.now

    def is_sound(self, worker: fleetworkers.Worker) -> bool:
        """Return whether a worker could run work, as the site knows."""
        simulated = self.workers_by_id[worker.id]
        config = self.board.queue_configuration
        return (
            simulated.answers
            and not simulated.fails_all
            and worker.is_listed
            and not worker.entry.is_draining
            and worker.entry.zone not in config.zones_out_of_service
        )

    def free_by_id(self) -> dict[str, jobgraph.Resources]:
        """Return what the members leave free on each sound worker."""
        free_by_id = {}
        for worker in self.board.workers_by_id.values():
            if self.is_sound(worker):
                free = worker.entry.capacity
                for member in worker.members.values():
                    free = free.plus(member.group.step.need, -1)
                free_by_id[worker.id] = free
        return free_by_id

    def is_half_free(self) -> bool:
        """Return whether under half of all accelerators and cores is used."""
        capacity = used = jobgraph.Resources()
        for worker in self.board.workers_by_id.values():
            capacity = capacity.plus(worker.entry.capacity)
            for member in worker.members.values():
                used = used.plus(member.group.step.need)
        return (
            used.accelerators * 2 < capacity.accelerators
            and used.cpu_millis * 2 < capacity.cpu_millis
        )

    def _check_idle(self) -> None:
        """Record the jobs that waited too long beside free capacity."""
        free_by_id = self.free_by_id()
        is_half_free = self.is_half_free()
        idle_ids = set()
        for job in self.board.jobs_by_id.values():
            group = find_first_waiting(job)
            if group is None or not is_half_free:
                continue
            if not fits_twice(group.step, group.size, free_by_id):
                continue
            job_id = job.graph.id
            idle_ids.add(job_id)
            since = self._idle_since_by_job_id.setdefault(job_id, self.now)
            waited_s = self.now - since
            if waited_s >= IDLE_LIMIT_S:
                known = self.idle_jobs_by_id.get(job_id)
                why = known.why if known else self.explain(group)
                self.idle_jobs_by_id[job_id] = IdleJob(job_id, waited_s, why)
        for job_id in self._idle_since_by_job_id.keys() - idle_ids:
            del self._idle_since_by_job_id[job_id]

    def explain(self, group: livejobs.Group) -> str:
        """Return the facts that may keep a group waiting."""
        board, step = self.board, group.step
        free_by_id = self.free_by_id()
        fitting_ids = {
            worker_id
            for worker_id, free in free_by_id.items()
            if free.can_fit(step.need)
        }
        quarantines = board.failure_evidence.quarantines_by_worker_id
        quarantined_ids = {
            worker_id
            for worker_id, known in quarantines.items()
            if self.now < known.until
        }
        claimed_ids = {
            worker_id
            for owner, claim in board.claims_by_group.items()
            if owner is not group
            for worker_id in claim.worker_ids
        }
        tasks_by_rack: dict[str, int] = {}
        for worker_id in fitting_ids:
            rack = board.workers_by_id[worker_id].entry.rack
            count = free_by_id[worker_id].fit_count(step.need)
            tasks_by_rack[rack] = tasks_by_rack.get(rack, 0) + count
        return (
            f'queue={group.job.graph.queue} size={group.size}'
            f' accelerators={step.need.accelerators}'
            f' cores={step.need.cpu_millis // 1000}'
            f' rack_local={step.rack_local and step.gang}'
            f' may_span_racks={group.may_span_racks}'
            f' most_in_a_rack={max(tasks_by_rack.values(), default=0)}'
            f' max_per_worker={step.max_per_worker}'
            f' not_before_in={group.not_before - self.now:.1f}'
            f' preemptions={group.preemptions} failures={group.failures}'
            f' workers_that_fit={len(fitting_ids)}'
            f' quarantined={len(fitting_ids & quarantined_ids)}'
            f' claimed={len(fitting_ids & claimed_ids)}'
            f' avoided={len(fitting_ids & group.avoided_worker_ids)}'
            f' claims={len(board.claims_by_group)}'
        )


def find_first_waiting(job: livejobs.LiveJob) -> livejobs.Group | None:
    """Return a waiting group of a job of which nothing runs or stops."""
    if job.state.is_final or job.is_cancelled:
        return None
    first = None
    for group in job.groups_by_key.values():
        if group.phase in livejobs.ACTIVE_PHASES:
            return None
        if group.phase is livejobs.Phase.WAITING and first is None:
            first = group
    return first


def fits_twice(
    step: jobgraph.Step,
    size: int,
    free_by_id: dict[str, jobgraph.Resources],
) -> bool:
    """Return whether two groups of ``size`` tasks fit into free capacity."""
    total = 0
    for free in free_by_id.values():
        count = free.fit_count(step.need)
        if step.max_per_worker:
            count = min(count, step.max_per_worker)
        total += count
    return total >= 2 * size
