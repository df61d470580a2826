"""Registry of controllers, and the round that runs them.

A controller reads the blackboard, the settings and the time, may replace
records on the blackboard, and returns commands.  Controllers are
registered by a decorator with their position in the order; a round runs
all of them.
"""

from collections import abc
import dataclasses

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock import options

Decide = abc.Callable[
    [blackboard.Blackboard, options.Settings, float],
    list[commands.Command],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Controller:
    """A registered controller; lower ``order`` runs first."""

    name: str
    order: int
    decide: Decide


controllers_by_name: dict[str, Controller] = {}


def controller(name: str, order: int) -> abc.Callable[[Decide], Decide]:
    """Return a decorator that registers a function as a controller."""

    def register(decide: Decide) -> Decide:
        controllers_by_name[name] = Controller(name, order, decide)
        return decide

    return register


def run_round(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Run every controller once, in order, and return their commands."""
    decided: list[commands.Command] = []
    ordered = sorted(controllers_by_name.values(), key=lambda c: c.order)
    for entry in ordered:
        decided.extend(entry.decide(board, settings, now))
    return decided
