"""Jobs whose progress the store refuses: when to write and place again.

Such a job is written again after a delay that doubles with each refused
write, whether it changed since or not.  After several its placements that
wait to be stored are ended, so that they hold no capacity, and what is left
is written at once.  Nothing of the job is placed until that is stored and
the delay has passed.  A stored placement ends the refusal.
"""

import typing

from primroselock import backoff
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import runs

_FIRST_DELAY_S: typing.Final = 0.25
_MAX_DELAY_S: typing.Final = 10.0
_MAX_REFUSED_WRITES: typing.Final = 4
"""Refused writes after which a job's placements are ended."""


def record_refused(
    board: fleet.ShardBoard, job: livejobs.LiveJob, now: float, wall_ms: int
) -> None:
    """Record that the store refused a write of this job alone."""
    refusal = job.refusal or livejobs.Refusal()
    job.refusal = refusal
    refusal.writes += 1
    refusal.is_stored = False
    refusal.next_at = now + _delay_s(refusal.writes)
    if refusal.writes < _MAX_REFUSED_WRITES:
        return
    if _end_placements(board, job, now, wall_ms):
        refusal.has_ended_placements = True
        refusal.next_at = now


def record_stored(
    job: livejobs.LiveJob, has_placement: bool, now: float
) -> None:
    """Record that progress of a job is stored, maybe with a placement."""
    refusal = job.refusal
    if refusal is None:
        return
    # Without the ended placements the row was smaller: that it is stored
    # does not show that the store would take them.
    may_place_at_once = has_placement or not refusal.has_ended_placements
    if may_place_at_once or job.state.is_final:
        job.refusal = None
    elif not refusal.is_stored:
        refusal.is_stored = True
        refusal.next_at = now + _delay_s(refusal.writes)


def may_write(job: livejobs.LiveJob, now: float) -> bool:
    """Return whether changes of a job may be written now."""
    refusal = job.refusal
    return refusal is None or refusal.is_stored or now >= refusal.next_at


def _delay_s(writes: int) -> float:
    return backoff.doubled_s(_FIRST_DELAY_S, writes - 1, _MAX_DELAY_S)


def _end_placements(
    board: fleet.ShardBoard, job: livejobs.LiveJob, now: float, wall_ms: int
) -> bool:
    """End the attempts that are not stored; return whether any was."""
    groups = [
        group
        for group in job.groups_by_key.values()
        if group.phase is livejobs.Phase.COMMITTING
    ]
    for group in groups:
        runs.end_group(
            board, group, livejobs.EndReason.NOT_STORED, now, wall_ms
        )
    return bool(groups)
