"""Which schedulers a gateway hands an operator's token to."""

import asyncio
import json
import types
import typing
import unittest
from unittest import mock

import result

from primroselock import answers
from primroselock import clock
from primroselock import daemon
from primroselock.decisions.explaining import cellexplanation
from primroselock import forwarding
from primroselock import httpclient
from primroselock import jobexplanations
from primroselock.mesh import messages
from primroselock import scheduler
from primroselock import schedulerexplanations
from primroselock.store import vmlist
from primroselock.test import builders
from primroselock.test import virtualtime

_MESH: typing.Final = '127.0.0.2:7000'
_HAND_ON_S: typing.Final = 8.0
_STATUS: typing.Final = '127.0.0.2:8000'
_VM: typing.Final = vmlist.Vm('s', 'scheduler', 'za', '', mesh=_MESH)


def build_beacon(**changes: typing.Any) -> messages.Beacon:
    """Return the beacon of the scheduler ``s`` of zone ``za``."""
    fields: dict[str, typing.Any] = {
        'vm_id': 's',
        'incarnation': 'i',
        'sequence': 1,
        'role': 'scheduler',
        'zone': 'za',
        'config_version': 1,
        'config_age_s': 0.0,
        'address': _MESH,
        'status_address': _STATUS,
        **changes,
    }
    return messages.Beacon(**fields)


def list_schedulers(
    beacon: messages.Beacon, vms: tuple[vmlist.Vm, ...] = (_VM,)
) -> list[str]:
    """Return whom a gateway asks that hears one beacon."""
    shared: typing.Any = types.SimpleNamespace(
        platform=None,
        vms=list(vms),
        members=types.SimpleNamespace(
            list_live=lambda now: [types.SimpleNamespace(beacon=beacon)]
        ),
    )
    calls = jobexplanations.JobExplanations(shared)
    return calls._list_schedulers('za')


class DeadlineTest(unittest.TestCase):
    """Schedulers that do not answer, in virtual time."""

    def test_schedulers_that_are_silent(self) -> None:
        """Guards against a client that has gone when it is answered."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            for addresses in (['a:1'], ['a:1', 'b:1', 'c:1', 'd:1']):
                asked: list[str] = []
                started = clock.monotonic()

                async def exchange(
                    pool: httpclient.ConnectionPool,
                    request: httpclient.Request,
                    timeout_s: float,
                    asked: list[str] = asked,
                ) -> typing.Any:
                    asked.append(pool.address)
                    await asyncio.sleep(timeout_s)
                    return result.Err(httpclient.NotSent('silent'))

                calls = jobexplanations.JobExplanations(mock.Mock())
                request = mock.Mock(headers={'authorization': 'x'})
                with (
                    mock.patch.object(
                        httpclient.ConnectionPool, 'exchange', exchange
                    ),
                    mock.patch.object(
                        calls,
                        '_list_schedulers',
                        autospec=True,
                        return_value=addresses,
                    ),
                ):
                    answer = await calls._ask_holder(request, 'z', 'GET', '/')
                self.assertEqual(503, answer.status_code)
                self.assertEqual(addresses, asked)
                taken_s = clock.monotonic() - started
                self.assertAlmostEqual(_HAND_ON_S, taken_s, 3)

        virtualtime.run(scenario)


class BusyTest(unittest.IsolatedAsyncioTestCase):
    """A scheduler that is asked again and again."""

    async def test_explanations_take_a_tenth_of_the_time(self) -> None:
        """Guards against operators who keep a scheduler from deciding."""
        shared = daemon.Daemon(builders.build_settings(), 'scheduler')
        self.addAsyncCleanup(shared.aclose)
        runner = scheduler.ShardRunner(shared, 'za')
        runner.lease = mock.Mock(has_shard=True, epoch=1)
        now = 100.0

        def explain(*arguments: typing.Any) -> None:
            nonlocal now
            now += 0.5

        with (
            mock.patch.object(runner, '_may_decide', lambda: True),
            mock.patch.object(cellexplanation, 'explain', explain),
            mock.patch.object(clock, 'monotonic', lambda: now),
        ):
            problems = schedulerexplanations.Problem
            for after_s, expected in (
                (0.0, problems.NOT_KNOWN),
                (4.4, problems.BUSY),
                (0.2, problems.NOT_KNOWN),
            ):
                now += after_s
                found = runner.explain('j', now).unwrap_err()
                self.assertIs(expected, found)


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers with 503: another scheduler may hold the shard, or not."""

    async def test_a_busy_holder_is_believed(self) -> None:
        """Guards against a busy holder that is said to be none."""
        for code, expected, asked in (
            ('busy', 'busy', 1),
            ('holder', 'holder', 2),
            ('reading', 'holder', 2),
        ):
            calls = jobexplanations.JobExplanations(mock.Mock())
            request = mock.Mock(headers={'authorization': 'x'})
            with (
                self.subTest(code),
                mock.patch.object(
                    forwarding,
                    'hand_on',
                    autospec=True,
                    return_value=result.Ok(answers.error(503, code, 'm')),
                ) as hand_on,
                mock.patch.object(
                    calls,
                    '_list_schedulers',
                    autospec=True,
                    return_value=['a:1', 'b:1'],
                ),
            ):
                answer = await calls._ask_holder(request, 'z', 'GET', '/')
                error = json.loads(bytes(answer.body))['error']
                self.assertEqual(expected, error['code'])
                self.assertEqual(asked, hand_on.call_count)


