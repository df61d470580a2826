"""What is said of a job that waits, against what the next round does."""

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock.decisions.explaining import boardcopy
from primroselock.decisions.explaining import explanation
from primroselock.decisions.explaining import records
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock import queues
from primroselock.test import explainbuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_RUN_S: typing.Final = 60.0


def first_step(explained: records.JobExplanation) -> records.StepExplanation:
    """Return the first step of an explanation."""
    return explained.steps[0]


def count_rules(explained: records.JobExplanation) -> dict[str, int]:
    """Return by rule how many workers fell out for the first step."""
    return {each.rule: each.workers for each in first_step(explained).rules}


def list_chosen(explained: records.JobExplanation) -> list[str]:
    """Return the workers of the first step that fell out by no rule."""
    return [
        verdict.worker
        for verdict in first_step(explained).verdicts
        if not verdict.rule
    ]


class RuleTest(unittest.TestCase):
    """Each rule, on eight workers of eight accelerators in two zones."""

    def setUp(self) -> None:
        self.site = explainbuilders.build_site()

    def submit(
        self,
        job_id: str,
        accelerators: int = 8,
        tasks: int = 1,
        queue: str = 'batch',
        **changes: typing.Any,
    ) -> livejobs.LiveJob:
        """Submit a job of one step; nothing is placed before a round."""
        step = fleetbuilders.build_step(tasks, accelerators, 5_000, **changes)
        return self.site.submit(job_id, step, run_s=_RUN_S, queue=queue)

    def explain(self, job_id: str) -> records.JobExplanation:
        """Return the explanation of a job."""
        return explainbuilders.explain(self.site, job_id)

    def test_free_workers(self) -> None:
        """A single task: one worker is chosen, the others suit it less."""
        self.submit('j', 1)
        explained = self.explain('j')
        step = first_step(explained)
        self.assertIs(records.Outcome.PLACED, step.outcome)
        self.assertEqual(step.workers, list_chosen(explained))
        self.assertEqual({'choice': 7}, count_rules(explained))
        self.assertEqual(8, step.workers_looked_at)
        self.assertEqual(
            records.Expected(0.0, records.Source.ROUND), step.start
        )
        self.assertEqual(
            records.Expected(5.0, records.Source.CALLER), step.end
        )
        self.assertEqual(records.Wait(), step.waits_for)

    def test_zone_quarantine_draining_label_and_service(self) -> None:
        """Rules of workers, whatever runs there."""
        self.site.take_out_of_service('b')
        explainbuilders.quarantine(self.site, 'n2')
        self.site.drain('n4')
        self.site.add_worker(
            fleetbuilders.build_entry('other', service='other')
        )
        self.submit('j', 1, label='fast')
        explained = self.explain('j')
        self.assertEqual(['n0'], list_chosen(explained))
        self.assertEqual(
            {
                'zone': 4,
                'quarantine': 1,
                'draining': 1,
                'label': 1,
                'service': 1,
            },
            count_rules(explained),
        )

    def test_room(self) -> None:
        """All workers are full of equally urgent work."""
        self.submit('full', tasks=8)
        self.site.run_for(20.0)
        self.submit('j', 2)
        explained = self.explain('j')
        step = first_step(explained)
        self.assertIs(records.Outcome.WAITS, step.outcome)
        self.assertEqual({'room': 8}, count_rules(explained))
        self.assertEqual('room', step.waits_for.rule)
        self.assertIn('has 0 of 2 accelerators', step.verdicts[0].why)
        self.assertIs(records.Source.ENDS, step.start.source)
        assert step.start.in_s is not None
        self.assertAlmostEqual(_RUN_S - 20.0, step.start.in_s, delta=5.0)

    def test_size(self) -> None:
        """No worker is large enough even when empty."""
        self.submit('j', 9)
        explained = self.explain('j')
        self.assertEqual({'size': 8}, count_rules(explained))
        self.assertEqual(records.Expected(), first_step(explained).start)

    def test_quota(self) -> None:
        """The account may have no more running."""
        self.site.set_quotas(signs=queues.Quota(accelerators=8))
        self.submit('runs', 8)
        self.site.run_for(1.0)
        self.submit('held', 2, label='fast')
        self.site.run_for(1.0)
        explained = self.explain('held')
        step = first_step(explained)
        self.assertEqual('quota', step.waits_for.rule)
        self.assertIn('the quota of signs lacks 2', step.waits_for.why)
        self.assertEqual({'label': 6, 'quota': 2}, count_rules(explained))
        self.assertIsNone(step.start.in_s)
        assert explained.held_by_quota_s is not None
        self.assertGreater(explained.held_by_quota_s, 0.5)
        assert explained.waits_s is not None
        self.assertAlmostEqual(1.0, explained.waits_s, delta=0.11)

    def test_a_gang_larger_than_its_quota(self) -> None:
        """It waits until the quota is raised, and the reason says so."""
        self.site.set_quotas(signs=queues.Quota(accelerators=8))
        self.submit('large', 8, tasks=2, gang=True)
        self.site.run_for(0.5)
        wait = first_step(self.explain('large')).waits_for
        self.assertEqual('quota', wait.rule)
        self.assertIn('larger than the whole quota', wait.why)

    def test_claimed(self) -> None:
        """Workers that are kept free for a gang that waits."""
        self.submit('full', tasks=8)
        self.site.run_for(1.0)
        self.submit('gang', tasks=4, gang=True)
        self.site.run_for(0.2)
        claimed = first_step(self.explain('gang'))
        self.assertIs(records.Outcome.CLAIMS, claimed.outcome)
        self.assertEqual(4, len(claimed.workers))
        self.assertEqual('claim', claimed.waits_for.rule)
        # A task ends on a claimed worker; a single one may not have it.
        worker_id = claimed.workers[0]
        for run in list(self.site.workers_by_id[worker_id].runs.values()):
            run.run_s = 0.0
        self.site.step()
        self.submit('single', 1, queue='bulk')
        rules = count_rules(self.explain('single'))
        self.assertEqual({'room': 7, 'claimed': 1}, rules)

    def test_a_gang_in_one_rack(self) -> None:
        """Enough workers have room, but no rack has enough of them."""
        for number in (0, 1, 2):
            self.site.occupy(
                f'n{number}',
                f'o{number}',
                fleetbuilders.build_step(1, 8, 60_000),
                _RUN_S,
            )
        self.submit('pair', tasks=2, gang=True, rack_local=True)
        self.assertIs(
            records.Outcome.PLACED, first_step(self.explain('pair')).outcome
        )
        self.site.occupy(
            'n3', 'o3', fleetbuilders.build_step(1, 8, 60_000), _RUN_S
        )
        step = first_step(self.explain('pair'))
        self.assertIs(records.Outcome.CLAIMS, step.outcome)
        self.site.settings = fleetbuilders.build_node_settings(
            '[fleet]\nclaim_share = 0\n'
        )
        step = first_step(self.explain('pair'))
        self.assertIs(records.Outcome.WAITS, step.outcome)
        self.assertEqual('gang', step.waits_for.rule)
        self.assertIn('in one rack', step.waits_for.why)

    def test_preemption(self) -> None:
        """Urgent work names whom it would stop, and stops nobody."""
        self.submit('full', tasks=8, queue='bulk')
        self.site.run_for(1.0)
        self.submit('urgent', 8, queue='urgent')
        before = explainbuilders.dump(self.site.board)
        explained = self.explain('urgent')
        step = first_step(explained)
        self.assertEqual(before, explainbuilders.dump(self.site.board))
        self.assertIs(records.Outcome.STOPS_OTHERS, step.outcome)
        (victim,) = explained.victims
        self.assertEqual('full', victim.job)
        self.assertEqual(step.workers, victim.workers)
        self.assertAlmostEqual(1.0, victim.worked_s, delta=0.11)
        self.assertIs(records.Source.STOPS, step.start.source)
        # Later it waits for what was stopped.
        self.site.step()
        explained = self.explain('urgent')
        step = first_step(explained)
        self.assertIs(records.Outcome.STOPS_OTHERS, step.outcome)
        self.assertEqual([], explained.victims)
        self.assertEqual('stops', step.waits_for.rule)

    def test_a_job_that_runs_and_one_that_is_blocked(self) -> None:
        """Steps that do not wait for capacity."""
        self.site.submit(
            'chain',
            fleetbuilders.build_step(1, 1, 10_000),
            fleetbuilders.build_step(1, 1, 4_000, after=(0,)),
            run_s=10.0,
            queue='batch',
        )
        self.site.run_for(1.0)
        explained = self.explain('chain')
        runs, blocked = explained.steps
        self.assertEqual('running', runs.phase)
        self.assertIs(records.Source.PROGRESS, runs.end.source)
        self.assertEqual(1, len(runs.workers))
        self.assertEqual('steps', blocked.waits_for.rule)
        self.assertEqual(0, blocked.workers_looked_at)
        assert explained.end.in_s is not None
        self.assertAlmostEqual(13.0, explained.end.in_s, delta=0.5)

    def test_no_permit(self) -> None:
        """A holder that may start nothing says what bounds that."""
        self.submit('j', 1)
        self.site.board.permit_until = self.site.now - 1.0
        self.site.board.permit_bound = 'the shard lease'
        step = first_step(self.explain('j'))
        self.assertIs(records.Outcome.WAITS, step.outcome)
        self.assertEqual('permit', step.waits_for.rule)
        self.assertIn('the shard lease', step.waits_for.why)

    def test_a_job_that_is_not_due(self) -> None:
        """A job whose first run is later has no steps yet."""
        graph = fleetbuilders.build_graph(
            'later',
            accepted_ms=int(self.site.now * 1000),
            first_due_ms=int(self.site.now * 1000) + 5_000,
            occurrences=2,
            period_ms=1_000,
        )
        self.site.add_job(graph, 1.0)
        explained = self.explain('later')
        self.assertEqual([], explained.steps)
        self.assertEqual('due', explained.waits_for.rule)
        self.assertIn('5.0 s', explained.waits_for.why)


