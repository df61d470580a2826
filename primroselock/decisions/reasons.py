"""Why a job waits: one true sentence, naming the resource and the quota."""

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import shapes
from primroselock import jobs


def is_zone_out_of_service(board: blackboard.Blackboard) -> str:
    """Say that operators took the zone out of service."""
    return f'waits because zone {board.zone} is out of service'


def no_permit(board: blackboard.Blackboard) -> str:
    """Say that the configuration could not be confirmed."""
    return (
        'waits because the configuration cannot be confirmed as current, '
        f'so that no task may start in zone {board.zone}'
    )


def moving(board: blackboard.Blackboard) -> str:
    """Say that the job is handed to another shard."""
    return (
        f'waits to be moved out of zone {board.zone}, where its cells are '
        'lent to other work, to a zone that has free ones'
    )


def delayed(view: blackboard.JobView) -> str:
    """Say that a retry is delayed."""
    return (
        f'waits for its retry after {view.job.failures} failed attempts, '
        'whose delay is not over'
    )


def too_large(shard_capacity: capacity.Capacity, job: jobs.Job) -> str:
    """Say that no worker can hold a member."""
    share = shard_capacity.share
    return (
        f'waits for a worker that holds a member of {job.spec.accelerators} '
        f'accelerators, {job.spec.cpus} CPUs and {job.spec.memory_mb} MB; '
        f'the smallest worker has 8 shares of {share.cpus} CPUs and '
        f'{share.memory_mb} MB'
    )


def stopping_borrowers(shape: shapes.Shape, borrowers: int) -> str:
    """Say that cells are being cleared for the job."""
    return (
        f'waits until {borrowers} borrowing jobs have left the '
        f'{shape.count} cells of {shape.size} accelerators chosen for it'
    )


def supply(shard_capacity: capacity.Capacity, zone: str) -> str:
    """Say what a zone has free."""
    return (
        f'zone {zone} has {shard_capacity.free.free_accelerators()} free, the '
        f'largest cell {shard_capacity.free.largest_free()}'
    )


def no_cells(shape: shapes.Shape, supplied: str, use: str) -> str:
    """Say which cells are missing and how the guarantee is used."""
    return (
        f'waits for {shape.count} cells of {shape.size} accelerators; '
        f'{supplied}; {use}'
    )
