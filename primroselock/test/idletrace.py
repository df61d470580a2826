"""Explains why the holder of a shard does not place the work of a job.

For each sound worker with free capacity it names the first check of the
holder that excludes the worker, and counts the workers by check.
"""

from collections import abc

from primroselock.decisions import claimindex
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions import reachability
from primroselock.decisions import sharing
from primroselock.decisions import waiting
from primroselock.test import fleetbuilders
from primroselock.test import idlecapacity
from primroselock.test import simulatedworker


def explain(
    world: fleetbuilders.World, violation: idlecapacity.Violation
) -> list[str]:
    """Return lines that explain a violation by the holder's blackboard."""
    found = _find_board(world)
    if found is None:
        return ['no node decides']
    name, board = found
    now = violation.at
    lines = [
        f'holder {name} of epoch {board.epoch}; earlier leases end in '
        f'{board.inherited_leases.others_until - now:.1f} s, permit ends in '
        f'{board.permit_until - now:.1f} s'
    ]
    job = board.jobs_by_id.get(violation.job_id)
    if job is None:
        return [*lines, 'the job is not on the blackboard']
    guaranteed_ids = waiting.guaranteed_job_ids(board)
    for group in job.groups_of_step(violation.occurrence, violation.step)[:3]:
        lines += _explain_group(board, group, guaranteed_ids, now)
        rank = waiting.rank(group, guaranteed_ids)
        sound = [
            worker
            for worker in idlecapacity.list_sound(world)
            if idlecapacity.count_fitting([worker], group.step)
        ]
        lines += _explain_workers(board, group, rank, sound, now)
    return lines


def _find_board(
    world: fleetbuilders.World,
) -> tuple[str, fleet.ShardBoard] | None:
    for node in world.nodes:
        session = node.holder._session
        if node.holder.lease.has_shard and session is not None:
            return node.settings.process.vm_id, session._board
    return None


def _explain_group(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    guaranteed_ids: abc.Set[str],
    now: float,
) -> list[str]:
    job, step = group.job, group.step
    wall_s = 1_700_000_000.0 + now
    traits = [
        trait
        for trait, is_set in (
            ('gang', step.gang),
            ('rack-local', step.rack_local),
            ('may span racks', group.may_span_racks),
            (f'label {step.label}', step.label),
            (f'at most {step.max_per_worker} a worker', step.max_per_worker),
        )
        if is_set
    ]
    lines = [
        f'group {group.key.index} of {job.graph.id}: '
        f'{group.phase.value} for {now - group.since:.1f} s, attempt '
        f'{group.attempt}, {group.failures} failures, {group.preemptions} '
        f'preemptions, not before {max(group.not_before - now, -9.9):.1f} s; '
        f'rank {waiting.rank(group, guaranteed_ids)}, '
        f'{objectives.usefulness(group, wall_s).name}, ' + ', '.join(traits)
    ]
    for member in group.remaining_members():
        worker = board.workers_by_id.get(member.worker_id)
        is_listed = worker is not None and worker.is_listed
        lines.append(
            f'  task {member.index} is {member.state.value} on '
            f'{member.worker_id}, listed: {is_listed}'
        )
    if group.avoided_worker_ids:
        lines.append(f'  avoids {sorted(group.avoided_worker_ids)}')
    return lines


def _explain_workers(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    rank: livejobs.Rank,
    sound: list[simulatedworker.FakeWorker],
    now: float,
) -> list[str]:
    claims = claimindex.ClaimIndex(dict(board.claims_by_group))
    unverified_ids = {w.id for w in reachability.list_unverified(board)}
    ids_by_check: dict[str, list[str]] = {}
    fits_by_rack: dict[str, int] = {}
    for fake in sound:
        worker = board.workers_by_id.get(fake.entry.id)
        check = 'not on the blackboard'
        if worker is not None:
            check = _find_check(board, worker, group, unverified_ids, now)
            if not check and claims.excludes(worker.id, group, rank):
                check = 'claimed'
        if not check and worker is not None:
            check = f'usable, rack {worker.entry.rack}'
            fits = worker.free.fit_count(group.step.counted_need)
            known = fits_by_rack.get(worker.entry.rack, 0)
            fits_by_rack[worker.entry.rack] = known + fits
        ids_by_check.setdefault(check, []).append(fake.entry.id)
    lines = [
        f'  {len(ids)} sound workers: {check}: {" ".join(ids)}'
        for check, ids in ids_by_check.items()
    ]
    lines.append(f'  tasks that fit by rack: {fits_by_rack}')
    for owner, claim in board.claims_by_group.items():
        lines.append(
            f'  claim of {owner.job.graph.id}.{owner.key.step} '
            f'({owner.size} tasks), rank {claim.rank}, '
            f'{now - claim.since:.1f} s old: {len(claim.worker_ids)} workers '
            f'{" ".join(sorted(claim.worker_ids))}'
        )
    return lines


def _find_check(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    group: livejobs.Group,
    unverified_ids: set[str],
    now: float,
) -> str:
    """Return the first check that excludes a worker, or ''."""
    closed = board.queue_configuration.zones_out_of_service
    known = board.failure_evidence.quarantines_by_worker_id.get(worker.id)
    checks = (
        ('not listed', not worker.is_listed),
        ('not polled', not worker.is_polled),
        (f'{worker.failures_in_row} calls failed', worker.failures_in_row),
        ('draining', worker.entry.is_draining),
        ('zone out of service', worker.entry.zone in closed),
        (
            f'quarantined, {known.times} in a row' if known else '',
            fleethealth.is_quarantined(board, worker.id, now),
        ),
        ('unverified', worker.id in unverified_ids),
        ('avoided', worker.id in group.avoided_worker_ids),
        ('may not share', not sharing.are_apart(worker, group.step)),
        (
            'full by the blackboard',
            not worker.free.can_fit(group.step.counted_need),
        ),
    )
    return next((check for check, excludes in checks if excludes), '')
