"""What operators see of accounts and of jobs that wait for their quota."""

import asyncio
import json
import typing
import unittest

from primroselock import accountviews
from primroselock import metrics
from primroselock import operatorviews
from primroselock import queues
from primroselock.test import boundbuilders
from primroselock.test import fleetbuilders
from primroselock.test import quotabuilders


class ViewTest(unittest.TestCase):
    """Views of a board whose account ``signs`` is at its quota."""

    def setUp(self) -> None:
        self.site = quotabuilders.QuotaSite(
            4, signs=queues.Quota(accelerators=3)
        )
        step = fleetbuilders.build_step(5, 1)
        self.held = self.site.submit_for('signs', 'held', step)
        self.other = self.site.submit_for('merch', 'other', step)
        self.site.run_for(1.0)

    def find_reason(self, job_id: str) -> str:
        """Return why a job waits."""
        found = accountviews.find_job(self.site.board, job_id, self.site.now)
        assert found is not None
        return found.reason

    def test_accounts_with_usage_and_quota(self) -> None:
        """Guards against an operator who cannot see who is at its quota."""
        merch, signs = accountviews.list_accounts(
            self.site.board, self.site.now
        )
        self.assertEqual('signs', signs.account)
        self.assertEqual(3, signs.accelerators)
        self.assertEqual(3, signs.quota_accelerators)
        self.assertEqual(3000, signs.cpu_millis)
        self.assertEqual(0, signs.quota_cpu_millis)
        self.assertEqual(1, signs.jobs_held)
        self.assertEqual(5, merch.accelerators)
        self.assertEqual(0, merch.jobs_held)

    def test_the_reason_of_a_job(self) -> None:
        """Guards against a job that waits and says not why."""
        self.assertIn('over the quota of signs', self.find_reason('held'))
        self.assertEqual('', self.find_reason('other'))
        step = fleetbuilders.build_step(4, 1, gang=True)
        self.site.submit_for('signs', 'large', step)
        self.site.run_for(0.5)
        self.assertIn('larger than the quota', self.find_reason('large'))
        self.site.set_quotas()
        self.site.run_for(2.0)
        self.assertEqual('', self.find_reason('held'))
        unknown = accountviews.find_job(self.site.board, 'none', self.site.now)
        self.assertIsNone(unknown)

    def test_metrics(self) -> None:
        """Guards against gauges that stay when the quota is gone."""
        counters = metrics.Metrics()
        gauges = accountviews.AccountGauges(counters)
        gauges.update(self.site.board, self.site.now)
        lines = counters.render_text().splitlines()
        for line in (
            '# TYPE primroselock_account_running gauge',
            'primroselock_account_running'
            '{account="signs",resource="accelerators"} 3',
            'primroselock_account_running{account="signs",resource="cpu"} 3',
            'primroselock_account_quota'
            '{account="signs",resource="accelerators"} 3',
            'primroselock_quota_waits{account="signs"} 1',
        ):
            self.assertEqual(1, lines.count(line), line)
        self.assertNotIn('merch', counters.render_text())
        # They are added up once a second.
        self.site.set_quotas()
        gauges.update(self.site.board, self.site.now + 0.5)
        self.assertIn('signs', counters.render_text())
        gauges.update(self.site.board, self.site.now + 1.5)
        self.assertNotIn('signs', counters.render_text())

    def test_names_are_escaped(self) -> None:
        """Guards against an account whose name breaks the text format."""
        series = metrics.labelled('quota_waits', account='a"\\\nb')
        self.assertEqual('quota_waits{account="a\\"\\\\\\nb"}', series)


class NodeViewTest(unittest.TestCase):
    """The paths at the metrics address of a node."""

    async def get(
        self, node: fleetbuilders.TestNode, path: str
    ) -> tuple[int, typing.Any]:
        """Return the status and the decoded body of an answer."""
        sent: list[typing.Any] = []

        async def send(message: typing.Any) -> None:
            sent.append(message)

        async def receive() -> typing.Any:
            raise AssertionError('nothing is read')

        views = operatorviews.OperatorViews(
            node.holder, node.counters.render_text
        )
        await views({'type': 'http', 'path': path}, receive, send)
        body = sent[1]['body'].decode()
        is_json = path.startswith('/v1/')
        return sent[0]['status'], json.loads(body) if is_json else body

    def test_the_holder_answers(self) -> None:
        """Guards against views that no node serves."""

        async def scenario(world: fleetbuilders.World) -> None:
            standby = world.add_node('entry-2')
            world.set_queue_configuration(
                quotabuilders.build_configuration(
                    signs=queues.Quota(accelerators=2)
                )
            )
            await asyncio.sleep(1.0)
            boundbuilders.submit(world, 'j', 5)
            await asyncio.sleep(1.0)
            holder = world.find_shard_holder()
            if standby is holder:
                standby = world.nodes[0]
            path = '/v1/operators/accounts'
            status, accounts = await self.get(holder, path)
            self.assertEqual(200, status)
            used = {each['account']: each['accelerators'] for each in accounts}
            self.assertEqual({'merch': 0, 'signs': 2}, used)
            status, job = await self.get(holder, '/v1/jobs/j')
            self.assertEqual(200, status)
            self.assertEqual('running', job['state'])
            self.assertIn('over the quota', job['reason'])
            status, _ = await self.get(holder, '/v1/jobs/none')
            self.assertEqual(404, status)
            for path in ('/v1/operators/accounts', '/v1/jobs/j'):
                status, error = await self.get(standby, path)
                self.assertEqual(503, status)
                self.assertEqual('holder', error['error']['code'])
            status, text = await self.get(holder, '/metrics')
            self.assertEqual(200, status)
            self.assertIn('primroselock_quota_waits{account="signs"} 1', text)

        fleetbuilders.run_with_node(scenario)


if __name__ == '__main__':
    unittest.main()
