"""Until when the shard holder leases the runs of a worker.

A start and a poll grant a lease.  Its end is decided on this process's clock
and sent on the worker's; what was granted is recorded, so that the holder
knows when all leases of a worker have expired.
"""

from primroselock.decisions import fleetworkers
from primroselock.decisions import runleases
from primroselock import options
from primroselock import shards


def lease_deadline(
    settings: options.Settings,
    lease: shards.ShardLease,
    worker: fleetworkers.Worker,
    now: float,
) -> float:
    """Return until when a worker's runs may be leased, on this clock.

    At most ``run_lease_s`` after the last time that the store confirmed
    this holder, so that a successor knows when all leases have expired.
    """
    longest_s = settings.fleet.run_lease_s
    return min(now, lease.confirmed_at) + runleases.lease_s(worker, longest_s)


def extend_lease(worker: fleetworkers.Worker, deadline: float) -> float:
    """Return ``deadline`` on the worker's clock; record it as a lease end.

    ``deadline`` is on this process's clock.
    """
    until = runleases.lease_end_on_worker(worker, deadline)
    worker.lease_end = max(worker.lease_end or 0.0, until)
    return until
