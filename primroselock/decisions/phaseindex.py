"""An index of the groups of a blackboard by their phase.

A round visits the groups that wait, start or stop, and the jobs whose end
has to be applied; all others may be many and are not visited.  Waiting
groups are indexed by step: the groups of a step need the same and are
equally urgent, so that what holds for one of them holds for all.
"""

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from primroselock.decisions import livejobs


@dataclasses.dataclass(slots=True)
class PhaseIndex:
    """The groups that wait, by step, and those that start or stop.

    ``unsettled`` are the groups that are done while a member of theirs may
    still run, as far as is known.
    ``ending_jobs`` are the jobs that have ended or are cancelled and are
    still on the blackboard; ``unreleased_jobs`` are those with occurrences
    that are not due yet.
    """

    waiting_by_step: dict[
        'livejobs.StepName', dict['livejobs.Group', None]
    ] = dataclasses.field(default_factory=dict)
    starting: dict['livejobs.Group', None] = dataclasses.field(
        default_factory=dict
    )
    stopping: dict['livejobs.Group', None] = dataclasses.field(
        default_factory=dict
    )
    unsettled: dict['livejobs.Group', None] = dataclasses.field(
        default_factory=dict
    )
    ending_jobs: dict['livejobs.LiveJob', None] = dataclasses.field(
        default_factory=dict
    )
    unreleased_jobs: dict['livejobs.LiveJob', None] = dataclasses.field(
        default_factory=dict
    )

    @property
    def waiting(self) -> list['livejobs.Group']:
        """Return all waiting groups."""
        return [
            group
            for groups in self.waiting_by_step.values()
            for group in groups
        ]

    def leave(self, group: 'livejobs.Group') -> None:
        """Remove a group from the index."""
        waiting = self.waiting_by_step.get(group.step_name)
        if waiting is not None:
            waiting.pop(group, None)
            if not waiting:
                del self.waiting_by_step[group.step_name]
        self.starting.pop(group, None)
        self.stopping.pop(group, None)
        self.unsettled.pop(group, None)

    def add_waiting(self, group: 'livejobs.Group') -> None:
        """Add a group that waits for capacity."""
        self.waiting_by_step.setdefault(group.step_name, {})[group] = None

    def note_terminated(self, group: 'livejobs.Group') -> None:
        """Note that a member of a group cannot run any more."""
        if group in self.unsettled and not group.remaining_members():
            del self.unsettled[group]
