"""Where a short request would go: against the router, and a real gateway."""

import json
import os
import random
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from primroselock import configuration
from primroselock import dispatch
from primroselock import ejection
from primroselock import errors
from primroselock import metrics
from primroselock import requestexplanations
from primroselock import routing
from primroselock.store import vmlist
from primroselock.test import builders
from primroselock.test import requestbuilders
from primroselock.test import testclient
from standins import launch

_NOW: typing.Final = 1000.0
_SERVICE: typing.Final = configuration.Service('quote-desk', queue=1)
_ACCOUNT: typing.Final = configuration.Account('signs', {})


@strategies.composite
def routers(draw: strategies.DrawFn) -> routing.Router:
    """Return a router of zone a whose upstreams are in varied states."""
    router = routing.Router(builders.build_settings(), random.Random(1), {})
    numbers = range(draw(strategies.integers(0, 5)))
    router.record_vms(
        [
            vmlist.Vm(
                f'up{number}',
                'upstream',
                draw(strategies.sampled_from('ab')),
                f'127.0.0.1:{number + 1}',
                draw(strategies.integers(0, 5)) == 0,
                draw(strategies.sampled_from(('quote-desk',) * 4 + ('x',))),
            )
            for number in numbers
        ]
    )
    for upstream in router.upstreams_by_id.values():
        upstream.running = draw(strategies.sampled_from((0, 1, 3, 8)))
        upstream.used_by_others = draw(strategies.sampled_from((0, 4)))
        upstream.paused_until = _NOW + draw(strategies.integers(-3, 1))
        upstream.health = draw(
            strategies.sampled_from(
                (
                    ejection.HEALTHY,
                    ejection.Health(0, 1, _NOW + 1.0),
                    ejection.Health(0, 1, _NOW + 1.0, True),
                    ejection.Health(0, 1, _NOW - 1.0),
                )
            )
        )
    return router


class RouterTest(unittest.TestCase):
    """What is said of upstreams is what a choice goes by."""

    @hypothesis.given(routers())
    def test_the_choice_is_a_candidate(self, router: routing.Router) -> None:
        """Judging draws nothing, and takes no slot."""
        drawn = router._generator.getstate()
        running = [up.running for up in router.upstreams_by_id.values()]
        judged = router.judge(_SERVICE, _NOW)
        self.assertEqual(drawn, router._generator.getstate())
        self.assertEqual(
            running, [up.running for up in router.upstreams_by_id.values()]
        )
        candidates = [upstream for upstream, why in judged if why is None]
        self.assertLessEqual(len({up.vm.zone for up in candidates}), 1)
        chosen = router.choose(_SERVICE, _NOW)
        if chosen is None:
            self.assertEqual([], candidates)
        else:
            self.assertIn(chosen, candidates)
        # Without the candidates the others of the own zone are no choice,
        # and those of other zones are.
        ids = {upstream.vm.id for upstream in candidates}
        next_choice = router.choose(_SERVICE, _NOW, ids)
        remote = [
            upstream
            for upstream, why in judged
            if why is routing.Exclusion.OTHER_ZONE
        ]
        self.assertEqual(bool(remote), next_choice is not None)


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """What would become of a request, by the queue of its service."""

    def setUp(self) -> None:
        self.router = routing.Router(
            builders.build_settings(), random.Random(1), {}
        )
        self.metrics = metrics.Metrics()
        shared = mock.Mock(metrics=self.metrics)
        self.dispatcher = dispatch.Dispatcher(shared, self.router)

    def list_upstream(self) -> routing.Upstream:
        """List the only upstream and return it."""
        vm = vmlist.Vm(
            'up', 'upstream', 'a', '127.0.0.1:9', False, 'quote-desk'
        )
        self.router.record_vms([vm])
        return self.router.upstreams_by_id['up']

    def foresee(self) -> dispatch.Foreseen:
        """Return what would become of a request."""
        return self.dispatcher.foresee(_SERVICE, _ACCOUNT, 5.0, _NOW)

    def test_no_upstream(self) -> None:
        """It would be refused; the refusal is not counted."""
        refusal = self.foresee().refusal
        assert refusal is not None
        self.assertEqual('no-upstream', refusal.code)
        self.assertEqual({}, self.dispatcher._states_by_service)

    def test_sent_waits_refused(self) -> None:
        """With a free slot, behind others, and with a full queue."""
        upstream = self.list_upstream()
        self.assertEqual(0.0, self.foresee().wait_s)
        upstream.running = 100
        state = self.dispatcher._state('quote-desk')
        state.running, state.mean_exchange_s = 1, 2.0
        foreseen = self.foresee()
        self.assertIsNone(foreseen.refusal)
        self.assertEqual(2.0, foreseen.wait_s)
        state.queue.push('signs', 1, mock.Mock(), 1)
        state.mean_exchange_s = 0.1
        refusal = self.foresee().refusal
        assert refusal is not None
        self.assertEqual('queue-full', refusal.code)
        state.mean_exchange_s = 4.0
        refusal = self.foresee().refusal
        assert refusal is not None
        self.assertEqual('too-late', refusal.code)
        self.assertEqual(1, len(state.queue))
        self.assertNotIn('refused_deadline', self.metrics.render_text())


