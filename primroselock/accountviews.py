"""What the shard holder tells operators of accounts and of waiting jobs.

As metrics, where an account has a quota, and as JSON for the client.
"""

import dataclasses
import typing

from primroselock.decisions.accounts import knownusage
from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import metrics

_INTERVAL_S: typing.Final = 1.0
"""Metrics of accounts are added up this often."""

_GAUGES: typing.Final = ('account_running', 'account_quota', 'quota_waits')


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUsage:
    """What may run of an account, and its quota; a quota of 0 is none.

    CPU is in thousandths of a core, memory in MB.  ``jobs_held`` counts the
    jobs that the quota holds back.
    """

    account: str
    cpu_millis: int
    quota_cpu_millis: int
    memory_mb: int
    quota_memory_mb: int
    accelerators: int
    quota_accelerators: int
    jobs_held: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job that has not ended, and why it waits, if its quota is why."""

    job: str
    account: str
    queue: str
    state: str
    reason: str


def list_accounts(board: fleet.ShardBoard, now: float) -> list[AccountUsage]:
    """Return the configured accounts, and others that run something."""
    used_by_account = usage.refresh(board, now)
    held_by_account = _count_held(board, now)
    configuration = board.queue_configuration
    views = []
    for account in sorted({*configuration.accounts_by_name, *used_by_account}):
        used = used_by_account.get(account, knownusage.NOTHING)
        quota = quotas.find_quota(configuration, account)
        views.append(
            AccountUsage(
                account,
                used.cpu_millis,
                quota.cpu_millis,
                used.memory_mb,
                quota.memory_mb,
                used.accelerators,
                quota.accelerators,
                held_by_account.get(account, 0),
            )
        )
    return views


def _count_held(board: fleet.ShardBoard, now: float) -> dict[str, int]:
    """Return by account how many jobs the quota holds back."""
    counts: dict[str, int] = {}
    for job in board.jobs_by_id.values():
        if job.is_held_by_quota(now):
            account = job.graph.account
            counts[account] = counts.get(account, 0) + 1
    return counts


def find_job(
    board: fleet.ShardBoard, job_id: str, now: float
) -> JobView | None:
    """Return a job that has not ended; None if it is not known."""
    job = board.jobs_by_id.get(job_id)
    if job is None:
        return None
    return JobView(
        job_id,
        job.graph.account,
        job.graph.queue,
        job.state.value,
        _explain(board, job, now),
    )


def _explain(
    board: fleet.ShardBoard, job: livejobs.LiveJob, now: float
) -> str:
    if not job.is_held_by_quota(now):
        return ''
    account = job.graph.account
    waited_s = now - job.quota_held_since
    quota = quotas.find_quota(board.queue_configuration, account)
    limit = quotas.limit_of(quota)
    is_hopeless = any(
        group.phase is livejobs.Phase.WAITING
        and not limit.can_fit(quotas.need_of(group))
        for group in job.groups_by_key.values()
    )
    if is_hopeless:
        return f'a gang is larger than the quota of {account}'
    return f'over the quota of {account} for {waited_s:.0f} s'


class AccountGauges:
    """Sets the metrics of the accounts that have a quota, once a second."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._set_at = float('-inf')

    def update(self, board: fleet.ShardBoard, now: float) -> None:
        """Set the metrics, unless that was done a short time ago."""
        if 0 <= now - self._set_at < _INTERVAL_S:
            return
        self._set_at = now
        self.clear()
        limited = quotas.list_limits(board.queue_configuration)
        if not limited:
            return
        views = [
            view
            for view in list_accounts(board, now)
            if view.account in limited
        ]
        for view in views:
            self._set(view.account, 'cpu', view.cpu_millis / 1000)
            self._set(view.account, 'memory_mb', view.memory_mb)
            self._set(view.account, 'accelerators', view.accelerators)
            for resource, limit in (
                ('cpu', view.quota_cpu_millis / 1000),
                ('memory_mb', view.quota_memory_mb),
                ('accelerators', view.quota_accelerators),
            ):
                if limit:
                    self._set(view.account, resource, limit, 'account_quota')
            self._metrics.set_gauge(
                metrics.labelled('quota_waits', account=view.account),
                float(view.jobs_held),
            )

    def _set(
        self,
        account: str,
        resource: str,
        amount: float,
        name: str = 'account_running',
    ) -> None:
        series = metrics.labelled(name, account=account, resource=resource)
        self._metrics.set_gauge(series, float(amount))

    def clear(self) -> None:
        """Remove the metrics: this process does not decide any more."""
        for name in _GAUGES:
            self._metrics.drop_gauges(name)
