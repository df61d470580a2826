"""The lease of a shard, which grants one process the right to decide for it.

The lease row is rewritten by each renewal, the epoch row by each
takeover only; commits of decisions are conditional on the epoch row.  A
standby takes over when the lease row has not changed for the duration of
a lease on the standby's own clock, so that the clocks of two VMs are never
compared.  The holder counts its lease from before a renewal was sent.

A holder whose lease expired starts no tasks, but it remains the holder
until another process has taken over the shard, which it learns from the
epoch row, from a conflict of a write with that row, or from a worker that
has seen a newer epoch.  While the table is unavailable it continues to
renew the leases of running tasks; but once the table answers that it takes
no calls of this process, which others may reach, an expired lease ends its
time as the holder.  A standby that could not read the table counts the
lease's duration on from when it first saw the row, and then leaves the old
holder one interval of renewals, so that it can renew first.  Slow VMs
wait a little longer than others before they take over.

A holder that cannot place offers its lease by its renewals: it stays the
holder, but a standby that can place need not wait until the lease expires.

What a holder publishes in the lease row comes from its :class:`Publisher`.
"""

import dataclasses
import typing

import msgspec
import result
import transitions

from primroselock.decisions import drainlog
from primroselock.decisions import leasebounds
from primroselock import decoding
from primroselock import logs
from primroselock import options
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import table

_log: typing.Final = logs.get('shards')
_NEVER: typing.Final = float('-inf')
_RETRIES_PER_INTERVAL: typing.Final = 2
"""Attempts to renew in an interval while the store confirms none."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of a lease row; ``released`` allows takeover at once.

    ``holder`` is the id of the holder's VM.  ``renewal`` counts the renewals
    since the takeover, so that each renewal changes the row.  With
    ``is_offered`` a standby that can place may take over at once.
    ``waiting_by_queue`` is the number of the shard's jobs that have not
    started, or None where the holder does not know it.  ``backlogs`` holds
    the seconds that waiting work of accounts will take, by account and
    priority, where work waits beyond an account's share.  ``lease_bounds``
    names the workers to which the holder grants no run leases, ``drains``
    what it knows of workers that leave.
    """

    holder: str
    renewal: decoding.Count
    released: bool = False
    waiting_by_queue: dict[str, decoding.Count] | None = None
    lease_bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS
    is_offered: bool = False
    drains: drainlog.DrainReport = drainlog.NO_REPORT
    backlogs: dict[str, dict[int, decoding.Count]] | None = None


_decode_lease_row: typing.Final = decoding.json_reader(LeaseRow)


def read_lease_row(row: table.Row) -> LeaseRow | None:
    """Return the content of a lease row, or None if it is malformed."""
    return rowguard.decode(_decode_lease_row, row, _log)


@dataclasses.dataclass(frozen=True, slots=True)
class EpochRow:
    """Content of an epoch row, which each takeover replaces.

    ``epoch`` is one more than that of the takeover before; ``holder`` is the
    id of the holder's VM.  At ``address`` it answers operators' calls; empty
    where it answers none, and in rows of earlier builds.
    """

    epoch: decoding.Count
    holder: str
    address: str = ''


_decode_epoch_row: typing.Final = decoding.json_reader(EpochRow)


def read_epoch_row(row: table.Row) -> EpochRow | None:
    """Return the content of an epoch row, or None if it is malformed."""
    return rowguard.decode(_decode_epoch_row, row, _log)


@dataclasses.dataclass(frozen=True, slots=True)
class HolderReport:
    """What a holder publishes with its lease; see :class:`LeaseRow`.

    ``address`` goes into the epoch row, at a takeover only.
    """

    waiting_by_queue: dict[str, int] | None = None
    lease_bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS
    drains: drainlog.DrainReport = drainlog.NO_REPORT
    backlogs: dict[str, dict[int, int]] | None = None
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EarlierHolder:
    """The holder that a takeover replaces.

    ``row`` is the last lease row that it wrote, None if the row is malformed;
    this process had read it by ``observed_at``, on its monotonic clock.
    """

    row: LeaseRow | None
    observed_at: float


class Publisher(typing.Protocol):
    """Says what to write to the lease row; each ``now`` is monotonic."""

    def report_takeover(
        self, earlier: EarlierHolder | None, now: float
    ) -> HolderReport:
        """Return what to write with a takeover, which may still fail.

        ``earlier`` is None if the shard never had a holder.
        """

    def report(self, now: float) -> HolderReport:
        """Return what to write with a renewal or the release."""


class _EmptyPublisher:
    """Publishes nothing but the lease."""

    def report_takeover(
        self, earlier: EarlierHolder | None, now: float
    ) -> HolderReport:
        return HolderReport()

    def report(self, now: float) -> HolderReport:
        return HolderReport()


