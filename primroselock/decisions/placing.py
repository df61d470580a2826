"""Places waiting jobs all or nothing: cells for every member, or none.

First every job that may use its account's guarantee is placed within it,
in the order of the policy; borrowed work that occupies the chosen cells is
stopped, and a capacity claim keeps the cells for the job meanwhile.  Then the
remaining jobs borrow free cells in the same order; an urgent one may
preempt borrowed work.  Nothing is placed without the start permit or in
a zone that is out of service.
"""

from collections import abc
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import commands
from primroselock.decisions import moving
from primroselock.decisions import planning
from primroselock.decisions import policies
from primroselock.decisions import preemption
from primroselock.decisions import reasons
from primroselock.decisions import registry
from primroselock.decisions import repair
from primroselock.decisions import runtimeestimates
from primroselock.decisions import shapes
from primroselock import jobs
from primroselock import options

_MAX_LOSS_SHARE: typing.Final = 0.1
"""A job is diverted to another shard if preempting work for it would lose
more than this share of its own expected work."""


def waiting_jobs(
    board: blackboard.Blackboard,
) -> list[blackboard.JobView]:
    """Return the jobs that wait and have no attempt."""
    return [
        view
        for view in board.jobs_by_id.values()
        if view.job.state is jobs.JobState.WAITING
        and not view.job.cancel_requested
        and view.job.id not in board.attempts_by_job_id
    ]


