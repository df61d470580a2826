"""Rounds that are interrupted and go on later.

What may take long yields between two decisions that each stand for
themselves.  Whoever runs it lets other tasks work there whenever enough time
has passed, and says at what time it goes on.  Anything on the blackboard may
have changed by then, so that what was read before a pause is read again.
"""

from collections import abc
import dataclasses


@dataclasses.dataclass(slots=True)
class Turn:
    """The time at which a round works, and how often it was interrupted.

    ``now`` is on this process's clock; ``wall_s`` is since the Unix epoch.
    ``has_prepared`` is set by a part of the round that had to read much
    before its next decision, such as all workers after a pause: if it were
    paused soon, it would do hardly anything else.
    """

    now: float
    wall_s: float
    pauses: int = 0
    has_prepared: bool = False

    def resume(self, now: float, wall_s: float) -> None:
        """Go on at another time, after other tasks have worked."""
        self.now = now
        self.wall_s = wall_s
        self.pauses += 1


Slices = abc.Generator[None, None, None]
"""A part of a round; it may be interrupted wherever it yields."""
