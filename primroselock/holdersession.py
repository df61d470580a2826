"""The loops of the process that holds the lease of a shard.

A session lasts from the takeover until the lease is lost.  It follows what
callers ask for and the workers' entries, decides in rounds, stores the
decisions and sends the orders.  The decisions themselves are made in
``primroselock.decisions``.

Rounds take a bounded share of the time and give the event loop back in
between, so that polls, orders and renewals go on however much there is to
decide; a round that starts late suspends the judgements of who is late.
"""

import asyncio
from collections import abc
import dataclasses
import typing

from primroselock import accountviews
from primroselock import advicerequests
from primroselock import backgroundtasks
from primroselock import boardrows
from primroselock import clock
from primroselock.decisions import crashes
from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import graphs
from primroselock.decisions import placeability
from primroselock.decisions import runleases
from primroselock.decisions import slices
from primroselock import graphwriter
from primroselock import holderexplanations
from primroselock import holdergauges
from primroselock import jobs
from primroselock import lateness
from primroselock import learnedrows
from primroselock import leasekeeper
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import queues
from primroselock import rowsweeper
from primroselock import runorders
from primroselock import shards
from primroselock import speedkeeper
from primroselock.store import keys
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock import submissions
from primroselock import waits
from primroselock import workerpolling
from primroselock.workers import orders

_log: typing.Final = logs.get('holder')
_MAX_ROUND_INTERVAL_S: typing.Final = 0.25
_PAUSE_PER_ROUND: typing.Final = 2.0
"""Time between rounds as a multiple of a round's duration: polls, orders and
renewals need the rest of the process's time."""

_MAX_COUNT_AGE_S: typing.Final = 1.0
"""A count of waiting jobs is not published if the last round is older."""

_MAX_SLICE_S: typing.Final = 0.015
"""After this time a round lets others work; a decision may take longer."""

_MAX_AT_ONCE: typing.Final = 200
_TURNS_OF_OTHERS: typing.Final = 3
"""Iterations of the event loop between two slices: timers and answers are
noticed in the first, and the tasks that wait for them go on in the next."""

_NEVER: typing.Final = float('-inf')
_MIN_PAUSE_S: typing.Final = 0.001
_MAX_PAUSE_S: typing.Final = 0.5
_LATE_GRACE_S: typing.Final = 1.0
_PAUSE_THRESHOLD_S: typing.Final = 0.8
"""A round that starts this late shows that the process was paused."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What a session uses: settings, lease, store, clients and counters.

    ``wake`` starts a round, ``renewal_due`` renews the lease at once.
    ``configuration_confirmed_at`` returns when
    the operators' rows were last known to be up to date, on this process's
    clock.
    """

    settings: options.Settings
    lease: shards.ShardLease
    store: table.FeedTable
    worker_rows: boardrows.WorkerRowReader
    run_client: orders.RunClient
    advice_client: advicerequests.AdviceClient
    counters: metrics.Metrics
    wake: asyncio.Event
    renewal_due: asyncio.Event
    configuration_confirmed_at: abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """What a new holder has read from the store.

    ``listing`` is that from which to follow what callers ask for, and
    ``entries`` that of the workers, both requested at ``sent_at`` or later;
    ``submitted`` is what was loaded from ``listing``.
    """

    board: fleet.ShardBoard
    listing: table.Listing
    entries: table.Listing
    submitted: submissions.Submissions
    sent_at: float