class ShardLease:
    """State machine of one process for the lease of one shard.

    States: ``standby``, ``holder``.  ``epoch`` and ``epoch_row_version``
    are valid in the state ``holder``.  ``valid_until`` and each ``now`` are
    in seconds on this process's monotonic clock.  ``published_bounds`` cover
    the workers that a lease row which may be stored covers.  A standby may
    acquire the lease from ``acquirable_at`` on, if its row does not change.
    ``is_confirmed`` says whether the last write of the lease succeeded,
    ``renewing_since`` when one was sent that has no outcome so far, and
    ``unreadable_until`` when a standby could read its row again.

    With ``offers`` each renewal offers the lease; ``is_offered`` remains set
    until a renewal without an offer is confirmed.  A standby acquires an
    offered lease if ``takes_offers`` is set.
    """

    state: str

    def __init__(
        self,
        settings: options.Settings,
        store: table.Table,
        shard: str,
        publisher: Publisher | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = 0
        self.epoch_row_version = table.ABSENT
        self.valid_until = 0.0
        self._settings = settings.scheduler
        self._holder_id = settings.process.vm_id
        self._store = store
        self._renewal = 0
        self._publisher = publisher or _EmptyPublisher()
        self.published_bounds = leasebounds.NO_BOUNDS
        self.offers = False
        self.is_offered = False
        self.takes_offers = False
        self.is_confirmed = False
        self.renewing_since: float | None = None
        # Version of the lease row as this standby observed it, and since
        # when; -1 while none was observed.
        self._observed_version = -1
        self._observed_since = 0.0
        self._offered_since: float | None = None
        self.unreadable_until = _NEVER
        self._is_unreadable = False
        self.acquirable_at = 0.0
        self._lease_row_version = table.ABSENT
        self._machine = transitions.Machine(
            self,
            states=['standby', 'holder'],
            initial='standby',
            auto_transitions=False,
            transitions=[
                ['gain', 'standby', 'holder'],
                ['lose', 'holder', 'standby'],
            ],
        )

    def holds(self, now: float) -> bool:
        """Return whether the lease is valid, so that tasks may start."""
        return self.has_shard and now < self.valid_until

    @property
    def has_shard(self) -> bool:
        """Return whether this process is the holder, maybe without a lease.

        It remains the holder after its lease has expired, until it releases
        the shard or learns of a takeover.
        """
        return self.state == 'holder'

    @property
    def confirmed_at(self) -> float:
        """When the last write of the lease was sent that succeeded.

        Only the holder has written one.
        """
        return self.valid_until - self._settings.shard_lease_s

    @property
    def step_pause_s(self) -> float:
        """The time until the next step, in seconds.

        A holder that could not renew is back before a standby may take over.
        """
        interval_s = self._settings.shard_renew_interval_s
        if self.has_shard and not self.is_confirmed:
            return interval_s / _RETRIES_PER_INTERVAL
        return interval_s

    def drop(self, why: str) -> None:
        """Become a standby without writing to the table."""
        if self.state != 'holder':
            return
        _log.warning(
            'no longer lease holder of the shard',
            shard=self.shard,
            why=why,
            was_offered=self.is_offered,
        )
        self.valid_until = 0.0
        self._observed_version = -1
        self._offered_since = None
        self.offers = self.is_offered = False
        self.trigger('lose')

    async def step(self, now: float) -> None:
        """Renew the lease, or acquire it if it is free or has expired."""
        if self.state == 'holder':
            await self._renew(now)
        else:
            await self._try_acquire(now)

    async def release(self, now: float) -> None:
        """Release the lease, so that a standby can acquire it at once."""
        if self.state != 'holder':
            return
        report = self._publisher.report(now)
        bounds = report.lease_bounds
        self.published_bounds = self.published_bounds.merge(bounds)
        row = LeaseRow(
            self._holder_id,
            self._renewal,
            released=True,
            lease_bounds=bounds,
            drains=report.drains,
        )
        await self._store.transact(self._lease_write(row))
        self.drop('released')

    async def _renew(self, now: float) -> None:
        self._renewal += 1
        report = self._publisher.report(now)
        # Until the outcome is known, either row may be the stored one.
        self.published_bounds = self.published_bounds.merge(
            report.lease_bounds
        )
        row = LeaseRow(
            self._holder_id,
            self._renewal,
            waiting_by_queue=report.waiting_by_queue,
            lease_bounds=report.lease_bounds,
            is_offered=self.offers,
            drains=report.drains,
            backlogs=report.backlogs,
        )
        # A renewal without a reply may have been applied.
        self.is_offered |= row.is_offered
        self.renewing_since = now
        outcome = await table.transact_resolved(
            self._store, self._lease_write(row)
        )
        self.renewing_since = None
        self.is_confirmed = isinstance(outcome, result.Ok)
        if isinstance(outcome, result.Ok):
            self._lease_row_version = outcome.ok_value.version
            self.valid_until = now + self._settings.shard_lease_s
            self.published_bounds = report.lease_bounds
            self.is_offered = row.is_offered
        elif isinstance(outcome.err_value, table.Conflict):
            await self._check_still_held()
        elif _is_throttled(outcome.err_value) and now >= self.valid_until:
            self.drop('the table throttles this process')

    async def _check_still_held(self) -> None:
        """Drop the shard after a takeover; else reread the row's version.

        A renewal whose outcome stayed unknown may have changed the lease
        row; only a takeover changes the epoch row.
        """
        lease_key = keys.shard_lease(self.shard)
        epoch_key = keys.shard_epoch(self.shard)
        read = await self._store.read([lease_key, epoch_key])
        if isinstance(read, result.Err):
            return
        epoch_row = read.ok_value.get(epoch_key)
        lease_row = read.ok_value.get(lease_key)
        if (
            epoch_row is None
            or lease_row is None
            or epoch_row.version != self.epoch_row_version
        ):
            self.drop('taken over by another process')
            return
        self._lease_row_version = lease_row.version

    def _lease_write(self, row: LeaseRow) -> table.Transaction:
        key = keys.shard_lease(self.shard)
        return table.Transaction(
            (table.Condition(key, self._lease_row_version),),
            (table.Put(key, msgspec.json.encode(row)),),
        )

    async def _try_acquire(self, now: float) -> None:
        lease_key = keys.shard_lease(self.shard)
        epoch_key = keys.shard_epoch(self.shard)
        read = await self._store.read([lease_key, epoch_key])
        if isinstance(read, result.Err):
            self._is_unreadable = True
            self._offered_since = None
            return
        if self._is_unreadable:
            self._is_unreadable = False
            self.unreadable_until = now
        lease_row = read.ok_value.get(lease_key)
        epoch_row = read.ok_value.get(epoch_key)
        if not self._may_acquire(lease_row, now):
            return
        epoch = 1
        if epoch_row is not None:
            old = read_epoch_row(epoch_row)
            if old is None:
                # Without the last epoch a higher one cannot be chosen.
                return
            epoch = old.epoch + 1
        lease_version = lease_row.version if lease_row else table.ABSENT
        epoch_version = epoch_row.version if epoch_row else table.ABSENT
        report = self._publisher.report_takeover(
            self._find_earlier(lease_row, epoch_row), now
        )
        self.published_bounds = report.lease_bounds
        self._renewal = 0
        transaction = table.Transaction(
            (
                table.Condition(lease_key, lease_version),
                table.Condition(epoch_key, epoch_version),
            ),
            (
                table.Put(
                    lease_key,
                    msgspec.json.encode(
                        LeaseRow(
                            self._holder_id,
                            0,
                            waiting_by_queue=report.waiting_by_queue,
                            lease_bounds=report.lease_bounds,
                            drains=report.drains,
                        )
                    ),
                ),
                table.Put(
                    epoch_key,
                    msgspec.json.encode(
                        EpochRow(epoch, self._holder_id, report.address)
                    ),
                ),
            ),
        )
        outcome = await table.transact_resolved(self._store, transaction)
        if isinstance(outcome, result.Err):
            return
        self.epoch = epoch
        self.epoch_row_version = outcome.ok_value.version
        self._lease_row_version = outcome.ok_value.version
        self.valid_until = now + self._settings.shard_lease_s
        self.is_confirmed = True
        self.renewing_since = None
        _log.info('shard lease acquired', shard=self.shard, epoch=epoch)
        self.trigger('gain')

    def _find_earlier(
        self, lease_row: table.Row | None, epoch_row: table.Row | None
    ) -> EarlierHolder | None:
        if epoch_row is None:
            return None
        row = read_lease_row(lease_row) if lease_row else None
        return EarlierHolder(row, self._observed_since)

    def _may_acquire(self, lease_row: table.Row | None, now: float) -> bool:
        version = lease_row.version if lease_row else table.ABSENT
        if version != self._observed_version:
            self._observed_version = version
            self._observed_since = now
        lease = read_lease_row(lease_row) if lease_row else None
        free_at = self._observed_since
        offered_since = self._find_offered_since(lease, now)
        if offered_since is not None and self.takes_offers:
            # Each renewal of an offer changes the row.
            free_at = offered_since
        elif lease_row is not None and not (lease and lease.released):
            free_at += self._settings.shard_lease_s
            # After an outage the holder may be about to renew.
            interval_s = self._settings.shard_renew_interval_s
            free_at = max(free_at, self.unreadable_until + interval_s)
        self.acquirable_at = free_at + self._settings.takeover_delay_s
        if lease is not None and lease.holder == self._holder_id:
            # The row was written by an earlier process of this VM, which
            # has ended.
            return True
        return now >= self.acquirable_at

    def _find_offered_since(
        self, lease: LeaseRow | None, now: float
    ) -> float | None:
        """Return since when each observed row was an offer, or None."""
        if lease is None or not lease.is_offered:
            self._offered_since = None
        elif self._offered_since is None:
            self._offered_since = now
        return self._offered_since

    if typing.TYPE_CHECKING:

        def trigger(self, name: str) -> bool:
            """Run a transition; added by the state machine."""


def _is_throttled(error: table.TransactError) -> bool:
    return isinstance(error, table.Unavailable) and error.is_throttled
