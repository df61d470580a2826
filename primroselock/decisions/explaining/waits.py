"""Names what a group waits for, and when that is expected to end.

What holds a group back is decided by the functions of the round; here it is
only put into words, by what was seen of the group in the rehearsal.
"""

from collections import abc
import typing

from primroselock.decisions import earlierruns
from primroselock.decisions.explaining import records
from primroselock.decisions.explaining import rehearsal
from primroselock.decisions.explaining import workerrules
from primroselock.decisions import livejobs
from primroselock.decisions import slices
from primroselock.decisions import waiting

_MS_PER_S: typing.Final = 1000

FindWait = abc.Callable[
    [rehearsal.Rehearsal, livejobs.Group, rehearsal.Judged | None],
    records.Wait | None,
]
_waits: typing.Final[list[FindWait]] = []


def wait(find: FindWait) -> FindWait:
    """Register the decorated reason to wait, after those before it."""
    _waits.append(find)
    return find


def find_job_wait(job: livejobs.LiveJob, turn: slices.Turn) -> records.Wait:
    """Return what keeps a whole job from being placed."""
    if job.is_cancelled:
        return records.Wait('cancelled', 'its cancellation was asked for')
    if job.queue is None:
        return records.Wait('queue', 'its queue is not in the configuration')
    if not job.released:
        due_s = job.graph.due_ms(0) / _MS_PER_S - turn.wall_s
        return records.Wait('due', f'its first run is due in {due_s:.1f} s')
    return records.Wait()


def find_group_wait(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    phase: livejobs.Phase,
    outcome: records.Outcome,
    judged: rehearsal.Judged | None,
) -> records.Wait:
    """Return what a group waits for that was in ``phase`` before the round."""
    if phase is livejobs.Phase.BLOCKED:
        steps = ', '.join(str(number) for number in group.step.after)
        return records.Wait('steps', f'waits until step {steps} is done')
    if phase is not livejobs.Phase.WAITING:
        return records.Wait()
    if outcome is records.Outcome.PLACED:
        return records.Wait()
    for find in _waits:
        found = find(rehearsed, group, judged)
        if found is not None:
            return found
    if outcome is records.Outcome.STOPS_OTHERS:
        return records.Wait('stops', 'waits until stopped work has ended')
    if outcome is records.Outcome.CLAIMS:
        return records.Wait(
            'claim', 'waits until the claimed workers are free'
        )
    if judged is not None and judged.is_usable:
        return records.Wait(*_name_unplaced(group))
    return records.Wait('room', 'no worker can take it now')


def find_start(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    phase: livejobs.Phase,
    outcome: records.Outcome,
    judged: rehearsal.Judged | None,
) -> records.Expected:
    """Return when a group is expected to start; unknown once it is placed."""
    if phase is not livejobs.Phase.WAITING:
        return records.Expected()
    if outcome is records.Outcome.PLACED:
        return records.Expected(0.0, records.Source.ROUND)
    if outcome is records.Outcome.STOPS_OTHERS:
        stop_s = rehearsed.settings.stop_s
        return records.Expected(stop_s, records.Source.STOPS)
    if judged is None or not rehearsed.is_permitted or judged.quota_lack:
        return records.Expected()
    not_before = max(group.not_before, group.yields_until)
    delay_s = not_before - rehearsed.turn.now
    free_s = judged.free_in_s
    if free_s is None:
        return records.Expected()
    if delay_s > free_s:
        return records.Expected(round(delay_s, 3), records.Source.DELAY)
    if judged.is_usable and not free_s:
        # There is room, and something else holds it back.
        return records.Expected()
    return records.Expected(round(free_s, 3), records.Source.ENDS)


def name_rest(
    judged: rehearsal.Judged,
    outcome: records.Outcome,
    finding: workerrules.Finding | None,
) -> tuple[str, str]:
    """Return the rule and the reason of a worker that is not chosen."""
    if finding is not None:
        return finding.rule, finding.why
    if outcome is records.Outcome.WAITS:
        if not judged.is_listed:
            return 'turn', 'could be used once the group is not held back'
        return _name_unplaced(judged.group)
    return 'choice', 'could be used; others suit it better'


def _name_unplaced(group: livejobs.Group) -> tuple[str, str]:
    """Return why a group is not placed though some workers could be used."""
    if group.size == 1:
        return 'turn', 'could be used; more urgent work goes first'
    where = ''
    if group.step.rack_local and not group.may_span_racks:
        where = ' in one rack'
    return 'gang', f'not enough room{where} for all {group.size} tasks'


@wait
def _needs_permit(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    judged: rehearsal.Judged | None,
) -> records.Wait | None:
    if rehearsed.is_permitted:
        return None
    bound = rehearsed.board.permit_bound
    return records.Wait('permit', f'nothing may start: {bound} not confirmed')


@wait
def _is_kept(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    judged: rehearsal.Judged | None,
) -> records.Wait | None:
    """Say why a group may not be placed, if the round says that it may not."""
    now = rehearsed.turn.now
    held = earlierruns.list_held(rehearsed.board, now)
    if waiting.keep_placeable([group], held, now):
        return None
    if group in held:
        return records.Wait('earlier run', 'an earlier attempt may still run')
    if group.not_before > now:
        left_s = group.not_before - now
        return records.Wait('delay', f'retried in {left_s:.2f} s')
    if not group.job.may_be_placed(now):
        return records.Wait('store', 'the store refuses the job its progress')
    return records.Wait('ended', 'its job is cancelled or has ended')


@wait
def _lacks_quota(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    judged: rehearsal.Judged | None,
) -> records.Wait | None:
    if judged is None or not judged.quota_lack:
        return None
    return records.Wait('quota', judged.quota_lack)


@wait
def _yields(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    judged: rehearsal.Judged | None,
) -> records.Wait | None:
    left_s = group.yields_until - rehearsed.turn.now
    if judged is None or judged.is_listed or left_s <= 0:
        return None
    return records.Wait(
        'delay', f'was stopped for other work; yields for {left_s:.2f} s'
    )
