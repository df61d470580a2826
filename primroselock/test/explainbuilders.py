"""Builders for tests of explanations: varied boards, a dump of a board."""

import dataclasses
import enum
import random
import typing

from primroselock.decisions import evidence
from primroselock.decisions.explaining import explanation
from primroselock.decisions.explaining import records
from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import quotabuilders

WORKERS: typing.Final = 8
_RUN_S: typing.Final = 30.0
_QUEUES: typing.Final = ('urgent', 'batch', 'bulk')
_ACCOUNTS: typing.Final = ('signs', 'merch')


def build_site(
    workers: int = WORKERS, **quotas_by_account: queues.Quota
) -> quotabuilders.QuotaSite:
    """Return a site of workers in zones a and b, two racks in each."""
    site = quotabuilders.QuotaSite(0, **quotas_by_account)
    for number in range(workers):
        zone = 'ab'[number % 2]
        rack = f'{zone}{number // 2 % 2}'
        labels = ('kind', rack, 'fast') if number < 2 else ('kind', rack)
        site.add_worker(
            fleetbuilders.build_entry(f'n{number}', rack, zone, labels=labels)
        )
    return site


def explain(
    site: idlebuilders.Site, job: str | jobgraph.JobGraph
) -> records.JobExplanation:
    """Return the explanation of a job of a site, as of now."""
    explained = explanation.explain(
        site.board, site.settings.fleet, job, site.now, site.now
    )
    if not isinstance(explained, records.JobExplanation):
        raise AssertionError(f'not explained: {explained}')
    return explained


def decide(site: idlebuilders.Site) -> None:
    """Run the next round; what it places is not started."""
    fleetround.run(site.board, site.settings, site.now, site.now)


def quarantine(site: idlebuilders.Site, worker_id: str) -> None:
    """Keep a worker from starts for a minute."""
    known = site.board.failure_evidence.quarantines_by_worker_id
    known[worker_id] = evidence.Quarantine(site.now + 60.0, 1)


def _build_step(source: random.Random) -> jobgraph.Step:
    tasks = source.choice((1, 1, 2, 3, 6))
    is_gang = tasks > 1 and source.random() < 0.6
    return fleetbuilders.build_step(
        tasks,
        source.choice((1, 2, 4, 8)),
        source.choice((500, 5_000, 60_000)),
        source.choice((1_000, 8_000, 40_000)),
        gang=is_gang,
        rack_local=is_gang and source.random() < 0.5,
        label=source.choice(('', '', '', 'fast')),
        max_per_worker=0 if is_gang else source.choice((0, 0, 1)),
        fills=source.random() < 0.1,
        checkpointing=source.random() < 0.3,
    )


def submit_varied(
    site: quotabuilders.QuotaSite, source: random.Random, count: int
) -> None:
    """Submit jobs of one or two steps, of any queue and account."""
    for _ in range(count):
        steps = [_build_step(source)]
        if source.random() < 0.3:
            steps.append(fleetbuilders.build_step(1, 1, 5_000, after=(0,)))
        site.submit(
            f'j{len(site.run_s_by_job_id)}',
            *steps,
            run_s=source.choice((0.4, 3.0, _RUN_S)),
            queue=source.choice(_QUEUES),
            account=source.choice(_ACCOUNTS),
        )


def disturb(site: quotabuilders.QuotaSite, source: random.Random) -> None:
    """Change zones, quotas or single workers at random."""
    worker_id = f'n{source.randrange(WORKERS)}'
    kind = source.randrange(6)
    if kind == 0:
        site.take_out_of_service(source.choice('ab'))
    elif kind == 1:
        site.set_quotas(signs=queues.Quota(accelerators=source.randint(1, 20)))
    elif kind == 2:
        quarantine(site, worker_id)
    elif kind == 3:
        site.drain(worker_id)
    elif kind == 4:
        site.silence(worker_id)
    else:
        site.restore(worker_id)


def build_varied_site(source: random.Random) -> quotabuilders.QuotaSite:
    """Return a site after some seconds of load and faults."""
    site = build_site()
    for _ in range(source.randint(1, 4)):
        submit_varied(site, source, source.randint(0, 5))
        site.run_for(source.choice((0.1, 0.5, 2.5)))
        if source.random() < 0.5:
            disturb(site, source)
    submit_varied(site, source, source.randint(1, 6))
    return site


@dataclasses.dataclass(frozen=True, slots=True)
class Decided:
    """What a round did with a group: its workers, or those kept for it."""

    outcome: records.Outcome
    workers: tuple[str, ...]


def read_decided(board: fleet.ShardBoard, group: livejobs.Group) -> Decided:
    """Return what a round did with a group that waited before it."""
    if group.phase is not livejobs.Phase.WAITING:
        ids = {member.worker_id for member in group.members}
        return Decided(records.Outcome.PLACED, tuple(sorted(ids)))
    claim = board.claims_by_group.get(group)
    if claim is None:
        return Decided(records.Outcome.WAITS, ())
    outcome = records.Outcome.CLAIMS
    if claim.by_preemption:
        outcome = records.Outcome.STOPS_OTHERS
    return Decided(outcome, tuple(sorted(claim.worker_ids)))


def dump(board: object) -> list[str]:
    """Return all that a board holds, one line for each object.

    Two dumps are equal if no object has changed or was replaced, and if what
    has an order is in the same one.
    """
    lines: list[str] = []
    numbers: dict[int, int] = {}
    kept: list[typing.Any] = []

    def name(value: typing.Any) -> str:
        if isinstance(value, (str, int, float, bool, enum.Enum, type(None))):
            return repr(value)
        if id(value) not in numbers:
            numbers[id(value)] = len(numbers)
            kept.append(value)
        return f'#{numbers[id(value)]}'

    name(board)
    position = 0
    while position < len(kept):
        value = kept[position]
        lines.append(f'#{position} {_describe(value, name)}')
        position += 1
    return lines


def _describe(value: typing.Any, name: typing.Any) -> str:
    if isinstance(value, dict):
        pairs = (f'{name(k)}: {name(v)}' for k, v in value.items())
        return f'{id(value)} dict {", ".join(pairs)}'
    if isinstance(value, (set, frozenset)):
        return f'{id(value)} set {sorted(map(repr, value))}'
    if isinstance(value, (list, tuple)):
        return f'{id(value)} list {", ".join(map(name, value))}'
    if dataclasses.is_dataclass(value):
        fields = (
            f'{field.name}={name(getattr(value, field.name))}'
            for field in dataclasses.fields(value)
        )
        return f'{id(value)} {type(value).__name__} {", ".join(fields)}'
    return f'{id(value)} {type(value).__name__}'
