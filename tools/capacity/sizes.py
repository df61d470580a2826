"""The sizes that are planned for, and what a node may spend on control."""

import dataclasses
import math
import typing

DAY_S: typing.Final = 86400.0
NODE_CPU: typing.Final = 0.042
NODE_MB: typing.Final = 256.0
NODE_BYTES_PER_S: typing.Final = 4096.0
TABLE_READS_PER_S: typing.Final = 2000.0
TABLE_WRITES_PER_S: typing.Final = 300.0
"""The low end of several hundred."""
MAX_VM_LIST_READS_PER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One size of the whole system.

    ``waiting_jobs``, ``upstreams``, ``requests_per_s`` and, for the smaller
    size, the changes a day are assumptions that the page names.
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
        """Workers of one zone."""
        return math.ceil(self.workers / self.zones)

    @property
    def tasks_per_worker(self) -> float:
        """Running tasks of one worker."""
        return self.tasks / self.workers

    @property
    def members_per_job(self) -> float:
        """Members of one job."""
        return self.tasks / self.active_jobs

    @property
    def processes(self) -> int:
        """Daemons: a gateway and a scheduler on each entry VM."""
        return 2 * self.entry_vms

    @property
    def vm_list_reads_per_s(self) -> float:
        """How often a second the VM list changes, and is read whole.

        A VM that is replaced leaves the list and its successor joins it.
        """
        changes = 2 * (self.failures_per_day + self.replacements_per_day)
        return min(changes / DAY_S, MAX_VM_LIST_READS_PER_S)

    @property
    def listed(self) -> int:
        """Entries of the VM list."""
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
