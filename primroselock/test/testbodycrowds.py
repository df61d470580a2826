"""Crowds whose bodies become many objects do not end a node.

The bodies are of the largest size and whole; the VM has 160 MB.
"""

import asyncio
import pathlib
import tempfile
import typing
import unittest

from primroselock.test import crowds

_MEMORY_MB: typing.Final = 160
_LIMITS: typing.Final = (
    f'limits.memory_mb={_MEMORY_MB}',
    'limits.max_fds=1638',
)
_CLIENTS: typing.Final = 200
_START: typing.Final = '{"spec":"","phases":['


def _fill(start: str, item: str, end: str) -> bytes:
    """Return a body of the largest size with as many items as it holds."""
    left = crowds.MAX_BODY_BYTES - len(start) - len(end)
    items = item * (left // len(item))
    return (start + items[:-1] + end).ljust(crowds.MAX_BODY_BYTES).encode()


class BodyCrowdCase(unittest.IsolatedAsyncioTestCase):
    """A node process whose VM has the memory of a small one."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.process = crowds.NodeProcess(pathlib.Path(folder.name), _LIMITS)
        self.addAsyncCleanup(self.process.close)
        await self.process.start()

    async def play(self, body: bytes) -> None:
        """Let clients send the body again and again, and read nothing."""
        size = f'Content-Length: {len(body)}'
        data = crowds.head('POST', crowds.job_path(), size) + body
        crowd = crowds.Crowd(data, data, _CLIENTS, 3 * len(data))
        clients = crowds.Clients(crowd, self.process.node.address)
        try:
            await clients.send()
        finally:
            clients.close()
        self.assertTrue(self.process.is_alive)
        after = await self.process.ask_until_served()
        peak_mb = self.process.peak_kb() // crowds.BYTES_PER_KB
        self.assertTrue(self.process.is_alive)
        rules = (
            (peak_mb <= _MEMORY_MB, f'{peak_mb} MB'),
            (after == 200, f'answer after the crowd: {after}'),
        )
        self.assertEqual([], [what for holds, what in rules if not holds])


class ObjectsTest(BodyCrowdCase):
    """What a body becomes."""

    async def test_many_steps(self) -> None:
        await self.play(_fill(_START, '{},', ']}'))

    async def test_many_steps_with_faults(self) -> None:
        await self.play(_fill(_START, '{"after":[9]},', ']}'))

    async def test_many_steps_that_a_job_may_have(self) -> None:
        step = '{"cpu":100,"mem_mb":100,"required_label":"a label of it"},'
        await self.play(_fill(_START.replace('""', '"x"'), step, ']}'))

    async def test_many_steps_and_then_no_json(self) -> None:
        await self.play(_fill(_START, '{},', ']'))

    async def test_many_numbers(self) -> None:
        await self.play(_fill(_START + '{"after":[', '9,', ']}]}'))

    async def test_many_unknown_fields(self) -> None:
        await self.play(_fill('{"x":[', '{"":[]},', ']}'))

    async def test_a_long_text(self) -> None:
        await self.play(_fill('{"phases":[{}],"spec":"', '\\u00e9', ' "}'))

    async def test_a_body_that_is_no_json(self) -> None:
        await self.play(_fill('', '[', ''))


if __name__ == '__main__':
    unittest.main()
