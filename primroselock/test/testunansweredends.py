"""Members whose start got no answer are settled, whatever ends their group.

Until then they keep the capacity of a worker on which nothing runs (LOST).
"""

import dataclasses
import itertools
import typing
import unittest

from primroselock.test import unansweredbuilders

_Fate: typing.Final = unansweredbuilders.Fate
_Story: typing.Final = unansweredbuilders.Story
_BACK: typing.Final = (_Fate.RESTARTED, _Fate.MOVED)
_BEFORE_S, _DURING_S, _AFTER_S = 0.6, 1.0, 4.0
"""When the fate comes: before, at or after the end of the gang."""

_BEHIND_S, _AHEAD_S = 0.0, 1_000_000.0
"""A clock that is far behind or ahead of that of the boot before."""


class UnansweredStartTest(unittest.TestCase):
    """Each end of a gang beside each fate of the worker."""

    def _check(self, *stories: unansweredbuilders.Story) -> None:
        for story in stories:
            with self.subTest(story=story):
                self.assertEqual([], unansweredbuilders.play(story))

    def test_the_next_boot_has_a_clock_that_is_behind(self) -> None:
        """Guards against a worker that counts as full for good (review/13).

        The gang is done by another member's end.
        """
        self._check(_Story(_Fate.RESTARTED, _AFTER_S))

    def test_each_end_and_fate(self) -> None:
        """Guards against a member that no event settles."""
        self._check(
            *(
                _Story(fate, at_s, end)
                for fate, at_s, end in itertools.product(
                    _Fate,
                    (_BEFORE_S, _DURING_S, _AFTER_S),
                    unansweredbuilders.End,
                )
            )
        )

    def test_a_clock_that_is_ahead(self) -> None:
        """Guards against times of one boot compared with another's clock."""
        self._check(
            *(
                _Story(fate, at_s, end, clock_s=_AHEAD_S)
                for fate, at_s, end in itertools.product(
                    _BACK,
                    (_BEFORE_S, _DURING_S, _AFTER_S),
                    unansweredbuilders.End,
                )
            )
        )

    def test_the_restart_is_known_before_the_end(self) -> None:
        """Guards against a mend that only the restart itself brings about."""
        self._check(
            *(
                _Story(
                    fate,
                    at_s,
                    clock_s=clock_s,
                    is_end_late=True,
                    heard_after_s=heard_after_s,
                )
                for fate, at_s, clock_s, heard_after_s in itertools.product(
                    _BACK,
                    (_BEFORE_S, 1.2, _AFTER_S),
                    (_BEHIND_S, _AHEAD_S),
                    (0.3, 1.0, 3.0),
                )
            )
        )

    def test_a_holder_that_takes_over(self) -> None:
        """Guards against members that only an earlier holder could settle."""
        self._check(
            *(
                _Story(fate, at_s, is_taken_over=True, is_end_late=is_end_late)
                for fate, at_s, is_end_late in itertools.product(
                    _Fate, (_DURING_S, _AFTER_S), (False, True)
                )
            )
        )

    def test_a_start_that_begins_on_the_next_boot(self) -> None:
        """Guards against a run of a done gang that is left to itself."""
        story = _Story(_Fate.RESTARTED, _AFTER_S, outlives=True, late_s=8.0)
        for late_s in (4.7, 6.0, 8.0):
            changed = dataclasses.replace(story, late_s=late_s)
            self._check(changed)


if __name__ == '__main__':
    unittest.main()