class HolderSession:
    """Runs the loops from gaining the shard lease until it is lost."""

    def __init__(self, parts: Parts, takeover: Takeover) -> None:
        board = takeover.board
        self._parts = parts
        self._board = board
        self._settings = parts.settings
        self._lease = parts.lease
        self._gauges = holdergauges.HolderGauges(parts.counters)
        self._is_closing = False
        self._is_permitted = True
        self._submitted = takeover.submitted
        self._decided_at = clock.monotonic()
        self._has_decided = asyncio.Event()
        self._submission_follower = tablefollower.TableFollower(
            parts.store, keys.SUBMISSIONS, self._settings.fleet.follow_wait_s
        )
        self._submission_follower.resume(takeover.listing, takeover.sent_at)
        self._submission_follower.add_handler(self._apply_submissions)
        self._worker_follower = tablefollower.TableFollower(
            parts.store,
            parts.worker_rows.name,
            self._settings.fleet.entry_wait_s,
        )
        self._worker_follower.resume(takeover.entries, takeover.sent_at)
        self._worker_follower.add_handler(self._apply_entries)
        self._writer = graphwriter.ProgressWriter(
            parts.store,
            self._lease,
            board,
            self._on_saved,
            clock.monotonic,
            self._settings.platform.max_row_bytes,
        )
        self._speeds = speedkeeper.SpeedKeeper(
            self._settings, self._lease, parts.store, board
        )
        self._pollers = workerpolling.WorkerPollers(
            self._settings,
            self._lease,
            board,
            parts.run_client,
            parts.wake.set,
            parts.counters,
        )
        self._lease_keeper = leasekeeper.LeaseKeeper(
            self._settings, self._lease, board, self._pollers
        )
        self._orders = runorders.OrderSender(
            self._settings,
            self._lease,
            board,
            parts.run_client,
            parts.wake.set,
            self._may_start,
            self._pollers.confirm_boot,
            parts.counters,
        )
        self._advice_requester = advicerequests.AdviceRequester(
            board, parts.advice_client, parts.wake.set
        )
        copies = holderexplanations.Copies(
            parts.configuration_confirmed_at,
            self._worker_follower,
            self._submission_follower,
        )
        self.explanations = holderexplanations.Explanations(
            self._settings, board, copies, lambda: self._decided_at
        )

    def close(self) -> None:
        """Send no more starts: the shard is about to be released."""
        self._is_closing = True

    @property
    def submissions_lost_at(self) -> float | None:
        """When the copy of the submitted jobs was last up to date.

        None while their feed answers.
        """
        return self._submission_follower.lost_at

    @property
    def entries_lost_at(self) -> float | None:
        """When the copy of the workers' entries was last up to date.

        None while their feed answers.
        """
        return self._worker_follower.lost_at

    def list_accounts(self, now: float) -> list[accountviews.AccountUsage]:
        """Return what may run of the accounts, and their quotas."""
        return accountviews.list_accounts(self._board, now)

    def find_job(self, job_id: str, now: float) -> accountviews.JobView | None:
        """Return a job that has not ended; None if it is not known."""
        return accountviews.find_job(self._board, job_id, now)

    def use_queues(self, current: queues.QueueConfiguration) -> None:
        """Use this version of the queues for all later decisions."""
        graphs.use_queues(self._board, current)

    def extend_leases(self, now: float) -> None:
        """Extend the leases of runs that are due, see ``leasekeeper``."""
        self._lease_keeper.check(now)

    def report(self, now: float) -> shards.HolderReport:
        """Return what to write with a renewal or the release of the lease."""
        waiting = self._count_waiting(now)
        return shards.HolderReport(
            waiting,
            runleases.bound_leases(self._board, now),
            crashes.report_drains(self._board, self._worker_follower.version),
            None if waiting is None else self._find_backlogs(now),
        )

    async def run(self, renewing: asyncio.Task[None]) -> None:
        """Run the loops until the shard lease is lost.

        ``renewing`` is the loop that renews the lease.
        """
        loops = [
            renewing,
            *(
                asyncio.create_task(loop)
                for loop in (
                    self._decide(),
                    self._send_in_turns(),
                    self._writer.run(),
                    self._speeds.run(),
                    self._submission_follower.run(),
                    self._worker_follower.run(),
                    learnedrows.run(
                        self._settings,
                        self._lease,
                        self._parts.store,
                        self._board,
                    ),
                    rowsweeper.run(
                        self._settings,
                        self._lease,
                        self._parts.store,
                        self._board,
                        self._submitted,
                    ),
                )
            ),
        ]
        try:
            await asyncio.wait(loops, return_when=asyncio.FIRST_COMPLETED)
            for task in filter(asyncio.Task.done, loops):
                error = backgroundtasks.find_failure(task)
                if error is not None:
                    _log.error(
                        'loop failed; dropping the shard lease', exc_info=error
                    )
                    self._lease.drop('a loop failed')
        finally:
            self._gauges.clear()
            await self._advice_requester.cancel()
            # Orders may wait for probes, and would begin others.
            await self._orders.cancel()
            await self._lease_keeper.cancel()
            await self._pollers.cancel()
            await waits.cancel_tasks(loops)

    async def _decide(self) -> None:
        """Run a decision round after each change, and also periodically."""
        wake = self._parts.wake
        wake.set()
        pause_s = 0.0
        while self._lease.has_shard:
            before = clock.monotonic()
            if pause_s > _MIN_PAUSE_S:
                await asyncio.sleep(pause_s)
            await waits.wait_event(wake, _MAX_ROUND_INTERVAL_S)
            now = clock.monotonic()
            self._check_late(
                now - before - pause_s - _MAX_ROUND_INTERVAL_S, now
            )
            taken_s = await self._decide_once(now)
            pause_s = min(taken_s * _PAUSE_PER_ROUND, _MAX_PAUSE_S)

    def _check_late(self, late_s: float, now: float) -> None:
        """Suspend judgements of lateness if this round is late itself.

        What was received meanwhile is processed before they go on.
        """
        self._parts.counters.record('decision_late', max(0.0, late_s))
        if lateness.is_late(late_s):
            self._board.judge_from = now + _LATE_GRACE_S
        if late_s > _PAUSE_THRESHOLD_S:
            _log.warning('process paused', gap_s=round(late_s, 3))

    async def _decide_once(self, now: float) -> float:
        """Run a round; return its seconds, without those of other tasks."""
        await self._submitted.load_new(self._board, now)
        if not self._lease.has_shard:
            return 0.0
        self._decided_at = now
        turn = slices.Turn(clock.monotonic(), clock.wall())
        parts = fleetround.begin(self._board, self._settings, turn)
        self._prepare(turn.now)
        taken_s = turn.now - now
        while self._run_slice(parts, turn):
            taken_s += clock.monotonic() - turn.now
            for _ in range(_TURNS_OF_OTHERS):
                await asyncio.sleep(0)
            if not self._lease.has_shard:
                # What was decided is stored under this lease or not at all.
                return taken_s
            turn.resume(clock.monotonic(), clock.wall())
            self._prepare(turn.now)
        self._gauges.update(
            self._board,
            self._orders.waiting_count,
            len(self._submitted.tombstones),
            clock.monotonic(),
        )
        taken_s += clock.monotonic() - turn.now
        self._parts.counters.record('decision_round', taken_s)
        self._advice_requester.ensure_running()
        self._pollers.ensure_running()
        self.extend_leases(clock.monotonic())
        return taken_s

    def _prepare(self, now: float) -> None:
        """Note what permits placements, before a round and after a pause."""
        self._note_permit(now)
        self._note_entries_age()
        bounds = self._board.published_bounds = self._lease.published_bounds
        if runleases.covers_answering_worker(self._board, bounds):
            self._parts.renewal_due.set()

    def _note_entries_age(self) -> None:
        """Note when the copy of the workers' entries was up to date."""
        confirmed_at = self._worker_follower.confirmed_at
        if self._board.drains.may_have_missed(confirmed_at):
            crashes.note_gap(self._board)
        self._board.drains.confirmed_at = confirmed_at

    def _run_slice(self, parts: slices.Slices, turn: slices.Turn) -> bool:
        """Decide for a bounded time; return whether the round goes on.

        What was decided is stored and sent meanwhile.  The time begins anew
        where much had to be read first.
        """
        until = clock.monotonic() + _MAX_SLICE_S
        is_over = True
        for _ in parts:
            now = clock.monotonic()
            if turn.has_prepared:
                turn.has_prepared = False
                until = now + _MAX_SLICE_S
            if now > until:
                is_over = False
                break
        self._send_decided()
        self._writer.wake()
        return not is_over

    def _note_permit(self, now: float) -> None:
        """Record until when starts are permitted; log a change."""
        permit = self._find_permit(now)
        self._board.permit_until = permit.until
        self._board.permit_bound = permit.bound
        is_permitted = now <= permit.until
        if is_permitted != self._is_permitted:
            _log.warning(
                'starts permitted again'
                if is_permitted
                else 'starts not permitted',
                epoch=self._board.epoch,
                bound=permit.bound,
                entries_age_s=round(self._worker_follower.age_s(now), 3),
            )
        self._is_permitted = is_permitted

    def _apply_submissions(self, changes: table.Changes) -> None:
        if changes.rows:
            self._submitted.add(changes.rows)
            self._parts.wake.set()

    def _count_waiting(self, now: float) -> dict[str, int] | None:
        """Return the number of jobs that have not started, by queue.

        Returns None while this process is late, or its copy of what callers
        ask for is old: jobs that it does not know of yet would be missing.
        """
        if (
            now - self._decided_at > _MAX_COUNT_AGE_S
            or self._submission_follower.age_s(now)
            > self._settings.fleet.follow_age_s
        ):
            return None
        counts: dict[str, int] = {}
        for job in self._board.jobs_by_id.values():
            if job.state is jobs.JobState.WAITING and not job.is_cancelled:
                queue = job.graph.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _find_backlogs(self, now: float) -> dict[str, dict[int, int]] | None:
        """Return the backlogs of accounts; None while nothing may start.

        Those of the last round with starts say nothing about later ones.
        """
        if now > self._board.permit_until:
            return None
        return self._board.share_notes.backlogs_by_account or None

    def _on_saved(self) -> None:
        self._pollers.notify_saved()
        self._send_decided()
        self._parts.wake.set()

    def _send_decided(self) -> None:
        """Log decisions and send orders; leave many to their own task."""
        board = self._board
        if len(board.orders) + len(board.decision_records) > _MAX_AT_ONCE:
            self._has_decided.set()
            return
        for record in board.take_decision_records():
            self._log_decision(record)
        for order in board.take_orders():
            self._orders.send(order)

    async def _send_in_turns(self) -> None:
        while True:
            await self._has_decided.wait()
            self._has_decided.clear()
            records = self._board.take_decision_records()
            async for record in waits.take_turns(records):
                self._log_decision(record)
            async for order in waits.take_turns(self._board.take_orders()):
                self._orders.send(order)

    def _log_decision(self, record: fleet.DecisionRecord) -> None:
        _log.info(
            record.event,
            request=record.job_id,
            epoch=self._board.epoch,
            config=self._board.queue_configuration.version,
            **record.values,
        )

    def _find_permit(self, now: float) -> placeability.Permit:
        """Return until when starts are permitted, and what bounds that.

        Nothing starts under a lease that others may take over at any time;
        what it is offered for is named while it lasts.
        """
        permit = placeability.find_permit(
            self._lease.valid_until,
            self._parts.configuration_confirmed_at(),
            self._worker_follower.confirmed_at,
            self._settings.fleet,
        )
        if self._lease.is_offered and now <= permit.until:
            return placeability.Permit(_NEVER, 'the offer of the shard lease')
        return permit

    def _may_start(self, now: float) -> bool:
        """Return whether this process may send start orders now."""
        return (
            not self._is_closing
            and self._lease.has_shard
            and now <= self._find_permit(now).until
        )

    def _apply_entries(self, changes: table.Changes) -> None:
        now = clock.monotonic()
        reader = self._parts.worker_rows
        for row in changes.rows:
            boardrows.apply_entry(self._board, reader, row, now)
        for key in changes.removed:
            worker_id = reader.parse_worker_id(key)
            self._board.record_unlisted(worker_id)
        self._note_entries_age()
        self._parts.wake.set()
