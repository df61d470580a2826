"""Places waiting jobs: a cell for every member, or nothing.

The free cells are derived from the workers that were heard and from the
attempts that hold cells.  A job is placed only while the start permit
holds and its zone is in service.  All members get a cell or the cells
taken for the others are given back.
"""

from primroselock.decisions import blackboard
from primroselock.decisions import cells
from primroselock.decisions import commands
from primroselock.decisions import packing
from primroselock.decisions import policies
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options


def build_cell_map(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> cells.CellMap:
    """Return the cells that are free for new work."""
    usable_slots_by_rack: dict[str, list[int]] = {}
    for worker in board.workers_by_id.values():
        if _is_usable(board, worker, settings, now):
            slots = usable_slots_by_rack.setdefault(worker.vm.rack, [])
            assert worker.report is not None
            slots.append(worker.report.slot)
    cell_map = cells.CellMap()
    for name, slots in usable_slots_by_rack.items():
        cell_map.racks_by_name[name] = cells.Rack(name, slots)
    for view in board.attempts_by_job_id.values():
        for placement in view.attempt.placements:
            cell = _cell_of(board, placement)
            if cell is not None:
                cell_map.take(cell)
    return cell_map


def _is_usable(
    board: blackboard.Blackboard,
    worker: blackboard.WorkerView,
    settings: options.Settings,
    now: float,
) -> bool:
    if worker.report is None or worker.vm.leaving:
        return False
    if worker.vm.id in board.quarantined_worker_ids:
        return False
    silent_s = now - worker.heard_at
    return silent_s <= settings.scheduler.heartbeat_interval_s * 2


def _cell_of(
    board: blackboard.Blackboard, placement: jobs.Placement
) -> cells.Cell | None:
    worker = board.workers_by_id.get(placement.worker_id)
    if worker is None or worker.report is None:
        return None
    first = placement.accelerators[0] if placement.accelerators else 0
    offset = worker.report.slot * cells.WORKER_SIZE + first
    return cells.Cell(worker.vm.rack, offset, placement.cell_size)


@registry.controller('placement', order=50)
def place_waiting(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Place every waiting job that fits, in the order of the policy."""
    zone = board.config.zones_by_name.get(board.zone)
    if now >= board.permit_until or zone is None or not zone.is_in:
        return []
    sort_key = policies.queue_orders_by_name[settings.scheduler.queue_order]
    waiting = [
        view
        for view in board.jobs_by_id.values()
        if _may_be_placed(board, view, now)
    ]
    if not waiting:
        return []
    waiting.sort(key=lambda view: sort_key(view, now))
    cell_map = build_cell_map(board, settings, now)
    worker_ids = {
        (worker.vm.rack, worker.report.slot): worker.vm.id
        for worker in board.workers_by_id.values()
        if worker.report is not None
    }
    pick = policies.placements_by_name[settings.scheduler.placement]
    for view in waiting:
        chosen = _choose_cells(cell_map, view.job.spec, pick)
        if chosen is None:
            continue
        _add_attempt(board, view, chosen, worker_ids, now)
    return []


def _may_be_placed(
    board: blackboard.Blackboard, view: blackboard.JobView, now: float
) -> bool:
    return (
        view.job.state is jobs.JobState.WAITING
        and not view.job.cancel_requested
        and view.job.id not in board.attempts_by_job_id
        and now >= view.not_before
    )


def _choose_cells(
    cell_map: cells.CellMap, spec: jobs.JobSpec, pick: policies.PickCell
) -> list[cells.Cell] | None:
    size = packing.cell_size(max(spec.accelerators, 1))
    chosen: list[cells.Cell] = []
    for _ in range(spec.members):
        cell = pick(cell_map, size)
        if cell is None or not cell_map.take(cell):
            for taken in chosen:
                cell_map.release(taken)
            return None
        chosen.append(cell)
    return chosen


def _add_attempt(
    board: blackboard.Blackboard,
    view: blackboard.JobView,
    chosen: list[cells.Cell],
    worker_ids: dict[tuple[str, int], str],
    now: float,
) -> None:
    placements = []
    for cell in chosen:
        worker_id = worker_ids[(cell.rack, cell.slot)]
        report = board.workers_by_id[worker_id].report
        assert report is not None
        placements.append(
            jobs.Placement(
                worker_id, report.boot_id, cell.accelerators, cell.size
            )
        )
    attempt = jobs.Attempt(
        view.job.attempts + 1, board.epoch, tuple(placements)
    )
    board.attempts_by_job_id[view.job.id] = blackboard.AttemptView(
        view.job.id, attempt, blackboard.Phase.RESERVING, now
    )
