"""Choice of upstreams, their shares, the queue and the retry budget."""

import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock import configuration
from primroselock import ejection
from primroselock import fairqueue
from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock import retrybudget
from primroselock import routing
from primroselock import shares
from primroselock.store import vmlist
from primroselock.test import builders

_NOW: typing.Final = 1000.0
_SERVICE: typing.Final = configuration.Service('quote-desk')


def build_router(*vms: vmlist.Vm, choice: str = 'least_of_two') -> typing.Any:
    """Return a router of zone a with ``vms`` as its VM list."""
    settings = builders.build_settings(
        f'[gateway]\nupstream_choice = {choice}\n'
    )
    router = routing.Router(settings, random.Random(1), {})
    router.record_vms(list(vms))
    return router


def build_upstream(
    vm_id: str, zone: str = 'a', leaving: bool = False
) -> vmlist.Vm:
    """Return an upstream of the service quote-desk."""
    address = f'127.0.0.1:{len(vm_id)}'
    return vmlist.Vm(vm_id, 'upstream', zone, address, leaving, 'quote-desk')


def build_peer_state(
    vm_id: str, zone: str, leaving: bool = False, **slots: int
) -> membership.PeerState:
    """Return a gateway's state with its slots in use, by upstream."""
    beacon = messages.Beacon(
        vm_id, 'i', 1, 'gateway', zone, 1, 0.0, leaving, slots
    )
    return membership.PeerState(beacon, _NOW)


def fill(router: routing.Router) -> dict[str, int]:
    """Reserve until no slot is free; return the slots by upstream."""
    while (upstream := router.choose(_SERVICE, _NOW)) is not None:
        router.reserve(upstream)
    return {
        vm_id: upstream.running
        for vm_id, upstream in router.upstreams_by_id.items()
    }


class RouterTest(unittest.TestCase):
    """Rules for the use of upstreams, and the shares of their slots."""

    def refresh(
        self, router: routing.Router, *peers: membership.PeerState
    ) -> None:
        """Refresh the router with the beacons of other gateways."""
        current = builders.build_configuration()
        router.refresh(current, peers, _NOW)

    def test_own_zone_goes_first_and_leaving_gets_nothing(self) -> None:
        """Upstreams of the own zone are preferred to those of other zones.

        An upstream that shuts down gets no requests.
        """
        router = build_router(
            build_upstream('near'),
            build_upstream('far', 'b'),
            build_upstream('gone', leaving=True),
        )
        first = router.choose(_SERVICE, _NOW)
        self.assertEqual('near', first.vm.id)
        self.assertEqual({'near': 4, 'far': 4, 'gone': 0}, fill(router))

    def test_share_is_kept_and_unused_slots_are_lent(self) -> None:
        """A gateway may use its equal share of the slots in any case.

        It may also use all slots that no other gateway uses.
        """
        router = build_router(build_upstream('up'))
        busy = [build_peer_state(f'g{n}', 'a', up=3) for n in range(3)]
        self.refresh(router, *busy)
        # 8 slots divided by 4 gateways, though the others use 9.
        self.assertEqual({'up': 2}, fill(router))
        self.refresh(router, build_peer_state('g0', 'a', up=4))
        self.assertEqual({'up': 4}, fill(router))

    def test_other_zone_borrows_and_leaves_one_slot(self) -> None:
        """A gateway of another zone may use unused slots but one.

        This holds while the upstream's zone has a gateway of its own.
        """
        router = build_router(build_upstream('up', 'b'))
        self.refresh(router, build_peer_state('g', 'b', up=5))
        self.assertEqual({'up': 2}, fill(router))

    def test_refusal_pauses_the_upstream_for_a_time(self) -> None:
        """After a refusal, an upstream gets no requests for a time."""
        router = build_router(build_upstream('up'))
        upstream = router.choose(_SERVICE, _NOW)
        router.record_refusal(upstream, True, _NOW)
        self.assertIsNone(router.choose(_SERVICE, _NOW + 1.0))
        self.assertIsNotNone(router.choose(_SERVICE, _NOW + 6.0))

    def test_unreachable_is_ejected_then_probed_by_one(self) -> None:
        """An unreachable upstream is ejected at once.

        After the ejection, one request at a time may probe it.
        """
        router = build_router(build_upstream('up'))
        upstream = router.choose(_SERVICE, _NOW)
        upstream.health = ejection.record_unreachable(upstream.health, _NOW)
        self.assertFalse(router.has_available_upstream(_SERVICE, _NOW + 0.5))
        self.assertIsNone(router.choose(_SERVICE, _NOW + 0.5))
        later = _NOW + 1.5
        router.reserve(router.choose(_SERVICE, later))
        self.assertIsNone(router.choose(_SERVICE, later))

    def test_most_broken_upstreams_still_serve(self) -> None:
        """Guards against a service without upstreams after lost responses.

        Ejections of upstreams that accept connections do not apply if they
        would affect most upstreams.
        """
        router = build_router(build_upstream('a'), build_upstream('bb'))
        for upstream in router.upstreams_by_id.values():
            for _ in range(3):
                upstream.health = ejection.record_lost_response(
                    upstream.health, _NOW
                )
        self.assertEqual({'a': 4, 'bb': 4}, fill(router))
        self.assertTrue(router.has_available_upstream(_SERVICE, _NOW))

    def test_least_of_two_prefers_the_idle(self) -> None:
        """The policy ``least_of_two`` chooses the upstream in less use."""
        for choice, expected in (('least_of_two', {'b'}), ('random', None)):
            router = build_router(
                build_upstream('a'), build_upstream('b'), choice=choice
            )
            router.reserve(router.upstreams_by_id['a'])
            chosen_ids = {
                router.choose(_SERVICE, _NOW).vm.id for _ in range(50)
            }
            self.assertEqual(expected or {'a', 'b'}, chosen_ids)

    @hypothesis.given(
        connections=strategies.integers(1, 256),
        gateways=strategies.integers(1, 64),
        slots=strategies.integers(1, 64),
        view=strategies.builds(
            shares.View,
            strategies.booleans(),
            strategies.integers(0, 64),
            strategies.integers(1, 64),
            strategies.integers(0, 64),
        ),
    )
    def test_no_view_exceeds_the_connections(
        self, connections: int, gateways: int, slots: int, view: shares.View
    ) -> None:
        service = configuration.Service(
            's', slots=slots, connections=connections, gateways=gateways
        )
        limit = shares.slot_limit(service, view)
        self.assertLessEqual(limit * gateways, connections)
        self.assertLessEqual(
            shares.connection_limit(service) * gateways, connections
        )


