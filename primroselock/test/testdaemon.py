"""The common loops of the daemons end when they are cancelled."""

import asyncio
import typing
import unittest

from primroselock import daemon
from primroselock import options
from primroselock.test import builders
from primroselock import waits

_STEPS: typing.Final = 60
"""Steps of the event loop that cover a whole call of each loop."""

_END_S: typing.Final = 2.0


async def answer_with_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each call to the platform with an empty list."""
    try:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            for line in head.lower().splitlines():
                name, _, value = line.partition(b':')
                if name == b'content-length':
                    await reader.readexactly(int(value))
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]')
    except (asyncio.IncompleteReadError, OSError):
        return
    finally:
        writer.close()


def build_settings(address: str) -> options.Settings:
    """Return settings under which the loops call the platform often."""
    return builders.parse_settings(f"""
[process]
vm_id = entry-1
zone = a
[platform]
address = {address}
vm_list_interval_s = 0.001
max_calls_per_s = 100000
[configuration]
poll_interval_s = 0.001
""")


class SharedLoopsTest(unittest.IsolatedAsyncioTestCase):
    """The loops that both daemons run."""

    async def count_survivors(self, shared: daemon.Daemon, step: int) -> int:
        """Start the loops; cancel each once, ``step`` steps after a VM list.

        Return how many of them go on.
        """
        shared.vms_read_at = None
        async with asyncio.TaskGroup() as group:
            loops = shared.start_loops(group)
            while shared.vms_read_at is None:
                await asyncio.sleep(0)
            for _ in range(step):
                await asyncio.sleep(0)
            for loop in loops:
                loop.cancel()
            _, left = await asyncio.wait(loops, timeout=_END_S)
            await waits.cancel_tasks(loops)
        return len(left)

    async def test_each_ends_at_its_first_cancellation(self) -> None:
        """Guards against a gateway that does not end after SIGTERM.

        The HTTP library swallowed the cancellation of a loop whose answer
        arrived at that moment, and the daemon waited for it for ever.
        """
        server = await asyncio.start_server(answer_with_nothing, '127.0.0.1')
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        shared = daemon.Daemon(build_settings(f'{host}:{port}'), 'gateway')
        self.addAsyncCleanup(shared.aclose)
        survivors = [
            await self.count_survivors(shared, step) for step in range(_STEPS)
        ]
        self.assertEqual([0] * _STEPS, survivors)


if __name__ == '__main__':
    unittest.main()
