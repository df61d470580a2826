"""Which workers may get starts, what excludes others, and what is free.

The reason is named, so that the placement and the explanation of why work
waits never disagree.
"""

from collections import abc
import dataclasses
import enum
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph

_PLENTY_SHARE: typing.Final = 0.5
"""Capacity is plenty while less than this share of a resource is in use."""


class Exclusion(enum.Enum):
    """Why a worker gets no starts, whatever its free capacity."""

    UNLISTED = 'no entry'
    NOT_POLLED = 'not polled by this holder'
    UNRESPONSIVE = 'calls to it fail'
    RESTARTED = 'may have started again since its last poll'
    ENTRY_OUTDATED = 'its entry is of another incarnation'
    LEASE_BOUNDED = 'bound of its leases not withdrawn yet'
    DRAINING = 'draining'
    ZONE_OUT_OF_SERVICE = 'zone out of service'
    QUARANTINED = 'quarantined'
    REFUSES_STARTS = 'refused a start just now'


def find_exclusion(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> Exclusion | None:
    """Return what excludes a worker from starts, or None."""
    if not worker.is_listed:
        return Exclusion.UNLISTED
    if not worker.is_polled:
        return Exclusion.NOT_POLLED
    if worker.failures_in_row:
        return Exclusion.UNRESPONSIVE
    if worker.is_doubted:
        return Exclusion.RESTARTED
    if not worker.is_entry_current:
        return Exclusion.ENTRY_OUTDATED
    if board.published_bounds.covers(worker.id):
        return Exclusion.LEASE_BOUNDED
    if worker.entry.is_draining:
        return Exclusion.DRAINING
    out_of_service = board.queue_configuration.zones_out_of_service
    if worker.entry.zone in out_of_service:
        return Exclusion.ZONE_OUT_OF_SERVICE
    if fleethealth.is_quarantined(board, worker.id, now):
        return Exclusion.QUARANTINED
    if now < worker.refuses_until:
        return Exclusion.REFUSES_STARTS
    return None


def is_in_service(
    board: fleet.ShardBoard, worker: fleetworkers.Worker
) -> bool:
    """Return whether a worker is meant to run work, reachable or not."""
    out_of_service = board.queue_configuration.zones_out_of_service
    return (
        worker.is_listed
        and not worker.entry.is_draining
        and worker.entry.zone not in out_of_service
    )


def list_usable(
    board: fleet.ShardBoard, now: float
) -> list[fleetworkers.Worker]:
    """Return the workers that may get starts."""
    return [
        worker
        for worker in board.workers_by_id.values()
        if find_exclusion(board, worker, now) is None
    ]


def has_plenty(workers: abc.Collection[fleetworkers.Worker]) -> bool:
    """Return whether much of every resource of ``workers`` is free.

    One resource is often used up while another is hardly used: work then
    waits for the first one.
    """
    shares = _used_shares(workers)
    return bool(shares) and max(shares) < _PLENTY_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class PlentyServices:
    """The services of which plenty of capacity is free.

    ``of_usable`` counts the workers that may get starts, ``of_listed`` all
    workers with an entry.  The latter are more while workers are kept from
    starts, for example by a zone out of service.
    """

    of_usable: frozenset[str] = frozenset()
    of_listed: frozenset[str] = frozenset()

    def has_plenty(self, job: livejobs.LiveJob, now: float) -> bool:
        """Return whether capacity is plenty for a job.

        A job of which nothing runs does not wait for long for what it
        prefers only because many workers get no starts.
        """
        if job.service in self.of_usable:
            return True
        return self.is_idle(job, now) and job.waits_beside_capacity(now)

    def is_idle(self, job: livejobs.LiveJob, now: float) -> bool:
        """Return whether nothing of a job runs while much is unused."""
        return job.service in self.of_listed and job.runs_nothing(now)


def find_plenty(
    board: fleet.ShardBoard, usable: abc.Iterable[fleetworkers.Worker]
) -> PlentyServices:
    """Return the services that have plenty; ``usable`` may get starts."""
    return PlentyServices(
        _list_plenty_services(usable),
        _list_plenty_services(_list_listed(board)),
    )


def _list_plenty_services(
    workers: abc.Iterable[fleetworkers.Worker],
) -> frozenset[str]:
    workers_by_service: dict[str, list[fleetworkers.Worker]] = {}
    for worker in workers:
        workers_by_service.setdefault(worker.entry.service, []).append(worker)
    return frozenset(
        service
        for service, members in workers_by_service.items()
        if has_plenty(members)
    )


def is_partly_idle(board: fleet.ShardBoard) -> bool:
    """Return whether much of any resource of the listed workers is free.

    Unlike :func:`has_plenty` one resource is enough: whether what waits
    would fit is for the caller to tell.
    """
    shares = _used_shares(_list_listed(board))
    return bool(shares) and min(shares) < _PLENTY_SHARE


def _list_listed(board: fleet.ShardBoard) -> list[fleetworkers.Worker]:
    return [w for w in board.workers_by_id.values() if w.is_listed]


def _used_shares(workers: abc.Collection[fleetworkers.Worker]) -> list[float]:
    """Return the used share of each resource that the workers have.

    What runs on a worker that has shrunk takes nothing from the others.
    """
    capacity = _sum_up(worker.entry.capacity for worker in workers)
    used = _sum_up(
        worker.taken.limited_to(worker.entry.capacity)
        for worker in workers
        if worker.taken != fleetworkers.NO_RESOURCES
    )
    return [
        amount / total
        for amount, total in zip(used, capacity, strict=True)
        if total
    ]


def _sum_up(
    amounts: abc.Iterable[jobgraph.Resources],
) -> tuple[int, int, int]:
    """Return the sums of CPU, memory and accelerators."""
    cpu_millis = memory_mb = accelerators = 0
    for amount in amounts:
        cpu_millis += amount.cpu_millis
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return cpu_millis, memory_mb, accelerators