class FairQueueTest(unittest.TestCase):
    """Accounts are served by weight, and the queue is bounded.

    ``turns`` are the items that are taken from the queue.
    """

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from('abcd'),
            strategies.integers(1, 5),
            min_size=2,
        ),
        strategies.integers(1, 60),
    )
    def test_turns_follow_weights(
        self, weights: dict[str, int], turns: int
    ) -> None:
        queue: fairqueue.FairQueue[str] = fairqueue.FairQueue()
        for account, weight in weights.items():
            for _ in range(turns):
                queue.push(account, weight, account, 1000)
        served = [queue.pop() for _ in range(turns)]
        for account, weight in weights.items():
            due = turns * weight / sum(weights.values())
            self.assertLessEqual(
                abs(served.count(account) - due), len(weights)
            )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(['push', 'pop', 'remove']),
                strategies.sampled_from('abc'),
            )
        ),
        strategies.integers(0, 4),
    )
    def test_nothing_is_lost_or_doubled(
        self, steps: list[tuple[str, str]], limit: int
    ) -> None:
        queue: fairqueue.FairQueue[tuple[str, int]] = fairqueue.FairQueue()
        waiting: set[tuple[str, int]] = set()
        for number, (step, account) in enumerate(steps):
            if step == 'push':
                item = (account, number)
                waiting.add(item)
                displaced = queue.push(account, 1, item, limit)
                waiting.discard(displaced or ('', 0))
            elif step == 'pop':
                waiting.discard(queue.pop() or ('', 0))
            elif waiting:
                item = min(waiting)
                queue.remove(item[0], item)
                waiting.discard(item)
            self.assertEqual(len(waiting), len(queue))
            self.assertLessEqual(len(queue), limit)
        while (served := queue.pop()) is not None:
            waiting.remove(served)
        self.assertEqual(set(), waiting)

    def test_flood_of_one_account_is_displaced_by_another(self) -> None:
        """A full queue drops the newest item of an account above its share."""
        queue: fairqueue.FairQueue[str] = fairqueue.FairQueue()
        for number in range(4):
            queue.push('big', 1, f'big{number}', 4)
        self.assertEqual('big3', queue.push('small', 1, 'small', 4))
        self.assertEqual('more', queue.push('big', 1, 'more', 4))
        self.assertIn('small', [queue.pop(), queue.pop()])


class RetryBudgetTest(unittest.TestCase):
    """Retries stay below a fraction of first attempts at any time.

    At most one retry is saved while no retry is spent.
    """

    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=300))
    def test_retries_never_exceed_the_fraction(
        self, spends: list[bool]
    ) -> None:
        budget = retrybudget.RetryBudget()
        retries = 0
        for number, wants_retry in enumerate(spends, 1):
            budget.earn()
            retries += wants_retry and budget.spend()
            self.assertLessEqual(
                retries * 100, number * retrybudget.EARNED_PERCENT
            )

    @hypothesis.given(strategies.integers(0, 500), strategies.integers(1, 99))
    def test_few_retries_are_saved_for_a_failure(
        self, before: int, during: int
    ) -> None:
        budget = retrybudget.RetryBudget()
        for _ in range(before):
            budget.earn()
        retries = 0
        for _ in range(during):
            budget.earn()
            retries += budget.spend()
        allowed = during * retrybudget.EARNED_PERCENT / 100 + 1
        self.assertLessEqual(retries, allowed)


if __name__ == '__main__':
    unittest.main()
