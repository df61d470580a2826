"""Moves waiting jobs to other shards.

Every waiting job moves away from a zone that is out of service.  In a
zone in service a job moves if it has waited for ``balance_after_s``,
cannot be placed, and the beacon of another shard states free cells that
fit.  Each move is deducted from the recorded free cells of the other
shard, so that one beacon does not attract more jobs than it has cells
for.  The moves of a round are bounded, since each costs writes to the
platform's table.
"""

import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import shapes
from primroselock import jobs
from primroselock import options

_MAX_MOVES: typing.Final = 16
"""Limit of the moves in progress at one time."""

_MAX_BEACON_AGE_S: typing.Final = 5.0
"""Age beyond which a shard's published free cells are not used."""


def _serving_shards(board: blackboard.Blackboard) -> list[str]:
    """Return the other shards in service; each shard is one zone."""
    return sorted(
        zone.name
        for zone in board.config.zones_by_name.values()
        if zone.is_in_service and zone.name != board.shard
    )


def _slack(board: blackboard.Blackboard, shard: str) -> int:
    """Return the free accelerators beyond what the waiting jobs request.

    It is negative if they request more, and 0 if the shard's load is not
    known.
    """
    load = board.peers_by_shard.get(shard)
    if load is None:
        return 0
    return load.free_accelerators - load.waiting_accelerators


def _deduct_move(
    board: blackboard.Blackboard, shard: str, accelerators: int
) -> None:
    load = board.peers_by_shard.get(shard)
    if load is not None:
        free = load.free_accelerators - accelerators
        board.peers_by_shard[shard] = dataclasses.replace(
            load, free_accelerators=free
        )


def _count_accelerators(job: jobs.Job) -> int:
    return max(job.spec.accelerators, 1) * job.spec.members


class _MovePlanner:
    """Collects the moves of a round; repeats each until the job is moved."""

    def __init__(self, board: blackboard.Blackboard, now: float) -> None:
        self._board = board
        self._now = now
        self._previous_targets = board.soft_state.targets_by_job_id
        self.targets: dict[str, str] = {}
        self.decided: list[commands.Command] = []

    def move(self, view: blackboard.JobView, shard: str) -> None:
        """Move one job; a move in progress keeps its target."""
        job = view.job
        target = self._previous_targets.get(job.id)
        if target is None:
            target = shard
            _deduct_move(self._board, shard, _count_accelerators(job))
        self.targets[job.id] = target
        self.decided.append(commands.MoveJob(job, view.row_version, target))

    @property
    def is_full(self) -> bool:
        """Return whether the limit of moves in progress is reached."""
        return len(self.targets) >= _MAX_MOVES


def move_out(
    board: blackboard.Blackboard,
    waiting: list[blackboard.JobView],
    now: float,
) -> list[commands.Command]:
    """Move waiting jobs, in their order, out of a zone out of service.

    Shards with enough free cells beyond what their waiting jobs request
    come first, then those where the account has a guarantee, then those
    with the most free cells beyond these requests.
    """
    serving = _serving_shards(board)
    mover = _MovePlanner(board, now)
    for view in waiting:
        if mover.is_full or not serving:
            break
        account = board.config.accounts_by_name.get(view.job.account)
        granted = account.guarantees_by_zone if account is not None else {}

        def rank(
            shard: str, granted: typing.Any = granted, view: typing.Any = view
        ) -> tuple[bool, bool, int, str]:
            slack = _slack(board, shard)
            fits = slack >= _count_accelerators(view.job)
            return (not fits, shard not in granted, -slack, shard)

        mover.move(view, min(serving, key=rank))
    board.soft_state.targets_by_job_id = mover.targets
    return mover.decided


def move_to_free(
    board: blackboard.Blackboard,
    settings: options.Settings,
    waiting: list[tuple[blackboard.JobView, shapes.Shape]],
    diverted: list[tuple[blackboard.JobView, shapes.Shape]],
    now: float,
) -> list[commands.Command]:
    """Move jobs that cannot be placed to shards where they fit.

    Jobs in ``diverted`` move without having waited.
    """
    mover = _MovePlanner(board, now)
    serving = [
        shard
        for shard in _serving_shards(board)
        if _is_fresh(board, shard, now)
    ]
    if not serving:
        waiting = []
    for view, shape in diverted:
        shard = _find_fitting_shard(board, serving, shape)
        if shard is not None and not mover.is_full:
            mover.move(view, shard)
    first_seen = board.soft_state.first_seen_by_job_id
    for view, shape in waiting:
        waited_s = now - first_seen.get(view.job.id, now)
        if waited_s < settings.scheduler.balance_after_s:
            continue
        if mover.is_full:
            break
        shard = _find_fitting_shard(board, serving, shape)
        if shard is not None:
            mover.move(view, shard)
    board.soft_state.targets_by_job_id = mover.targets
    return mover.decided


def _is_fresh(board: blackboard.Blackboard, shard: str, now: float) -> bool:
    load = board.peers_by_shard.get(shard)
    return load is not None and now - load.received_at <= _MAX_BEACON_AGE_S


def drop_old_loads(board: blackboard.Blackboard, now: float) -> None:
    """Drop the published loads that are too old to be used."""
    for shard in list(board.peers_by_shard):
        if not _is_fresh(board, shard, now):
            del board.peers_by_shard[shard]


def fits_on_another_shard(
    board: blackboard.Blackboard, shape: shapes.Shape, now: float
) -> bool:
    """Return whether another shard has free cells for the shape."""
    serving = [
        shard
        for shard in _serving_shards(board)
        if _is_fresh(board, shard, now)
    ]
    return _find_fitting_shard(board, serving, shape) is not None


def _find_fitting_shard(
    board: blackboard.Blackboard,
    serving: list[str],
    shape: shapes.Shape,
) -> str | None:
    """Return the shard with the most free cells among those that fit.

    Jobs that wait there are not deducted: they do not fit into its free
    cells, or they would run.
    """
    best: str | None = None
    most_free = 0
    for shard in serving:
        load = board.peers_by_shard[shard]
        free = load.free_accelerators
        if free < shape.accelerators or load.largest_free < shape.size:
            continue
        if free > most_free:
            best, most_free = shard, free
    return best
