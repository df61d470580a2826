"""Starts that were placed and not sent when their workers go out of service.

The store takes long to store the placement, so that the start would be sent
long after the decision.
"""

import asyncio
from collections import abc
import dataclasses
import typing
import unittest
from unittest import mock

from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fleetbuilders

_STORING_S: typing.Final = 3.0


def delay_placements(
    node: fleetbuilders.TestNode,
) -> typing.ContextManager[typing.Any]:
    """Let each write of the progress of jobs take long."""
    transact = node.client.transact

    async def transact_slowly(transaction: table.Transaction) -> typing.Any:
        prefix = keys.progress('fleet', '')
        if any(put.key.startswith(prefix) for put in transaction.puts):
            await asyncio.sleep(_STORING_S)
        return await transact(transaction)

    return mock.patch.object(node.client, 'transact', transact_slowly)


class OutOfServiceTest(unittest.TestCase):
    """Workers that go out of service while a placement is stored."""

    def check(self, leave: abc.Callable[[fleetbuilders.World], None]) -> None:
        """Check that nothing starts once the workers have left."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            with delay_placements(world.find_shard_holder()):
                world.submit(fleetbuilders.build_graph('j'))
                await asyncio.sleep(1.0)
                leave(world)
                await asyncio.sleep(_STORING_S + 2.0)
            self.assertEqual(0, world.fleet.starts)
            world.set_queue_configuration(fleetbuilders.QUEUE_CONFIGURATION)
            for worker in world.fleet.workers_by_id.values():
                world.write_entry(worker.entry)
            await world.wait_for('j', 'done', 8.0)

        fleetbuilders.run_with_node(scenario)

    def test_draining_workers_get_no_starts(self) -> None:
        """Guards against starts on workers that are about to leave."""

        def drain(world: fleetbuilders.World) -> None:
            for entry in list(world.entries_by_id.values()):
                world.write_entry(dataclasses.replace(entry, is_draining=True))

        self.check(drain)

    def test_a_closed_zone_gets_no_starts(self) -> None:
        """Guards against starts in a zone that is being evacuated."""

        def close_zone(world: fleetbuilders.World) -> None:
            world.change_queue_configuration(
                zones_out_of_service=frozenset({'a'})
            )

        self.check(close_zone)


if __name__ == '__main__':
    unittest.main()
