"""Texts that state why a job waits.

Each is one sentence with the missing resource and, where one applies,
the guarantee of the account.
"""

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import shapes
from primroselock import jobs


def zone_out_of_service(board: blackboard.Blackboard) -> str:
    """Return the reason for a zone that operators took out of service."""
    return f'waits because zone {board.zone} is out of service'


def no_permit(board: blackboard.Blackboard) -> str:
    """Return the reason for a configuration that is not confirmed."""
    return (
        'waits because the configuration cannot be confirmed as current, '
        f'so that no task may start in zone {board.zone}'
    )


def moving(board: blackboard.Blackboard) -> str:
    """Return the reason for a job that is moved to another shard."""
    return (
        f'waits to be moved out of zone {board.zone}, where its cells are '
        'lent to other work, to a zone that has free ones'
    )


def delayed(view: blackboard.JobView) -> str:
    """Return the reason for a retry whose delay has not passed."""
    return (
        f'waits for its retry after {view.job.failures} failed attempts, '
        'whose delay is not over'
    )


def too_large(shard_capacity: capacity.Capacity, job: jobs.Job) -> str:
    """Return the reason for members that the smallest worker cannot hold."""
    share = shard_capacity.share
    return (
        f'waits for a worker that holds a member of {job.spec.accelerators} '
        f'accelerators, {job.spec.cpus} CPUs and {job.spec.memory_mb} MB; '
        f'the smallest worker has 8 shares of {share.cpus} CPUs and '
        f'{share.memory_mb} MB'
    )


def stopping_borrowers(shape: shapes.Shape, borrowers: int) -> str:
    """Return the reason for a job whose claimed cells are not yet free."""
    return (
        f'waits until {borrowers} borrowing jobs have left the '
        f'{shape.count} cells of {shape.size} accelerators chosen for it'
    )


def supply(shard_capacity: capacity.Capacity, zone: str) -> str:
    """Return the part of a reason that states what the zone has free."""
    return (
        f'zone {zone} has {shard_capacity.free.free_accelerators()} free, the '
        f'largest cell {shard_capacity.free.largest_free()}'
    )


def no_cells(shape: shapes.Shape, supplied: str, use: str) -> str:
    """Return the reason for a job that waits for free cells."""
    return (
        f'waits for {shape.count} cells of {shape.size} accelerators; '
        f'{supplied}; {use}'
    )