class UnsentTest(unittest.TestCase):
    """Jobs that are asked about and not sent."""

    def test_it_is_placed_and_not_kept(self) -> None:
        """The same as for the job once it is there; nothing is added."""
        site = explainbuilders.build_site()
        graph = fleetbuilders.build_graph(
            'j',
            fleetbuilders.build_step(2, 4, 5_000),
            accepted_ms=int(site.now * 1000),
        )
        before = explainbuilders.dump(site.board)
        unsent = explainbuilders.explain(site, graph)
        self.assertEqual(before, explainbuilders.dump(site.board))
        self.assertFalse(unsent.is_sent)
        self.assertEqual('', unsent.job)
        site.add_job(graph, 1.0)
        sent = explainbuilders.explain(site, 'j')
        self.assertEqual(unsent.steps, sent.steps)
        self.assertEqual(2, first_step(sent).placed)

    def test_a_graph_with_the_id_of_a_job(self) -> None:
        """It is explained beside the job that has the id."""
        site = explainbuilders.build_site()
        graph = fleetbuilders.build_graph('not-sent')
        site.add_job(graph, 60.0)
        site.run_for(0.5)
        self.assertEqual(
            'waiting', first_step(explainbuilders.explain(site, graph)).phase
        )


class ProblemTest(unittest.TestCase):
    """What cannot be explained."""

    def explain(self, board: fleet.ShardBoard, job_id: str) -> typing.Any:
        """Return what is answered for a job."""
        settings = fleetbuilders.build_node_settings().fleet
        return explanation.explain(board, settings, job_id, 1.0, 1.0)

    def test_a_job_that_is_not_known(self) -> None:
        """It has ended, or was not read yet."""
        self.assertEqual(
            explanation.JobNotKnown('j'),
            self.explain(explainbuilders.build_site().board, 'j'),
        )

    def test_a_board_that_is_too_large(self) -> None:
        """Guards against a copy that holds up renewals for long."""
        site = explainbuilders.build_site()
        step = fleetbuilders.build_step(boardcopy.MAX_GROUPS + 1, 1)
        site.submit('wide', step, run_s=1.0, queue='bulk')
        self.assertEqual(
            explanation.TooLarge(boardcopy.MAX_GROUPS + 1),
            self.explain(site.board, 'wide'),
        )