@registry.controller('placement', order=50)
def place_waiting(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Place every waiting job that fits; record why the others wait."""
    waiting = waiting_jobs(board)
    _drop_not_waiting(board, waiting, now)
    if not board.is_zone_in_service or now >= board.permit_until:
        board.claims_by_job_id.clear()
        reason = (
            reasons.no_permit
            if board.is_zone_in_service
            else reasons.zone_out_of_service
        )
        board.reasons_by_job_id = {
            view.job.id: reason(board) for view in waiting
        }
        return []
    return _Placer(board, settings, now).place(waiting)


def _drop_not_waiting(
    board: blackboard.Blackboard,
    waiting: list[blackboard.JobView],
    now: float,
) -> None:
    """Drop the claims and waiting times of jobs that no longer wait."""
    first_seen = board.soft_state.first_seen_by_job_id
    board.soft_state.first_seen_by_job_id = {
        view.job.id: first_seen.get(view.job.id, now) for view in waiting
    }
    waiting_ids = board.soft_state.first_seen_by_job_id
    for job_id in board.claims_by_job_id.keys() - waiting_ids.keys():
        del board.claims_by_job_id[job_id]


class _Placer:
    """One round of placement over the waiting jobs of a shard.

    A shape that could not be placed is not attempted again in the round.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        settings: options.Settings,
        now: float,
    ) -> None:
        self.board = board
        self.settings = settings
        self.now = now
        self.shard_capacity = capacity.compute(board, settings, now)
        self._update_claims()
        self.preemption_cost = preemption.PreemptionCost(
            board, self.shard_capacity, settings, now
        )
        self.reasons: dict[str, str] = {}
        self.diverted: list[tuple[blackboard.JobView, shapes.Shape]] = []
        self._shapes_by_job_id: dict[str, shapes.Shape | None] = {}
        self._failed: set[tuple[str, int, int]] = set()
        self._reason_by_key: dict[tuple[str, int, int], str] = {}
        self._supply = ''
        self._use_by_account: dict[str, str] = {}

    def _update_claims(self) -> None:
        """Drop claims that cannot be met and restore broken guarantees.

        The capacity is computed again if either changed something.
        """
        states = {
            job_id: preemption.claim_state(
                self.board,
                self.shard_capacity,
                self.settings,
                job_id,
                self.now,
            )
            for job_id in self.board.claims_by_job_id
        }
        self.claims_with_free_cells = {
            j for j, state in states.items() if state
        }
        void = [job_id for job_id, state in states.items() if state is None]
        for job_id in void:
            del self.board.claims_by_job_id[job_id]
        restored = repair.restore_guarantees(
            self.board, self.shard_capacity, self.now
        )
        if void or restored:
            self.shard_capacity = capacity.compute(
                self.board, self.settings, self.now
            )

    def place(
        self, waiting: list[blackboard.JobView]
    ) -> list[commands.Command]:
        """Place the jobs that fit and record a reason for each other one.

        Jobs that did not fit may be moved to another shard.
        """
        self._shapes_by_job_id = self._update_shapes(waiting)
        name = self.settings.scheduler.queue_order
        order = policies.queue_orders_by_name[name]
        waiting.sort(key=lambda view: order(self.board, view, self.now))
        unplaced = [
            view for view in waiting if not self._handle_without_plan(view)
        ]
        unplaced = [
            view for view in unplaced if not self._place_guaranteed(view)
        ]
        unplaced = [
            view for view in unplaced if not self._place_borrowed(view)
        ]
        self.board.reasons_by_job_id = self.reasons
        shaped = [(view, self._shape(view)) for view in unplaced]
        waiting_accelerators = sum(shape.accelerators for _, shape in shaped)
        self.board.load = blackboard.PeerLoad(
            self.shard_capacity.free.free_accelerators(),
            waiting_accelerators,
            self.shard_capacity.free.largest_free(),
            self.now,
        )
        return moving.move_to_free(
            self.board, self.settings, shaped, self.diverted, self.now
        )

    def _update_shapes(
        self, waiting: list[blackboard.JobView]
    ) -> dict[str, shapes.Shape | None]:
        """Return the jobs' shapes, from the cache where it is valid.

        It is valid as long as the share of one accelerator is the same.
        """
        soft_state = self.board.soft_state
        share = self.shard_capacity.share
        known = (
            soft_state.shapes_by_job_id if soft_state.share == share else {}
        )
        soft_state.share = share
        soft_state.shapes_by_job_id = {
            view.job.id: known[view.job.id]
            if view.job.id in known
            else shapes.of_spec(view.job.spec, share)
            for view in waiting
        }
        return soft_state.shapes_by_job_id

    def _handle_without_plan(self, view: blackboard.JobView) -> bool:
        """Handle a job that needs no plan: with a claim, delayed, too large.

        Returns False for a job that is still to be placed.
        """
        job_id = view.job.id
        shape = self._shapes_by_job_id[job_id]
        claim = self.board.claims_by_job_id.get(job_id)
        if claim is not None and job_id in self.claims_with_free_cells:
            del self.board.claims_by_job_id[job_id]
            self._add_attempt(view, claim.placements, claim.borrowed)
        elif shape is None:
            self.reasons[job_id] = reasons.too_large(
                self.shard_capacity, view.job
            )
        elif claim is not None:
            self._preempt_in_claim(view, shape)
        elif self.now < view.not_before:
            self.reasons[job_id] = reasons.delayed(view)
        else:
            return False
        return True

    def _preempt_in_claim(
        self, view: blackboard.JobView, shape: shapes.Shape
    ) -> None:
        """Preempt what still occupies the cells that a job claims."""
        claimed = self.board.soft_state.claim_footprints_by_job_id[view.job.id]
        victims = preemption.preempt_borrowers(
            self.board, self.shard_capacity, claimed.masks, self.now
        )
        self.reasons[view.job.id] = reasons.stopping_borrowers(
            shape, len(victims)
        )

    def _cell_of(self, placement: jobs.Placement) -> cells.Cell:
        locations = self.board.soft_state.locations_by_worker_id
        rack, slot = locations[placement.worker_id]
        offset = slot * cells.WORKER_SIZE + placement.accelerators[0]
        return cells.Cell(rack, offset, placement.cell_size)

    def _shape(self, view: blackboard.JobView) -> shapes.Shape:
        shape = self._shapes_by_job_id[view.job.id]
        assert shape is not None
        return shape

    def _place_guaranteed(self, view: blackboard.JobView) -> bool:
        """Place a job within its guarantee, preempting borrowed work."""
        job = view.job
        if job.spec.priority is jobs.Priority.BORROWED:
            return False
        shape = self._shape(view)
        key = (job.account, shape.size, shape.count)
        if key in self._failed:
            return False
        plan = planning.plan_guaranteed(
            self.shard_capacity,
            job.account,
            shape,
            self.preemption_cost.of_cell,
        )
        if plan is None:
            self._failed.add(key)
            return False
        if self._should_divert(view, shape, plan.pieces):
            plan.undo()
            self.diverted.append((view, shape))
            self.reasons[job.id] = reasons.moving(self.board)
            return True
        self._add_attempt_or_claim(view, shape, plan.pieces, borrowed=False)
        return True

    def _should_divert(
        self,
        view: blackboard.JobView,
        shape: shapes.Shape,
        pieces: list[planning.Piece],
    ) -> bool:
        """Return whether the job should rather run on another shard now.

        This is so only while the job has waited for less than
        ``divert_for_s``, so that the guarantee is not delayed, and only
        where preempting borrowed work here would lose more than a share
        of the work that the job itself is expected to do.
        """
        first_seen = self.board.soft_state.first_seen_by_job_id[view.job.id]
        limit_s = self.settings.scheduler.divert_for_s
        tick_s = self.settings.scheduler.tick_interval_s
        if self.now - first_seen + tick_s >= limit_s:
            return False
        if view.job.spec.priority is jobs.Priority.URGENT:
            return False
        if not moving.fits_on_another_shard(self.board, shape, self.now):
            return False
        lost = sum(
            self.preemption_cost.of_cell(piece.cell) for piece in pieces
        )
        left_s = runtimeestimates.expected_remaining_s(
            self.board, view.job, view.job.checkpoint_s
        )
        return lost > _MAX_LOSS_SHARE * left_s * shape.accelerators

    def _add_attempt_or_claim(
        self,
        view: blackboard.JobView,
        shape: shapes.Shape,
        pieces: list[planning.Piece],
        borrowed: bool,
    ) -> None:
        """Add an attempt, or claim the cells and preempt the work in them."""
        placements = self._placements(view.job.spec, shape, pieces)
        wanted = [piece.cell for piece in pieces]
        all_free = all(
            self.shard_capacity.free.is_free(cell) for cell in wanted
        )
        for cell in wanted:
            for part in cell.split(1):
                self.shard_capacity.free.take(part)
        if all_free:
            self._add_attempt(view, placements, borrowed)
            return
        self._drop_overlapping_claims(wanted)
        victims = preemption.preempt_borrowers(
            self.board,
            self.shard_capacity,
            [(cell.rack, cell.mask) for cell in wanted],
            self.now,
        )
        self.board.claims_by_job_id[view.job.id] = blackboard.CapacityClaim(
            view.job.account, placements, borrowed, self.now
        )
        self.reasons[view.job.id] = reasons.stopping_borrowers(
            shape, len(victims)
        )

    def _drop_overlapping_claims(self, wanted: list[cells.Cell]) -> None:
        """Drop the claims of borrowing jobs that overlap the cells."""
        for job_id, claim in list(self.board.claims_by_job_id.items()):
            if claim.borrowed and any(
                cell.rack == own.rack and cell.mask & own.mask
                for cell in wanted
                for own in map(self._cell_of, claim.placements)
            ):
                del self.board.claims_by_job_id[job_id]

    def _plan_borrowed(
        self, shape: shapes.Shape
    ) -> list[planning.Piece] | None:
        name = self.settings.scheduler.placement
        pick = policies.placements_by_name[name]
        return planning.plan_borrowed(self.shard_capacity.free, shape, pick)

    def _place_borrowed(self, view: blackboard.JobView) -> bool:
        """Place a job outside its guarantee, on free cells."""
        shape = self._shape(view)
        urgent = view.job.spec.priority is jobs.Priority.URGENT
        key = ('urgent' if urgent else '', shape.size, shape.count)
        if key not in self._failed:
            pieces = self._plan_borrowed(shape)
            if pieces is not None:
                placements = self._placements(view.job.spec, shape, pieces)
                self._add_attempt(view, placements, borrowed=True)
                return True
            if urgent and self._place_by_preemption(view, shape):
                return True
            self._failed.add(key)
        self._record_no_cells(view, shape)
        return False

    def _place_by_preemption(
        self, view: blackboard.JobView, shape: shapes.Shape
    ) -> bool:
        """Place an urgent job by preempting other borrowed work."""
        pieces = planning.plan_cheapest(
            cells.CellMap(self._preemptible()),
            shape,
            self.preemption_cost.of_cell,
        )
        if pieces is None:
            return False
        self._add_attempt_or_claim(view, shape, pieces, borrowed=True)
        return True

    def _preemptible(self) -> dict[str, int]:
        """Return the cells that are free or occupied by preemptible work.

        That is borrowed work that is not urgent.  Claimed cells and those
        of unusable workers are excluded.
        """
        masks = dict(self.shard_capacity.free.free_by_rack)
        for rack, borrowed in self.shard_capacity.borrowed_by_rack.items():
            for job_id, mask in borrowed.items():
                view = self.board.jobs_by_id.get(job_id)
                if view is None or rack not in masks:
                    continue
                if view.job.spec.priority is not jobs.Priority.URGENT:
                    masks[rack] |= mask
        locations = self.board.soft_state.locations_by_worker_id
        for claim in self.board.claims_by_job_id.values():
            for placement in claim.placements:
                rack, _ = locations[placement.worker_id]
                masks[rack] &= ~self._cell_of(placement).mask
        for rack, usable in self.shard_capacity.usable_by_rack.items():
            masks[rack] &= usable
        return masks

    def _record_no_cells(
        self, view: blackboard.JobView, shape: shapes.Shape
    ) -> None:
        """Record that the job waits for free cells."""
        key = (view.job.account, shape.size, shape.count)
        if key not in self._reason_by_key:
            self._reason_by_key[key] = reasons.no_cells(
                shape, self._describe_supply(), self._describe_use(key[0])
            )
        self.reasons[view.job.id] = self._reason_by_key[key]

    def _describe_supply(self) -> str:
        if not self._supply:
            self._supply = reasons.supply(self.shard_capacity, self.board.zone)
        return self._supply

    def _describe_use(self, account: str) -> str:
        if account not in self._use_by_account:
            described = self.shard_capacity.guarantee(account).describe()
            self._use_by_account[account] = f'account {account}: {described}'
        return self._use_by_account[account]

    def _placements(
        self,
        spec: jobs.JobSpec,
        shape: shapes.Shape,
        pieces: abc.Iterable[planning.Piece],
    ) -> tuple[jobs.Placement, ...]:
        """Return the placement of each member, in the order of the cells."""
        placements = []
        for piece in pieces:
            for cell in piece.cell.split(shape.size):
                worker_id = self.shard_capacity.worker_ids_by_location[
                    (cell.rack, cell.slot)
                ]
                report = self.board.workers_by_id[worker_id].report
                assert report is not None
                placement = jobs.Placement(
                    worker_id,
                    report.boot_id,
                    cell.accelerators,
                    cell.size,
                    piece.held_size,
                )
                placements.extend([placement] * shape.members_per_cell)
        return tuple(placements[: spec.members])

    def _add_attempt(
        self,
        view: blackboard.JobView,
        placements: tuple[jobs.Placement, ...],
        borrowed: bool,
    ) -> None:
        """Add an attempt, whose members must be reserved first."""
        attempt = jobs.Attempt(
            view.job.attempts + 1, self.board.epoch, placements, borrowed
        )
        self.board.attempts_by_job_id[view.job.id] = blackboard.AttemptView(
            view.job.id, attempt, blackboard.Phase.RESERVING, self.now
        )
