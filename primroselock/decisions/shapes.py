"""The shape of a job in cells: their number and size.

A worker's CPUs and memory are divided evenly among the accelerators of
its cell grid.  A member needs a cell that covers the largest of its three
requests: accelerators, CPUs and memory.  Members of one job that need no
accelerator may share a cell of size 1, as many as fit into its share of
CPUs and memory.
"""

from collections import abc
import dataclasses

from primroselock.decisions import cells
from primroselock.decisions import packing
from primroselock import jobs
from primroselock.workers import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorShare:
    """The CPUs and memory of a worker that go with one accelerator."""

    cpus: int
    memory_mb: int


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """``count`` cells of ``size``, each for up to ``members_per_cell``.

    ``size`` is in accelerators.
    """

    size: int
    count: int
    members_per_cell: int = 1

    @property
    def accelerators(self) -> int:
        """Accelerators that the cells contain in total."""
        return self.size * self.count

    @property
    def adjacent_size(self) -> int:
        """Size of the cell that would hold all members, at most a rack."""
        rounded_size = 1 << (self.accelerators - 1).bit_length()
        return min(rounded_size, packing.RACK_SIZE)


def smallest_share(reports: abc.Iterable[protocol.Report]) -> AcceleratorShare:
    """Return the share per accelerator that every worker has at least."""
    pairs = [(report.cpus, report.memory_mb) for report in reports]
    if not pairs:
        return AcceleratorShare(1, 1)
    cpus = min(cpus for cpus, _ in pairs) // cells.WORKER_SIZE
    memory_mb = min(memory for _, memory in pairs) // cells.WORKER_SIZE
    return AcceleratorShare(max(cpus, 1), max(memory_mb, 1))


def of_spec(spec: jobs.JobSpec, share: AcceleratorShare) -> Shape | None:
    """Return the shape of a job.

    None means that a member does not fit a worker with ``share`` for each
    accelerator.
    """
    need = max(
        spec.accelerators,
        -(-spec.cpus // share.cpus),
        -(-spec.memory_mb // share.memory_mb),
        1,
    )
    if need > cells.WORKER_SIZE:
        return None
    if spec.accelerators or need > 1:
        return Shape(packing.cell_size(need), spec.members)
    shared = min(share.cpus // spec.cpus, share.memory_mb // spec.memory_mb)
    return Shape(1, -(-spec.members // shared), shared)
