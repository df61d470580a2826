"""Log lines are bounded and never block."""

import os
import unittest

import structlog

from primroselock import logs


class BudgetTest(unittest.TestCase):
    """Too many lines of one event are dropped, and counted."""

    def test_a_flood_is_cut_and_counted(self) -> None:
        budget = logs._EventRateLimiter()
        passed = 0
        for _ in range(1000):
            try:
                budget(None, 'info', {'event': 'flood'})
                passed += 1
            except structlog.DropEvent:
                continue
        self.assertLess(passed, 300)
        budget(None, 'info', {'event': 'other'})
        saved, filled_at, dropped = budget._tokens_by_event['flood']
        self.assertGreater(dropped, 0)
        budget._tokens_by_event['flood'] = (2.0, filled_at, dropped)
        line = budget(None, 'info', {'event': 'flood'})
        self.assertEqual(dropped, dict(line)['dropped'])


class OutputTest(unittest.TestCase):
    """A reader that stands still does not stop the writer."""

    def test_a_full_pipe_loses_lines_and_says_so(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        output = logs._Output(writing)
        for _ in range(5000):
            output.msg('x' * 100)
        self.assertGreater(output._dropped_lines, 0)
        while len(os.read(reading, 65536)) == 65536:
            continue
        output.msg('after')
        self.assertIn(b'lost lines', os.read(reading, 65536))