class HoldersTest(unittest.IsolatedAsyncioTestCase):
    """A beacon is believed only as far as the VM list confirms it."""

    def test_a_scheduler_of_the_list(self) -> None:
        """It is asked where it says."""
        self.assertEqual([_STATUS], list_schedulers(build_beacon()))

    def test_beacons_that_get_no_token(self) -> None:
        """Guards against a token for whoever names himself."""
        other_role = vmlist.Vm('s', 'gateway', 'za', '', mesh=_MESH)
        other_zone = vmlist.Vm('s', 'scheduler', 'zb', '', mesh=_MESH)
        no_mesh = vmlist.Vm('s', 'scheduler', 'za', '')
        for name, beacon, vms in (
            ('not listed', build_beacon(vm_id='t'), (_VM,)),
            ('no list', build_beacon(), ()),
            ('role', build_beacon(), (other_role,)),
            ('zone', build_beacon(), (other_zone,)),
            ('says a role', build_beacon(role='gateway'), (_VM,)),
            ('no mesh address', build_beacon(), (no_mesh,)),
            (
                'host',
                build_beacon(
                    address='127.0.0.3:7000', status_address='127.0.0.3:8000'
                ),
                (_VM,),
            ),
            ('none', build_beacon(status_address=''), (_VM,)),
        ):
            with self.subTest(name):
                self.assertEqual([], list_schedulers(beacon, vms))

    async def test_what_a_scheduler_advertises(self) -> None:
        """Guards against an address that only its own VM reaches."""
        for mesh, status, expected in (
            (_MESH, _STATUS, _STATUS),
            (_MESH, '127.0.0.1:8000', ''),
            (_MESH, '0.0.0.0:8000', ''),
            ('0.0.0.0:7000', '0.0.0.0:8000', ''),
            ('0.0.0.0:7000', '127.0.0.1:8000', ''),
            ('[::1]:7000', '[::1]:8000', '[::1]:8000'),
        ):
            with self.subTest(mesh=mesh, status=status):
                shared = daemon.Daemon(builders.build_settings(), 'scheduler')
                self.addAsyncCleanup(shared.aclose)
                shared.status_address = status
                with mock.patch.object(shared.mesh, 'address', mesh):
                    beacon = shared.build_beacon(0.0)
                self.assertEqual(expected, beacon.status_address)


if __name__ == '__main__':
    unittest.main()
