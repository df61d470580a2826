"""Builders of the load of several client accounts on a simulated site.

An :class:`AccountLoad` lets accounts send equal jobs at their own rates, or
without end, and notes how long each job waited and what each account used.
"""

from collections import abc
import dataclasses

from primroselock.decisions.accounts import usage
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders


def configure(
    weights_by_account: abc.Mapping[str, float | None], version: int = 1
) -> queues.QueueConfiguration:
    """Return the usual queues with accounts of these weights."""
    return dataclasses.replace(
        fleetbuilders.QUEUE_CONFIGURATION,
        version=version,
        accounts_by_name={
            name: queues.QueueAccount(name, frozenset({name}), weight=weight)
            for name, weight in weights_by_account.items()
        },
    )


def build_site(
    workers: int, weights_by_account: abc.Mapping[str, float | None]
) -> idlebuilders.Site:
    """Return a site whose accounts have these weights."""
    site = idlebuilders.Site(workers)
    site.board.queue_configuration = configure(weights_by_account)
    return site


class AccountLoad:
    """Jobs of accounts on a site, and what became of them.

    ``waits_by_account`` holds for each job that began to run how long it had
    waited, in seconds, in the order of their starts.  Use is in
    accelerator-seconds.
    """

    def __init__(
        self,
        site: idlebuilders.Site,
        queue: str = 'bulk',
        step: jobgraph.Step | None = None,
        run_s: float = 2.0,
    ) -> None:
        self.waits_by_account: dict[str, list[float]] = {}
        self.used_by_account: dict[str, float] = {}
        self.site = site
        self._queue = queue
        self._step = step or fleetbuilders.build_step(
            4, 1, int(run_s * 1000), cpu_millis=1000
        )
        self._run_s = run_s
        self._sent_at_by_job: dict[livejobs.LiveJob, float] = {}
        self._sent_by_account: dict[str, int] = {}

    def send(self, account: str) -> livejobs.LiveJob:
        """Let an account send a job."""
        number = self._sent_by_account.get(account, 0)
        self._sent_by_account[account] = number + 1
        job = self.site.submit(
            f'{account}-{number}',
            self._step,
            run_s=self._run_s,
            queue=self._queue,
            account=account,
        )
        self._sent_at_by_job[job] = self.site.now
        return job

    def run(
        self, duration_s: float, rates_by_account: abc.Mapping[str, float]
    ) -> None:
        """Let accounts send jobs at these rates, in jobs a second."""
        due_by_account = dict.fromkeys(rates_by_account, 0.0)
        for _ in range(round(duration_s / idlebuilders.STEP_S)):
            for account, rate in rates_by_account.items():
                due_by_account[account] += rate * idlebuilders.STEP_S
                while due_by_account[account] >= 1.0 - 1e-9:
                    due_by_account[account] -= 1.0
                    self.send(account)
            self._step_once()

    def run_endless(
        self, duration_s: float, accounts: abc.Sequence[str], waiting: int
    ) -> None:
        """Let each account have ``waiting`` jobs wait at all times."""
        for _ in range(round(duration_s / idlebuilders.STEP_S)):
            for account in accounts:
                for _ in range(waiting - self.count_waiting(account)):
                    self.send(account)
            self._step_once()

    def count_waiting(self, account: str) -> int:
        """Return how many jobs of an account have not begun."""
        return sum(
            job.graph.account == account for job in self._sent_at_by_job
        )

    def _step_once(self) -> None:
        self.site.step()
        board = self.site.board
        for job, sent_at in list(self._sent_at_by_job.items()):
            if any(group.members for group in job.groups_by_key.values()):
                del self._sent_at_by_job[job]
                waits_s = self.waits_by_account.setdefault(
                    job.graph.account, []
                )
                waits_s.append(self.site.now - sent_at)
        for account, used in usage.by_account(board).items():
            self.used_by_account[account] = (
                self.used_by_account.get(account, 0.0)
                + used.accelerators * idlebuilders.STEP_S
            )

    def longest_wait_s(self, account: str) -> float:
        """Return the longest wait of an account's jobs, begun or not."""
        open_s = [
            self.site.now - sent_at
            for job, sent_at in self._sent_at_by_job.items()
            if job.graph.account == account
        ]
        return max([*self.waits_by_account.get(account, []), *open_s])
