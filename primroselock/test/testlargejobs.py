"""Jobs with thousands of tasks: the cost of rounds, reports and starts."""

import cProfile
import pstats
import unittest

import msgspec

from primroselock.decisions import fleetround
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import startchecks
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_WALL_S = 1_000_000.0
_SMALL = jobgraph.Resources(1, 1, 0)
_MAX_GROWTH = 1.3
"""How much more than proportional the cost may grow."""


def _count_calls(occurrences: int, label: str) -> int:
    """Return the function calls of a round beside due occurrences."""
    site = idlebuilders.Site(8)
    step = fleetbuilders.build_step(1, 1, 5000, label=label)
    graph = msgspec.structs.replace(
        fleetbuilders.build_graph('j', step),
        occurrences=occurrences,
        first_due_ms=1,
        period_ms=1,
    )
    wall_ms = int(_WALL_S * 1000)
    graphs.add_job(site.board, graph, None, 0, site.now, wall_ms)
    profile = cProfile.Profile()
    # The first round places what has room, and fills the caches.
    fleetround.run(site.board, site.settings, site.now, _WALL_S)
    profile.enable()
    fleetround.run(site.board, site.settings, site.now + 0.1, _WALL_S)
    profile.disable()
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


class RoundTest(unittest.TestCase):
    """The cost of a round follows what waits, not its square."""

    def test_due_occurrences_without_a_worker(self) -> None:
        """Guards against holders that stand still for a job (review/1)."""
        self._check_growth('gone')

    def test_due_occurrences_beside_running_ones(self) -> None:
        """Guards against the same where some of them have room."""
        self._check_growth('')

    def _check_growth(self, label: str) -> None:
        few, many = (_count_calls(count, label) for count in (250, 1000))
        self.assertLess(many, 4 * few * _MAX_GROWTH)


def _place_tasks(tasks: int) -> tuple[idlebuilders.Site, livejobs.LiveJob]:
    """Return a site whose only worker holds placed tasks of one step."""
    site = idlebuilders.Site(1)
    step = jobgraph.Step(tasks, _SMALL, 5000)
    job = site.submit('j', step, run_s=5.0, queue='bulk')
    fleetround.run(site.board, site.settings, site.now, site.now)
    return site, job


def _count_report_calls(tasks: int) -> int:
    """Return the calls of a step in which all tasks end in one report."""
    site, job = _place_tasks(tasks)
    site.step()
    site.now += 10.0
    profile = cProfile.Profile()
    profile.enable()
    site.step()
    profile.disable()
    assert job.state.is_final
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def _count_start_calls(tasks: int) -> int:
    """Return the calls of the checks before the starts of all tasks."""
    site, job = _place_tasks(tasks)
    profile = cProfile.Profile()
    profile.enable()
    for group in job.groups_by_key.values():
        assert not startchecks.find_obstacle(
            site.board, group.members, site.now
        )
        group.members[0].state = livejobs.MemberState.ORDERED
    profile.disable()
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


class OneWorkerTest(unittest.TestCase):
    """The cost of many tasks on one worker follows their number."""

    def test_ends_in_one_report(self) -> None:
        """Guards against a look at all tasks of a step for each end."""
        few, many = (_count_report_calls(count) for count in (250, 1000))
        self.assertLess(many, 4 * few * _MAX_GROWTH)

    def test_starts_on_one_worker(self) -> None:
        """Guards against a look at all members of a worker for each start."""
        few, many = (_count_start_calls(count) for count in (250, 1000))
        self.assertLess(many, 4 * few * _MAX_GROWTH)


if __name__ == '__main__':
    unittest.main()
