"""Turns of waiting steps at the advice service."""

import unittest

from primroselock.decisions import advising
from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock.test import fleetbuilders


class AdviceTurnsTest(unittest.TestCase):
    """Steps of which each needs tickets for a hundred workers."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(
            epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        for number in range(100):
            entry = fleetbuilders.build_entry(f'n{number:03}')
            self.board.record_entry(entry, 0.0)

    def ask(self, requests: int, answer_s: float, valid_s: float) -> list[str]:
        """Answer requests one after another; return the jobs asked about."""
        now = 10.0
        asked = []
        for _ in range(requests):
            request = advising.next_request(self.board, now)
            if request is None:
                break
            asked.append(request.step.job_id)
            given = {worker_id: 't' for worker_id in request.worker_ids}
            advising.record_answer(self.board, request, given, now + valid_s)
            now += answer_s
        return asked

    def submit(self, *names: str) -> None:
        for name in names:
            graph = fleetbuilders.build_graph(name, queue='advised')
            graphs.add_job(self.board, graph, None, 0, 10.0, 10_000)

    def test_a_step_that_waits_does_not_keep_others_from_tickets(
        self,
    ) -> None:
        """Guards against one job that asks for ever while all others wait.

        Its first tickets have expired before it has the last ones.
        """
        self.submit('first', 'second', 'third')
        asked = self.ask(6, answer_s=1.0, valid_s=3.0)
        self.assertEqual({'first', 'second', 'third'}, set(asked[:3]))

    def test_each_step_gets_all_its_tickets(self) -> None:
        self.submit('first', 'second')
        asked = self.ask(20, answer_s=0.1, valid_s=60.0)
        self.assertEqual(4, asked.count('first'))
        self.assertEqual(4, asked.count('second'))


if __name__ == '__main__':
    unittest.main()