class NextRoundTest(unittest.TestCase):
    """What is said is what the next round does, and asking changes nothing."""

    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_varied_boards(self, seed: int) -> None:
        """Quotas, labels, claims, zones, drains, gangs, preemption."""
        site = explainbuilders.build_varied_site(random.Random(seed))
        before = explainbuilders.dump(site.board)
        explained_by_id = {
            job_id: explainbuilders.explain(site, job_id)
            for job_id in site.board.jobs_by_id
        }
        self.assertEqual(before, explainbuilders.dump(site.board))
        jobs_by_id = dict(site.board.jobs_by_id)
        site.board.take_decision_records()
        explainbuilders.decide(site)
        for job_id, explained in explained_by_id.items():
            for step in explained.steps:
                self._check_step(site, jobs_by_id[job_id], step)
        self._check_victims(site, explained_by_id)

    def _check_step(
        self,
        site: idlebuilders.Site,
        job: livejobs.LiveJob,
        step: records.StepExplanation,
    ) -> None:
        if step.outcome is records.Outcome.NONE:
            return
        group = next(
            group
            for group in job.groups_by_key.values()
            if group.key.as_list() == step.group
        )
        decided = explainbuilders.read_decided(site.board, group)
        self.assertEqual(
            decided,
            explainbuilders.Decided(step.outcome, tuple(step.workers)),
            (job.graph.id, step),
        )
        chosen = {v.worker for v in step.verdicts if not v.rule}
        self.assertEqual(set(decided.workers), chosen)
        self.assertEqual(
            len(site.board.workers_by_id),
            len(chosen) + sum(each.workers for each in step.rules),
        )
        if step.outcome is records.Outcome.WAITS:
            self.assertTrue(step.waits_for.rule)

    def _check_victims(
        self,
        site: idlebuilders.Site,
        explained_by_id: dict[str, records.JobExplanation],
    ) -> None:
        """Check that those that are stopped were named, and no others."""
        stopped = {
            (record.values['by'], record.job_id, *record.values['group'])
            for record in site.board.take_decision_records()
            if record.event == placementround.PREEMPTED
        }
        named = {
            (job_id, victim.job, *victim.group)
            for job_id, explained in explained_by_id.items()
            for victim in explained.victims
        }
        self.assertEqual(stopped, named)
