"""Sizes to plan for, and the budget of a node for control."""

import dataclasses
import math
import typing

DAY_S: typing.Final = 86400.0
# Budget of a node: cores, MB of memory, and bytes in both directions.
NODE_CPU: typing.Final = 0.042
NODE_MB: typing.Final = 256.0
NODE_BYTES_PER_S: typing.Final = 4096.0
TABLE_READS_PER_S: typing.Final = 2000.0
TABLE_WRITES_PER_S: typing.Final = 300.0
"""The low end of several hundred per second."""
# A process reads the VM list at most once per second.
MAX_VM_LIST_READS_PER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One size of the system.

    ``waiting_jobs``, ``upstreams``, ``requests_per_s`` and, for the smaller
    size, the changes per day are assumptions; docs/CAPACITY.md lists them.
    """

    name: str
    zones: int
    workers: int
    tasks: int
    active_jobs: int
    waiting_jobs: int
    upstreams: int
    entry_vms: int
    accounts: int
    jobs_per_day: float
    patches_per_day: float
    requests_per_s: float
    failures_per_day: float
    replacements_per_day: float

    @property
    def workers_per_zone(self) -> int:
        """Workers of one zone, rounded up."""
        return math.ceil(self.workers / self.zones)

    @property
    def tasks_per_worker(self) -> float:
        """Mean number of running tasks of one worker."""
        return self.tasks / self.workers

    @property
    def members_per_job(self) -> float:
        """Mean number of members of one job."""
        return self.tasks / self.active_jobs

    @property
    def processes(self) -> int:
        """Number of daemons: a gateway and a scheduler on each entry VM."""
        return 2 * self.entry_vms

    @property
    def vm_list_reads_per_s(self) -> float:
        """Complete reads of the VM list per second, one for each change.

        A replaced VM causes two: it is removed, and its successor added.
        """
        changes = 2 * (self.failures_per_day + self.replacements_per_day)
        return min(changes / DAY_S, MAX_VM_LIST_READS_PER_S)

    @property
    def listed(self) -> int:
        """Number of entries of the VM list."""
        return self.workers + self.upstreams + self.processes


TODAY: typing.Final = Size(
    name='today',
    zones=3,
    workers=24,
    tasks=192,
    active_jobs=48,
    waiting_jobs=48,
    upstreams=24,
    entry_vms=7,
    accounts=4,
    jobs_per_day=500.0,
    patches_per_day=100.0,
    requests_per_s=192.0,
    failures_per_day=1.0,
    replacements_per_day=3.0,
)
PLANNED: typing.Final = Size(
    name='plan',
    zones=6,
    workers=13000,
    tasks=340000,
    active_jobs=6000,
    waiting_jobs=1200,
    upstreams=144,
    entry_vms=42,
    accounts=150,
    jobs_per_day=12000.0,
    patches_per_day=16000.0,
    requests_per_s=1152.0,
    failures_per_day=78.0,
    replacements_per_day=1500.0,
)
