"""Accepted work of a queue that was changed and then removed."""

import asyncio
import dataclasses
import unittest

import msgspec

from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime


class RemovedQueueTest(unittest.TestCase):
    """The queue went to another service, which has all the workers.

    The workers are draining until the queue has been removed.
    """

    def run_removal(self, is_holder_replaced: bool) -> str:
        """Return the state of the job some seconds after the removal."""

        async def run_all(virtual: virtualtime.VirtualClock) -> str:
            world = fleetbuilders.World(0, 0)
            for number in range(4):
                world.add_worker(
                    fleetbuilders.build_entry(
                        f'w{number}', service='new', is_draining=True
                    )
                )
            for number in range(3):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            world.submit(self.build_accepted())
            await asyncio.sleep(0.5)
            moved = dataclasses.replace(fleetbuilders.BATCH, service='new')
            await self.publish(world, 2, moved)
            await self.publish(world, 3)
            if is_holder_replaced:
                holder = world.find_shard_holder()
                world.nodes.remove(holder)
                await holder.kill()
                await asyncio.sleep(3.0)
            for entry in list(world.entries_by_id.values()):
                world.write_entry(
                    dataclasses.replace(entry, is_draining=False)
                )
            await asyncio.sleep(4.0)
            await world.close()
            return world.state('j')

        return virtualtime.run(run_all)

    def build_accepted(self) -> jobgraph.JobGraph:
        """Return a job as the intake accepts it."""
        graph = fleetbuilders.build_graph('j', queue='batch')
        return msgspec.structs.replace(
            graph, accepted_queue=fleetbuilders.BATCH
        )

    async def publish(
        self, world: fleetbuilders.World, version: int, *known: queues.Queue
    ) -> None:
        """Publish a version of the configuration with these queues only."""
        world.set_queue_configuration(
            dataclasses.replace(
                fleetbuilders.QUEUE_CONFIGURATION,
                version=version,
                queues=known,
            )
        )
        await asyncio.sleep(0.5)

    def test_the_holder_goes_on_with_the_last_terms(self) -> None:
        self.assertEqual('done', self.run_removal(False))

    def test_a_later_holder_goes_on_with_the_last_terms(self) -> None:
        """Guards against work placed by the terms at acceptance for ever."""
        self.assertEqual('done', self.run_removal(True))


if __name__ == '__main__':
    unittest.main()
