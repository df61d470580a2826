"""Differential worker reports, which hold only the changes since a report.

The sender of a batch gives the number of the last complete report that it
holds.  A worker that still has that report answers with the tasks that
changed and the keys of tasks that it no longer has; otherwise it sends a full
report.  A difference is applied only to the report that it builds on, of the
same incarnation.
"""

from collections import abc

import msgspec

from primroselock.workers import protocol

Tasks = tuple[protocol.TaskReport, ...]


def difference(
    base: Tasks, now: Tasks
) -> tuple[Tasks, tuple[protocol.TaskKey, ...]]:
    """Return the tasks of ``now`` that differ, and the removed keys."""
    old_by_key = _by_key(base)
    new_by_key = _by_key(now)
    changed = tuple(task for task in now if old_by_key.get(task.task) != task)
    removed = tuple(key for key in old_by_key if key not in new_by_key)
    return changed, removed


def apply_difference(
    known: protocol.Report | None, received: protocol.Report
) -> protocol.Report | None:
    """Return ``received`` as a full report.

    None when ``known`` is not the report that ``received`` builds on.
    """
    if not received.builds_on:
        return received
    if known is None or known.boot_id != received.boot_id:
        return None
    if known.number != received.builds_on:
        return None
    tasks = known.tasks
    if received.tasks or received.gone:
        tasks_by_key = _by_key(known.tasks)
        tasks_by_key.update(_by_key(received.tasks))
        for key in received.gone:
            tasks_by_key.pop(key, None)
        tasks = tuple(tasks_by_key.values())
    return msgspec.structs.replace(received, tasks=tasks, builds_on=0, gone=())


def _by_key(
    tasks: abc.Iterable[protocol.TaskReport],
) -> dict[protocol.TaskKey, protocol.TaskReport]:
    return {task.task: task for task in tasks}
