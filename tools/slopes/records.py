"""Slopes of stored data: rows, reads at recovery, configuration, patches.

Everything is counted within this process, on a table in memory.
"""

import asyncio
from collections import abc
import functools
import hashlib
import typing

import msgspec
import result

from primroselock import configuration
from primroselock import ini
from primroselock import jobs
from primroselock import jobstore
from primroselock import patches
from primroselock import patchsubmission
from primroselock.store import table
from primroselock.store import vmlist
from tools.slopes import codecs
from tools.slopes import fits
from tools.slopes import registry
from tools.slopes import schedulers

_MEMBER_COUNTS: typing.Final = (1, 8, 16, 32, 64)
_JOB_COUNTS: typing.Final = (250, 500, 1000, 2000)
_ACCOUNT_COUNTS: typing.Final = (25, 50, 100, 150)
_VM_COUNTS: typing.Final = (500, 1000, 2000, 4000, 8000)
_VM_LIST_REPEATS: typing.Final = 200
_PATCH_COUNTS: typing.Final = (10, 20, 30, 40)
_ZONES: typing.Final = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')


class MemoryStore:
    """An in-memory store that counts read calls, rows and bytes."""

    def __init__(self) -> None:
        self.objects_by_name: dict[str, bytes] = {}
        self.rows_by_key: dict[str, table.Row] = {}
        self.version = 0
        self.read_calls = 0
        self.rows_read = 0
        self.bytes_read = 0

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``."""
        found = {
            key: self.rows_by_key[key]
            for key in keys
            if key in self.rows_by_key
        }
        self._count(list(found.values()))
        return result.Ok(found)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``."""
        found = [
            self.rows_by_key[key]
            for key in sorted(self.rows_by_key)
            if key.startswith(prefix) and key > after
        ][:limit]
        self._count(found)
        return result.Ok(found)

    def _count(self, rows: list[table.Row]) -> None:
        self.read_calls += 1
        self.rows_read += len(rows)
        self.bytes_read += sum(len(r.key) + len(r.value) for r in rows)

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction``; conditions are not checked."""
        self.version += 1
        for put in transaction.puts:
            self.rows_by_key[put.key] = table.Row(
                put.key, put.value, self.version, transaction.token
            )
        for key in transaction.deletes:
            self.rows_by_key.pop(key, None)
        return result.Ok(table.Committed(self.version))

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, table.Unavailable]:
        """Store ``body`` under ``name``."""
        self.objects_by_name[name] = body
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, table.Unavailable]:
        """Return the object ``name``."""
        return result.Ok(self.objects_by_name.get(name))


def build_running_job(number: int, members: int) -> jobs.Job:
    """Return a job with an attempt committed on ``members`` workers."""
    placements = tuple(
        jobs.Placement(f'worker-sapporo-a-{member}', '0123456789ab', (0,), 1)
        for member in range(members)
    )
    spec = jobs.JobSpec('render', members, 1, command=('render', 'job.ini'))
    return jobs.Job(
        f'{number:020x}',
        'signs',
        'a1',
        spec,
        jobs.JobState.RUNNING,
        1760000000.0,
        attempts=1,
        attempt=jobs.Attempt(1, 7, placements),
    )


@registry.part('vm-list')
def measure_vm_list(window_s: float) -> list[fits.Fit]:
    """Encode and decode VM lists of increasing length."""
    sizes, times = [], []
    for count in _VM_COUNTS:
        listed = msgspec.convert(
            schedulers.build_remote_workers(count), list[vmlist.Vm]
        )
        encoded = msgspec.json.encode(listed)
        sizes.append((count, len(encoded)))
        decode = functools.partial(
            msgspec.json.decode, encoded, type=list[vmlist.Vm]
        )
        times.append((count, codecs.time_call(decode, _VM_LIST_REPEATS)))
    return [
        fits.fit('vm_list.reading_bytes', 'VM', 'B', sizes),
        fits.fit('vm_list.reading_cpu', 'VM', 's', times),
    ]


@registry.part('records')
def measure_records(window_s: float) -> list[fits.Fit]:
    """Measure job rows, recovery, the configuration and reading patches."""
    row_sizes = [
        (count, len(jobs.encode(build_running_job(1, count))))
        for count in _MEMBER_COUNTS
    ]
    return [
        fits.fit('row.job', 'member', 'B', row_sizes),
        *asyncio.run(_measure_recovery()),
        *_measure_configuration(),
        *asyncio.run(_measure_patches()),
    ]


async def _measure_recovery() -> list[fits.Fit]:
    calls, rows, sizes = [], [], []
    for count in _JOB_COUNTS:
        store = MemoryStore()
        job_store = jobstore.JobStore(store)
        for number in range(count):
            await job_store.submit(build_running_job(number, 28))
        while (await job_store.accept_inbox('a1', 0)).unwrap():
            continue
        store.read_calls = store.rows_read = store.bytes_read = 0
        loaded = await job_store.load_active('a1')
        if len(loaded.unwrap()) != count:
            raise RuntimeError('recovery did not load every job')
        calls.append((count, store.read_calls))
        rows.append((count, store.rows_read))
        sizes.append((count, store.bytes_read))
    return [
        fits.fit('recovery.calls', 'active job', 'read calls', calls),
        fits.fit('recovery.rows', 'active job', 'rows', rows),
        fits.fit('recovery.bytes', 'active job', 'B', sizes),
    ]


def build_sections(accounts: int) -> ini.Sections:
    """Return a configuration of six zones with ``accounts`` accounts."""
    sections: ini.Sections = {
        f'zone {zone}': {'racks': '400'} for zone in _ZONES
    }
    for number in range(accounts):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        values = {'token_digests': digest, 'weight': '2'}
        for zone in _ZONES:
            values[f'guarantee.{zone}'] = '64:1, 8:2, 1:4'
        sections[f'account team-{number}'] = values
    return sections


def _measure_configuration() -> list[fits.Fit]:
    sizes, times = [], []
    for count in _ACCOUNT_COUNTS:
        sections = build_sections(count)
        sizes.append((count, len(configuration.to_text(sections))))
        times.append(
            (count, codecs.time_call(lambda: _merge_and_read(sections), 5))
        )
    return [
        fits.fit('configuration.size', 'account', 'B', sizes),
        fits.fit('configuration.read_cpu', 'account', 's', times),
    ]


def _merge_and_read(sections: ini.Sections) -> None:
    patch = ini.parse('[account team-1]\nweight = 3\n', 'slopes').unwrap()
    merged = configuration.merge(sections, patch)
    configuration.read(merged, 2, 'slopes').unwrap()


async def _measure_patches() -> list[fits.Fit]:
    """Read increasing numbers of patches past a known version."""
    rows, sizes = [], []
    store = MemoryStore()
    first = configuration.to_text(build_sections(10))
    submissions = [first] + [
        f'[account team-1]\nweight = {n}\n' for n in range(1, 42)
    ]
    for version, text in enumerate(submissions):
        submission = patchsubmission.Submission(
            version, text, '', 'op', '10.0.0.1'
        )
        (
            await patchsubmission.submit(store, submission, 1e9 + version)
        ).unwrap()
    for count in _PATCH_COUNTS:
        store.read_calls = store.rows_read = store.bytes_read = 0
        known = patches.Content(42 - count, {})
        (await patches.load_current(store, known)).unwrap()
        rows.append((count, store.rows_read))
        sizes.append((count, store.bytes_read))
    return [
        fits.fit('patch.rows_read', 'patch', 'rows', rows),
        fits.fit('patch.bytes_read', 'patch', 'B', sizes),
    ]
