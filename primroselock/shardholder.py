"""Waits for the lease of the shard, and takes the shard over.

Every node is a standby.  The one that acquires the lease writes the new
epoch, reads all rows after that, and runs a session as the holder, which
polls every worker under the new epoch and decides in rounds.  A holder
that cannot place offers the lease to standbys that can.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import result

from primroselock import accountviews
from primroselock import advicerequests
from primroselock import backgroundtasks
from primroselock import boardrows
from primroselock import clock
from primroselock.decisions import crashes
from primroselock.decisions import drainlog
from primroselock.decisions.explaining import records
from primroselock.decisions import fleet
from primroselock.decisions import leasebounds
from primroselock.decisions import placeability
from primroselock.decisions.runtimes import learner
from primroselock import graphrows
from primroselock import holderexplanations
from primroselock import holdersession
from primroselock import jobgraph
from primroselock import learnedrows
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import queues
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock import submissions
from primroselock import waits
from primroselock.workers import orders

_log: typing.Final = logs.get('holder')
_MIN_STANDBY_WAIT_S: typing.Final = 0.1
_MAX_STANDBY_WAIT_S: typing.Final = 0.5
_TAKEOVER_RETRY_S: typing.Final = 0.2
_NEVER: typing.Final = float('-inf')
_FIRST_EPOCH: typing.Final = 1
_MAX_CHANGE_CALLS: typing.Final = 10
"""Calls by which the changes of the entries before a takeover are read."""

_MIN_RENEWAL_PAUSE_S: typing.Final = 0.1
"""Pause after a successful renewal if the next one is wanted at once.

