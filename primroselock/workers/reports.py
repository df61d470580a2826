"""Reports that tell only what changed since one that was heard.

The sender of a batch names the last report that it holds whole.  A worker
that still knows what it said then answers with the tasks that differ and
those that are gone; any other answer is whole.  A difference is applied
only to the very report that it builds on, of the same incarnation.
"""

from collections import abc

import msgspec

from primroselock.workers import protocol

Tasks = tuple[protocol.TaskReport, ...]


def difference(
    base: Tasks, now: Tasks
) -> tuple[Tasks, tuple[protocol.TaskKey, ...]]:
    """Return the tasks of ``now`` that differ, and the keys that are gone."""
    old_by_key = _by_key(base)
    new_by_key = _by_key(now)
    changed = tuple(task for task in now if old_by_key.get(task.task) != task)
    gone = tuple(key for key in old_by_key if key not in new_by_key)
    return changed, gone


def apply_difference(
    known: protocol.Report | None, heard: protocol.Report
) -> protocol.Report | None:
    """Return ``heard`` as a whole report; None when it cannot be made."""
    if not heard.builds_on:
        return heard
    if known is None or known.boot_id != heard.boot_id:
        return None
    if known.number != heard.builds_on:
        return None
    tasks = known.tasks
    if heard.tasks or heard.gone:
        tasks_by_key = _by_key(known.tasks)
        tasks_by_key.update(_by_key(heard.tasks))
        for key in heard.gone:
            tasks_by_key.pop(key, None)
        tasks = tuple(tasks_by_key.values())
    return msgspec.structs.replace(heard, tasks=tasks, builds_on=0, gone=())


def _by_key(
    tasks: abc.Iterable[protocol.TaskReport],
) -> dict[protocol.TaskKey, protocol.TaskReport]:
    return {task.task: task for task in tasks}
