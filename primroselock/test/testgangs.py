"""All members of a gang start or none, on the decision core alone."""

import dataclasses
import msgspec
import unittest

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import controllers
from primroselock.decisions import registry
from primroselock import jobs
from primroselock.test import builders
from primroselock.workers import protocol

assert controllers.__all__


class GangTest(unittest.TestCase):
    """Phases of an attempt."""

    def setUp(self) -> None:
        self.settings = builders.build_settings()
        self.board = builders.build_board()
        self.board.record_job(builders.build_job(members=2, accelerators=8), 1)

    def run_round(self, now: float) -> list[commands.Command]:
        """Let every worker report at ``now``, then run a decision round."""
        for worker_id, view in self.board.workers_by_id.items():
            self.board.workers_by_id[worker_id] = dataclasses.replace(
                view, received_at=now, sent_at=now
            )
        return registry.run_round(self.board, self.settings, now)

    def report(self, worker_id: str, *tasks: protocol.TaskReport) -> None:
        """Set the tasks in a worker's last report."""
        view = self.board.workers_by_id[worker_id]
        assert view.report is not None
        report = msgspec.structs.replace(view.report, tasks=tasks)
        self.board.workers_by_id[worker_id] = dataclasses.replace(
            view, report=report
        )

    def test_nothing_is_committed_until_all_members_are_reserved(self) -> None:
        reserves = self.run_round(1.0)
        self.assertEqual(2, len(reserves))
        sent = reserves[0]
        assert isinstance(sent, commands.SendToWorker)
        reserved = protocol.TaskReport(
            sent.command.task, protocol.TaskState.RESERVED
        )
        self.report(sent.worker_id, reserved)
        decided = self.run_round(1.1)
        self.assertFalse(
            [c for c in decided if isinstance(c, commands.WriteJob)]
        )
        other = reserves[1]
        assert isinstance(other, commands.SendToWorker)
        reserved = protocol.TaskReport(
            other.command.task, protocol.TaskState.RESERVED
        )
        self.report(other.worker_id, reserved)
        written = self.run_round(1.2)
        self.assertEqual(1, len(written))
        self.assertIsInstance(written[0], commands.WriteJob)

    def test_no_attempt_without_permit(self) -> None:
        self.board.permit_until = 0.5
        for command in self.run_round(1.0):
            # Only the reason for waiting may be written.
            assert isinstance(command, commands.WriteJob)
            waiting = self.board.jobs_by_id[command.job.id].job
            expected = dataclasses.replace(waiting, reason=command.job.reason)
            self.assertEqual(expected, command.job)
            self.assertIn('cannot be confirmed', command.job.reason)
        self.assertEqual({}, self.board.attempts_by_job_id)

    def test_one_failed_member_stops_the_other(self) -> None:
        placements = tuple(
            jobs.Placement(f'w{slot}', 'boot-1', tuple(range(8)), 8)
            for slot in range(2)
        )
        attempt = jobs.Attempt(1, 1, placements)
        job = builders.build_job(
            members=2,
            accelerators=8,
            state=jobs.JobState.RUNNING,
            attempt=attempt,
            attempts=1,
        )
        self.board.record_job(job, 2)
        view = blackboard.AttemptView(
            job.id, attempt, blackboard.Phase.RUNNING, 0.0
        )
        self.board.attempts_by_job_id[job.id] = view
        keys = [key for key, _ in view.tasks()]
        failed = protocol.TaskState.FAILED
        running = protocol.TaskState.RUNNING
        self.report('w0', protocol.TaskReport(keys[0], failed))
        self.report('w1', protocol.TaskReport(keys[1], running))
        self.run_round(1.0)
        decided = self.run_round(1.1)
        self.assertIn(
            commands.SendToWorker('w1', protocol.Stop(keys[1])), decided
        )


if __name__ == '__main__':
    unittest.main()