After a takeover the row may name every worker, and all nodes read it."""


class ShardHolder:
    """Waits for the lease of one shard and schedules while it is held."""

    def __init__(
        self,
        settings: options.Settings,
        store: table.FeedTable,
        shard_follower: tablefollower.TableFollower,
        worker_rows: boardrows.WorkerRowReader,
        run_client: orders.RunClient,
        advice_client: advicerequests.AdviceClient,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._store = store
        self._advice_client = advice_client
        self._follower = shard_follower
        self._worker_rows = worker_rows
        self._run_client = run_client
        self._metrics = counters
        self.lease = shards.ShardLease(
            settings,
            tablefollower.CachedReads(
                store, shard_follower, settings.fleet.follow_age_s
            ),
            settings.fleet.shard,
            publisher=self,
        )
        self._inherited_leases = leasebounds.InheritedLeases()
        self._inherited_drains = drainlog.NO_REPORT
        self._renewal_due = asyncio.Event()
        self._wake = asyncio.Event()
        self._lease_wake = asyncio.Event()
        self._queues = queues.EMPTY
        self._configuration_confirmed_at: abc.Callable[[], float] = lambda: 0.0
        self._session: holdersession.HolderSession | None = None
        self._failed_listings = 0
        self._obstacle: placeability.Obstacle | None = None
        self._reads_failed_at = float('-inf')
        self._epoch_row: shards.EpochRow | None = None
        self._stopping = False
        shard_follower.add_handler(self._apply_changes)

    def set_queue_configuration(
        self,
        current: queues.QueueConfiguration,
        confirmed_at: abc.Callable[[], float],
    ) -> None:
        """Use this version of the queues for all later decisions.

        ``confirmed_at`` returns when the operators' rows were last known
        to be up to date, on this process's clock.
        """
        self._queues = current
        self._configuration_confirmed_at = confirmed_at
        if self._session is not None:
            self._session.use_queues(current)
        self._wake.set()

    def list_accounts(
        self, now: float
    ) -> list[accountviews.AccountUsage] | None:
        """Return what may run of the accounts; None if others decide."""
        if self._session is None:
            return None
        return self._session.list_accounts(now)

    def find_job(self, job_id: str, now: float) -> accountviews.JobView | None:
        """Return a job that has not ended; None if it is not known here."""
        if self._session is None:
            return None
        return self._session.find_job(job_id, now)

    def find_busy(self) -> holderexplanations.Unexplained | None:
        """Return why the holder explains nothing now."""
        if self._session is None:
            return None
        return self._session.explanations.find_busy()

    async def explain(
        self, job: str | jobgraph.JobGraph
    ) -> result.Result[
        records.Answer,
        holderexplanations.Unexplained | holderexplanations.NotHolder,
    ]:
        """Explain a job, by its id, or one that is not sent."""
        if self._session is not None:
            return await self._session.explanations.explain(job)
        last = self._epoch_row
        return result.Err(
            holderexplanations.NotHolder(
                last.holder if last is not None else '',
                last.address if last is not None else '',
                self.lease.has_shard,
            )
        )

    def report_takeover(
        self, earlier: shards.EarlierHolder | None, now: float
    ) -> shards.HolderReport:
        """Return what to write with a takeover: no lease is granted yet."""
        self._inherited_leases = leasebounds.InheritedLeases()
        self._inherited_drains = drainlog.NO_REPORT
        if earlier is not None:
            row = earlier.row
            if row is not None:
                self._inherited_drains = row.drains
            self._inherited_leases = leasebounds.inherit(
                row.lease_bounds if row else leasebounds.NO_BOUNDS,
                earlier.observed_at,
                self._settings.fleet.run_lease_s,
            )
        return dataclasses.replace(
            self._report_inherited(now),
            address=self._settings.fleet.metrics_bind,
        )

    def report(self, now: float) -> shards.HolderReport:
        """Return what to write with a renewal or the release of the lease."""
        if self._session is not None:
            return self._session.report(now)
        return self._report_inherited(now)

    def _report_inherited(self, now: float) -> shards.HolderReport:
        """Return what earlier holders have published, as of now."""
        return shards.HolderReport(
            lease_bounds=self._inherited_leases.bounds(now),
            drains=self._inherited_drains,
        )

    async def run(self) -> None:
        """Alternate between standby and holder until cancelled or stopped."""
        while not self._stopping:
            await self._run_standby()
            if self.lease.has_shard:
                await self._run_holder()

    async def hand_over(self) -> None:
        """Stop, and release the shard lease so that a standby takes over."""
        self._stopping = True
        self._lease_wake.set()
        if self.lease.has_shard:
            if self._session is not None:
                self._session.close()
            await self.lease.release(clock.monotonic())

    async def _run_standby(self) -> None:
        self._follower.pause_s = self._settings.fleet.standby_pause_s
        able_since = None
        while not self._stopping and not self.lease.has_shard:
            if self._follower.loaded.is_set():
                now = clock.monotonic()
                able_since = placeability.find_able_since(
                    able_since,
                    self._configuration_confirmed_at(),
                    self._follower.confirmed_at,
                    self._settings.fleet,
                    now,
                )
                self.lease.takes_offers = placeability.may_take_offer(
                    able_since, self._reads_failed_at, now
                )
                await self.lease.step(now)
            if self.lease.has_shard:
                return
            left_s = self.lease.acquirable_at - clock.monotonic()
            await waits.wait_event(
                self._lease_wake,
                min(max(left_s, _MIN_STANDBY_WAIT_S), _MAX_STANDBY_WAIT_S),
            )

    async def _run_holder(self) -> None:
        """Schedule for the shard until its lease is lost."""
        # The lease must not expire while a long listing is read.
        renewing = backgroundtasks.start(self._renew(), 'lease renewal')
        try:
            takeover = await self._take_over()
            if takeover is None:
                return
            session = holdersession.HolderSession(
                self._build_parts(), takeover
            )
            self._session = session
            # They may have changed during the takeover.
            session.use_queues(self._queues)
            if self._stopping:
                session.close()
            await session.run(renewing)
        finally:
            self._session = None
            # Nobody decides any more: the lease must run out.
            await waits.cancel_tasks([renewing])
            self._obstacle = None
            self._failed_listings = 0

    def _build_parts(self) -> holdersession.Parts:
        return holdersession.Parts(
            self._settings,
            self.lease,
            self._store,
            self._worker_rows,
            self._run_client,
            self._advice_client,
            self._metrics,
            self._wake,
            self._renewal_due,
            lambda: self._configuration_confirmed_at(),
        )

    async def _renew(self) -> None:
        interval_s = self._settings.scheduler.shard_renew_interval_s
        while self.lease.has_shard:
            self._renewal_due.clear()
            valid_until = self.lease.valid_until
            now = clock.monotonic()
            self._judge_reads(now)
            await self.lease.step(now)
            if self._session is not None:
                self._session.extend_leases(clock.monotonic())
            if self.lease.valid_until == valid_until:
                # The store does not confirm it: do not press it.
                await asyncio.sleep(self.lease.step_pause_s)
                continue
            await asyncio.sleep(_MIN_RENEWAL_PAUSE_S)
            await waits.wait_event(
                self._renewal_due, interval_s - _MIN_RENEWAL_PAUSE_S
            )

    def _judge_reads(self, now: float) -> None:
        """Let the next renewal offer the lease if this node cannot place."""
        reads = placeability.Reads(
            self._configuration_confirmed_at(),
            self._session.submissions_lost_at if self._session else None,
            self._failed_listings,
            self._session.entries_lost_at if self._session else None,
        )
        obstacle = placeability.find_obstacle(
            self._obstacle,
            reads,
            self.lease.valid_until,
            self._settings.fleet,
            now,
        )
        offers = placeability.should_offer(obstacle, now)
        if offers != self.lease.offers:
            self._log_offer(offers, obstacle or self._obstacle, reads, now)
        if offers and obstacle and obstacle.is_known_to_holders_only:
            self._reads_failed_at = now
        self._obstacle = obstacle
        self.lease.offers = offers

    def _log_offer(
        self,
        begins: bool,
        obstacle: placeability.Obstacle | None,
        reads: placeability.Reads,
        now: float,
    ) -> None:

        def find_age_s(lost_at: float | None) -> float:
            return round(now - lost_at, 3) if lost_at is not None else 0.0

        values = {
            'epoch': self.lease.epoch,
            'why': obstacle.reason.value if obstacle else '',
            'since_s': round(now - obstacle.since, 3) if obstacle else 0.0,
            'operators_age_s': round(now - reads.operators_confirmed_at, 3),
            'submissions_age_s': find_age_s(reads.submissions_lost_at),
            'entries_age_s': find_age_s(reads.entries_lost_at),
            'failed_listings': reads.failed_listings,
        }
        if begins:
            _log.warning('shard lease offered: cannot place here', **values)
        else:
            _log.info('shard lease no longer offered', **values)

    async def _take_over(self) -> holdersession.Takeover | None:
        """Read the rows that earlier holders wrote and build a blackboard.

        Returns None if the lease was lost or the process stops before the
        store answered.
        """
        while self.lease.has_shard and not self._stopping:
            sent_at = clock.monotonic()
            listings = await self._list_tables()
            if listings is not None:
                self._failed_listings = 0
                listing, progress, entries = listings
                entry_changes = await self._read_entry_changes(entries)
                # All this takes long on a slow VM, and the lease must not
                # expire.
                submitted = submissions.Submissions(self._settings.fleet.shard)
                jobs_by_id = await submitted.read(
                    listing.rows + progress.rows, clock.monotonic()
                )
                submitted.note_loaded(jobs_by_id)
                learned = await learnedrows.load(self._settings, self._store)
                board = await self._build_board(
                    jobs_by_id, learned, entries, entry_changes, sent_at
                )
                return holdersession.Takeover(
                    board, listing, entries, submitted, sent_at
                )
            self._failed_listings += 1
            _log.warning(
                'shard takeover delayed: store not available; retrying'
            )
            await asyncio.sleep(_TAKEOVER_RETRY_S)
        return None

    async def _list_tables(
        self,
    ) -> tuple[table.Listing, table.Listing, table.Listing] | None:
        """Return the submissions, the progress and the workers' entries.

        Returns None at the first listing that fails.
        """
        # One after another: they share the link of this VM.
        submissions = await self._store.list_rows(keys.SUBMISSIONS)
        if isinstance(submissions, result.Err):
            return None
        progress = await self._store.list_rows(keys.PROGRESS)
        if isinstance(progress, result.Err):
            return None
        entries = await self._store.list_rows(self._worker_rows.name)
        if isinstance(entries, result.Err):
            return None
        return submissions.ok_value, progress.ok_value, entries.ok_value

    async def _read_entry_changes(
        self, entries: table.Listing
    ) -> abc.Sequence[table.Row]:
        """Return what workers' entries said since the earlier holder read it.

        A worker may have drained and left meanwhile, so that ``entries`` do
        not show it.  Some are missing if the changes are not to be had.
        """
        after = self._inherited_drains.version
        changes = table.Changes((), (), table.ABSENT)
        if after is not None:
            changes = await self._list_changes(after, entries.version)
        is_complete = changes.version >= entries.version
        if not is_complete and self.lease.epoch > _FIRST_EPOCH:
            _log.warning(
                'drains before the takeover are not known',
                read_up_to=changes.version,
                listed=entries.version,
            )
        return changes.rows

    async def _list_changes(self, after: int, until: int) -> table.Changes:
        """Return the entries that changed between two versions.

        As far as they can be read; without those that were deleted.
        """
        rows: list[table.Row] = []
        version = after
        for _ in range(_MAX_CHANGE_CALLS):
            if version >= until:
                break
            polled = await self._store.changes(
                self._worker_rows.name, version, 0.0
            )
            if isinstance(polled, result.Err):
                break
            rows += polled.ok_value.rows
            version = polled.ok_value.version
        return table.Changes(tuple(rows), (), version)

    async def _build_board(
        self,
        jobs_by_id: abc.Mapping[str, graphrows.StoredJob],
        learned: learner.RunTimes,
        entries: table.Listing,
        entry_changes: abc.Sequence[table.Row],
        sent_at: float,
    ) -> fleet.ShardBoard:
        """Return the blackboard; ``entries`` were requested at ``sent_at``."""
        board = fleet.ShardBoard(
            epoch=self.lease.epoch,
            run_lease_s=self._settings.fleet.run_lease_s,
            inherited_leases=self._inherited_leases,
            queue_configuration=self._queues,
            learned=learned,
        )
        board.learned.trusted_ratio = (
            self._settings.fleet.trusted_estimate_ratio
        )
        board.lease_lapses.unconfirmed_at = self.lease.unreadable_until
        now = clock.monotonic()
        # When a drain was reported that is read now is not known.
        board.drains.confirmed_at = _NEVER
        board.drains.inherit(self._inherited_drains, now)
        async for row in waits.take_turns(entry_changes):
            boardrows.note_earlier_entry(board, self._worker_rows, row, now)
        async for row in waits.take_turns(entries.rows):
            boardrows.apply_entry(board, self._worker_rows, row, now)
        async for job_id, stored in waits.take_turns(jobs_by_id.items()):
            boardrows.load_job(board, job_id, stored, now)
        # The store need not report each change.
        crashes.note_gap(board)
        board.drains.confirmed_at = sent_at
        crashes.review_entries(board, now)
        _log.info(
            'shard takeover complete',
            epoch=board.epoch,
            jobs=len(board.jobs_by_id),
            workers=len(board.workers_by_id),
        )
        return board

    def _apply_changes(self, changes: table.Changes) -> None:
        shard = self._settings.fleet.shard
        for row in changes.rows:
            if row.key == keys.shard_lease(shard):
                self._lease_wake.set()
            elif row.key == keys.shard_epoch(shard):
                self._epoch_row = shards.read_epoch_row(row)