class KnowledgeTest(unittest.TestCase):
    """How old what a gateway knows is."""

    def test_the_age_of_other_gateways(self) -> None:
        """Guards against the age of a scheduler in its place."""
        for roles, expected in (
            (('gateway', 'scheduler'), 1.0),
            (('scheduler', 'scheduler'), None),
        ):
            shared = mock.Mock(vms_read_at=None)
            shared.follower.age_s.return_value = 0.0
            shared.members.list_live.return_value = [
                mock.Mock(beacon=mock.Mock(role=role), received_at=_NOW - age)
                for role, age in zip(roles, (1.0, 3.0), strict=True)
            ]
            explanations = requestexplanations.RequestExplanations(
                shared, mock.Mock(), mock.Mock()
            )
            known = explanations._describe_knowledge(_NOW)
            self.assertEqual(expected, known.ages_s.get('other gateways'))


class GatewayTest(requestbuilders.RequestsCase):
    """The command against a gateway: two upstreams near, one far away."""

    def explain(self, *arguments: str, **environment: str) -> typing.Any:
        """Run the command; return exit code, output and errors."""
        known = {
            'PRIMROSELOCK_TOKEN': launch.OPERATOR_TOKEN,
            'PRIMROSELOCK_GATEWAY': self.cluster.addresses_by_name['first'],
        }
        with mock.patch.dict(os.environ, known | environment):
            return testclient.run_client('explain', *arguments)

    def test_a_request(self) -> None:
        """It names the near upstreams, and sends nothing."""
        before = [self.list_runs(name) for name in requestbuilders.UPSTREAMS]
        call = ('--service', 'quote-desk', '--account', 'signs')
        code, out, err = self.explain(*call, '--output', 'json')
        self.assertEqual(errors.ExitCode.DONE, code, err)
        answer = json.loads(out)
        self.assertEqual('sent', answer['outcome'])
        rules = {
            each['upstream']: each['rule'] for each in answer['upstreams']
        }
        self.assertEqual({'up-a1': '', 'up-a2': '', 'up-b': 'zone'}, rules)
        self.assertEqual('first', answer['knowledge']['node'])
        code, out, err = self.explain(*call)
        self.assertEqual(errors.ExitCode.DONE, code, err)
        self.assertIn('least_of_two among 2 upstreams', out)
        after = [self.list_runs(name) for name in requestbuilders.UPSTREAMS]
        self.assertEqual(before, after)

    def test_wrong_calls(self) -> None:
        """Operators only; what is not configured is named."""
        usage, refused = errors.ExitCode.USAGE, errors.ExitCode.REFUSED
        call = ('--service', 'quote-desk', '--account')
        code, _, err = self.explain(*call, 'signs', PRIMROSELOCK_TOKEN='x')
        self.assertEqual(refused, code, err)
        code, _, err = self.explain(
            *call, 'signs', PRIMROSELOCK_TOKEN=requestbuilders.TOKEN
        )
        self.assertEqual(refused, code, err)
        code, _, err = self.explain(*call, 'nobody')
        self.assertEqual(usage, code, err)
        self.assertIn("unknown 'nobody'", err)
        code, _, err = self.explain('--service', 'x', '--account', 'signs')
        self.assertEqual(usage, code, err)
        self.assertIn("unknown 'x'", err)
        code, _, err = self.explain('--service', 'quote-desk')
        self.assertEqual(usage, code, err)


if __name__ == '__main__':
    unittest.main()
