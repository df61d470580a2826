"""Keys of the rows in the table.

A waiting or running job has an index row under its shard, so that a new
holder of the shard finds its jobs with one scan.
"""

import typing

CONFIG_HEAD: typing.Final = 'config/head'
CONFIG_PATCHES: typing.Final = 'config/patch/'
AUDIT: typing.Final = 'audit/'


def config_patch(version: int) -> str:
    """Return the key of the patch that created ``version``."""
    return f'{CONFIG_PATCHES}{version:012d}'


def config_snapshot(version: int, digest: str) -> str:
    """Return the object name of a snapshot by version and digest."""
    return f'config-snapshot-{version:012d}-{digest}'


def shard_lease(shard: str) -> str:
    """Return the key of a shard's lease, rewritten by each renewal."""
    return f'shard/{shard}/lease'


def shard_epoch(shard: str) -> str:
    """Return the key of a shard's epoch, rewritten by each takeover."""
    return f'shard/{shard}/epoch'


def job(job_id: str) -> str:
    """Return the key of a job."""
    return f'job/{job_id}'


def job_key(account: str, idempotency_key_digest: str) -> str:
    """Return the key that maps an idempotency key to its job."""
    return f'job-key/{account}/{idempotency_key_digest}'


def inbox(shard: str) -> str:
    """Return the prefix of the rows of jobs that a shard has yet to load."""
    return f'inbox/{shard}/'


def active(shard: str) -> str:
    """Return the prefix of the rows of a shard's jobs that have not ended."""
    return f'active/{shard}/'


def account_jobs(account: str) -> str:
    """Return the prefix of the rows that list an account's jobs."""
    return f'account-job/{account}/'


CLAIMS: typing.Final = 'claim/'


def claim(account: str, idempotency_key_digest: str) -> str:
    """Return the key of the claim of a request's idempotency key."""
    return f'claim/{account}/{idempotency_key_digest}'


SUBMISSIONS: typing.Final = 'submitted'
"""The table of what callers ask for, which the holder of a shard follows."""

PROGRESS: typing.Final = 'progress'
"""The table of what became of it, which nobody follows: it grows with each
start and each end, and most nodes need a row only when a caller asks."""


SPEEDS: typing.Final = 'speeds'
"""The table of the estimated speeds of workers, read at a takeover."""


def graph(shard: str, job_id: str) -> str:
    """Return the key of a job's graph, written at acceptance only."""
    return f'{SUBMISSIONS}/{shard}/graph/{job_id}'


def cancellation(shard: str, job_id: str) -> str:
    """Return the key of the row that requests a job's cancellation."""
    return f'{SUBMISSIONS}/{shard}/cancel/{job_id}'


LEARNED: typing.Final = 'learned'
"""The table of what a holder learned, which its successor reads."""


def learned(shard: str) -> str:
    """Return the key of the learned run times of a shard."""
    return f'{LEARNED}/{shard}'


def progress(shard: str, job_id: str, part: int = 0) -> str:
    """Return the key of a job's progress, written by the lease holder only.

    Progress that is larger than a row has rows of the parts 1 and up, too.
    """
    key = f'{PROGRESS}/{shard}/{job_id}'
    return f'{key}/{part}' if part else key


def worker_speeds(shard: str, row: int | None = None) -> str:
    """Return the key of a row of workers' speeds, or their prefix."""
    prefix = f'{SPEEDS}/{shard}/'
    return prefix if row is None else f'{prefix}{row}'
