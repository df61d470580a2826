"""The advice about a worker is for one boot of it."""

import dataclasses
import unittest

from primroselock.decisions import advising
from primroselock.decisions import runs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.workers import orders

_VALID_S = 60.0


class RestartTest(unittest.TestCase):
    """The only worker is back as the next boot."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(1)
        self.board = self.site.board
        step = fleetbuilders.build_step(1, 1)
        job = self.site.submit('j', step, run_s=30.0, queue='advised')
        (self.group,) = job.groups_by_key.values()

    def answer(
        self, request: advising.AdviceRequest, tickets: dict[str, str]
    ) -> None:
        """Answer a request for advice."""
        valid_until = self.site.now + _VALID_S
        advising.record_answer(self.board, request, tickets, valid_until)

    def ask(self) -> advising.AdviceRequest:
        """Return the request that is due; fail if none is."""
        request = advising.next_request(self.board, self.site.now)
        assert request is not None
        self.assertEqual(('n000',), request.worker_ids)
        return request

    def restart(self) -> None:
        """Let the worker publish and report the next boot."""
        self.site.now += 1.0
        worker = self.board.workers_by_id['n000']
        entry = dataclasses.replace(worker.entry, boot=2)
        self.board.record_entry(entry, self.site.now)
        report = orders.RunReport(0.0, 2, (), ())
        now = self.site.now
        runs.record_poll(self.board, worker, report, now, now, 0)

    def has_ticket(self) -> bool:
        """Return whether the worker may run the step."""
        now = self.site.now
        return (
            advising.ticket_for(self.board, self.group, 'n000', now)
            is not None
        )

    def test_a_ticket_is_for_one_boot(self) -> None:
        """Guards against starts that are refused for want of a ticket."""
        self.answer(self.ask(), {'n000': 't'})
        self.assertTrue(self.has_ticket())
        self.restart()
        self.assertFalse(self.has_ticket())
        self.answer(self.ask(), {'n000': 't'})
        self.assertTrue(self.has_ticket())

    def test_a_refusal_is_for_one_boot(self) -> None:
        """Guards against work that waits for ever beside the next boot."""
        self.answer(self.ask(), {})
        self.restart()
        self.answer(self.ask(), {'n000': 't'})
        self.assertTrue(self.has_ticket())

    def test_an_answer_about_the_boot_before_does_not_count(self) -> None:
        """Guards against advice that was under way during the restart."""
        request = self.ask()
        self.restart()
        self.answer(request, {'n000': 't'})
        self.assertFalse(self.has_ticket())

    def test_a_worker_that_was_forgotten_is_asked_about_again(self) -> None:
        """Guards against advice that outlives what it is about."""
        self.answer(self.ask(), {})
        entry = self.board.workers_by_id['n000'].entry
        self.board.record_unlisted('n000')
        self.board.record_entry(
            dataclasses.replace(entry, boot=2), self.site.now
        )
        self.ask()


if __name__ == '__main__':
    unittest.main()
