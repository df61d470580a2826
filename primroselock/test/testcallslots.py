"""The limit of calls to workers that are under way at the same time."""

import asyncio
import typing
import unittest

import result

from primroselock import callslots
from primroselock.test import virtualtime
from primroselock.workers import orders


class CallSlotsTest(unittest.TestCase):
    """Who waits for whom."""

    def test_workers_that_hang_do_not_hold_up_the_others(self) -> None:
        """Guards against orders that wait for those to a zone cut off."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            slots = callslots.CallSlots()

            async def hang(number: int) -> None:
                async with slots.hold(f'hanging-{number}'):
                    await asyncio.sleep(10.0)

            hanging = [asyncio.create_task(hang(n)) for n in range(60)]
            await asyncio.sleep(0.0)
            self.assertGreater(slots.waiting_count, 0)
            began = virtual.now
            async with slots.hold('answering'):
                self.assertLess(virtual.now - began, 0.5)
            self.assertEqual(0, slots.waiting_count)
            for task in hanging:
                task.cancel()
            await asyncio.gather(*hanging, return_exceptions=True)

        virtualtime.run(scenario)

    def test_the_limit_follows_the_answers(self) -> None:
        """Guards against a limit that silent workers lower for all others."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            slots = callslots.CallSlots()
            answered: typing.Any = result.Ok(orders.Accepted(0.0))
            silent: typing.Any = result.Err(orders.Unanswered('no answer'))

            def record(answer: typing.Any, taken_s: float) -> int:
                for _ in range(100):
                    virtual.now += 0.001
                    slots.record(answer, virtual.now - taken_s, virtual.now)
                return slots.limit

            most = record(answered, 0.01)
            self.assertGreater(most, 8)
            # Others answer in the meantime.
            slots.record(answered, virtual.now - 0.01, virtual.now)
            self.assertEqual(most, record(silent, 0.4))
            virtual.now += 1.0
            few = record(silent, 0.4)
            self.assertLess(few, most)
            self.assertLess(record(answered, 0.3), few)
            self.assertEqual(most, record(answered, 0.01))

        virtualtime.run(scenario)

    def test_a_lower_limit_holds_calls_back(self) -> None:
        """Guards against places that are freed in spite of the limit."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            slots = callslots.CallSlots()
            answered: typing.Any = result.Ok(orders.Accepted(0.0))
            under_way = 0
            most = 0

            async def call(number: int) -> None:
                nonlocal under_way, most
                async with slots.hold(f'w{number}'):
                    under_way += 1
                    most = max(most, under_way)
                    await asyncio.sleep(0.03)
                    under_way -= 1

            async def call_all() -> int:
                nonlocal most
                most = 0
                await asyncio.gather(*(call(n) for n in range(100)))
                return most

            for _ in range(100):
                slots.record(answered, virtual.now - 0.01, virtual.now)
            self.assertEqual(slots.limit, await call_all())
            highest = slots.limit
            for _ in range(20):
                slots.record(answered, virtual.now - 0.3, virtual.now)
            # Places are withheld as they become free.
            await call_all()
            self.assertLess(slots.limit, highest)
            self.assertEqual(slots.limit, await call_all())

        virtualtime.run(scenario)

    def test_a_cancelled_order_leaves_its_place(self) -> None:
        """Guards against places that are lost one by one."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            slots = callslots.CallSlots()

            async def wait_in_place() -> None:
                async with slots.hold('w'):
                    await asyncio.sleep(10.0)

            for _ in range(40):
                tasks = [asyncio.create_task(wait_in_place()) for _ in 'abc']
                await asyncio.sleep(0.0)
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual(0, slots.waiting_count)
            async with asyncio.timeout(0.1):
                async with slots.hold('w'):
                    pass

        virtualtime.run(scenario)


if __name__ == '__main__':
    unittest.main()
