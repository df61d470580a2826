"""Log lines are rate limited and never block the writer."""

import os
import unittest

import structlog

from primroselock import logs


class RateLimitTest(unittest.TestCase):
    """Excess lines of one event are dropped and counted."""

    def test_excess_lines_are_dropped_and_counted(self) -> None:
        limiter = logs._EventRateLimiter()
        passed = 0
        for _ in range(1000):
            try:
                limiter(None, 'info', {'event': 'flood'})
                passed += 1
            except structlog.DropEvent:
                continue
        self.assertLess(passed, 300)
        limiter(None, 'info', {'event': 'other'})
        tokens, filled_at, dropped = limiter._tokens_by_event['flood']
        self.assertGreater(dropped, 0)
        limiter._tokens_by_event['flood'] = (2.0, filled_at, dropped)
        line = limiter(None, 'info', {'event': 'flood'})
        self.assertEqual(dropped, dict(line)['dropped'])


class OutputTest(unittest.TestCase):
    """A reader that stalls does not block the writer."""

    def test_a_full_pipe_drops_lines_and_reports_the_loss(self) -> None:
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
        self.assertIn(b'lines dropped', os.read(reading, 65536))
