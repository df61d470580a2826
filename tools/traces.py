"""Generates traces for the replay from fixed seeds.

A trace consists of lines of JSON: first the deployment, then the events in
order of time.  Each job is of a kind with its own median run time.  The run
times that clients declare deviate by a random factor, most of which is
common to the jobs of one kind and account.  Run as
``python -m tools.traces DEPLOYMENT SEED SCALE`` to print a trace.
"""

import dataclasses
import math
import random
import sys
import typing

import msgspec

HOUR_S: typing.Final = 3600.0


class Deployment(msgspec.Struct, frozen=True, tag='deployment'):
    """Zones with their racks, the configuration, and the worker size."""

    name: str
    zones: tuple[str, ...]
    racks_by_zone: dict[str, int]
    configuration: str
    cpus: int
    memory_mb: int


class Arrival(msgspec.Struct, frozen=True, tag='job'):
    """A job, submitted to the shard of ``zone``.

    ``declared_s`` is the run time that the client declares, ``true_s`` the
    actual one.  The first ``fails`` attempts fail.
    """

    at: float
    id: str
    account: str
    zone: str
    name: str
    members: int
    accelerators: int
    cpus: int
    declared_s: float
    true_s: float
    priority: str = 'normal'
    checkpointable: bool = True
    fails: int = 0


class Cancel(msgspec.Struct, frozen=True, tag='cancel'):
    """The client cancels a job."""

    at: float
    id: str


class WorkerChange(msgspec.Struct, frozen=True, tag='worker'):
    """A worker crashes, restarts, or begins to fail all tasks it starts."""

    at: float
    worker: str
    state: typing.Literal['dead', 'back', 'fails-all']


class ZoneChange(msgspec.Struct, frozen=True, tag='zone'):
    """Operators take a zone out of service or back into service."""

    at: float
    zone: str
    state: typing.Literal['in', 'out']


Event = Arrival | Cancel | WorkerChange | ZoneChange


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A deployment and its events in order of time."""

    deployment: Deployment
    events: tuple[Event, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _JobKind:
    """A kind of job; all its jobs have the same name.

    ``share`` is the fraction of jobs that are of this kind, ``members`` and
    ``accelerators`` (per member) their size, ``median_s`` the run time.
    """

    name: str
    share: float
    members: int
    accelerators: int
    median_s: float
    cpus: int = 4
    checkpointable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    """Parameters from which the trace of a deployment is generated.

    ``accounts`` are names with their fraction of the jobs; ``jobs`` arrive
    within ``hours``.
    """

    deployment: Deployment
    kinds: tuple[_JobKind, ...]
    accounts: tuple[tuple[str, float], ...]
    jobs: int
    hours: float


def _configuration(zones: tuple[str, ...], guarantees: str) -> str:
    lines = [f'[zone {zone}]\nracks = 1' for zone in zones]
    return '\n'.join(lines) + '\n' + guarantees


_ISHIKARI: typing.Final = _Plan(
    Deployment(
        'ishikari',
        ('sapporo-a', 'sapporo-b', 'otaru'),
        {'sapporo-a': 1, 'sapporo-b': 1, 'otaru': 1},
        _configuration(
            ('sapporo-a', 'sapporo-b', 'otaru'),
            """
[account signs]
guarantee.sapporo-a = 8:4
guarantee.sapporo-b = 16:1
[account banners]
guarantee.sapporo-a = 16:1
guarantee.otaru = 32:1
[account proofs]
guarantee.sapporo-b = 4:4, 8:1
[account archive]
""",
        ),
        64,
        262144,
    ),
    (
        _JobKind('reprice', 0.42, 1, 1, 240.0, checkpointable=False),
        _JobKind('preview', 0.30, 1, 2, 600.0, checkpointable=False),
        _JobKind('render', 0.16, 1, 8, 1200.0, cpus=32),
        _JobKind('proof', 0.07, 2, 8, 1800.0, cpus=32),
        _JobKind('catalog', 0.035, 4, 8, 2400.0, cpus=32),
        _JobKind('nightly', 0.015, 8, 8, 3600.0, cpus=32),
    ),
    (('signs', 0.4), ('banners', 0.3), ('proofs', 0.2), ('archive', 0.1)),
    430,
    8.0,
)

_PEACHLINE: typing.Final = _Plan(
    Deployment(
        'peachline',
        ('ga-east-a', 'ga-east-b', 'ga-east-c'),
        {'ga-east-a': 1, 'ga-east-b': 1, 'ga-east-c': 1},
        _configuration(
            ('ga-east-a', 'ga-east-b', 'ga-east-c'),
            """
[account tours]
guarantee.ga-east-a = 32:1
guarantee.ga-east-b = 8:2
[account drops]
guarantee.ga-east-a = 8:2
guarantee.ga-east-c = 32:1
[account prints]
guarantee.ga-east-b = 32:1
[account restocks]
guarantee.ga-east-c = 4:4
""",
        ),
        128,
        524288,
    ),
    (
        _JobKind('artwork', 0.34, 1, 1, 420.0, checkpointable=False),
        _JobKind('restock', 0.24, 1, 4, 900.0, cpus=32),
        _JobKind('proof', 0.20, 1, 8, 1500.0, cpus=64),
        _JobKind('drop', 0.12, 2, 8, 1500.0, cpus=64),
        _JobKind('print-run', 0.07, 4, 8, 2700.0, cpus=64),
        _JobKind('catalog', 0.03, 8, 8, 3000.0, cpus=64),
    ),
    (('tours', 0.35), ('drops', 0.3), ('prints', 0.25), ('restocks', 0.1)),
    240,
    8.0,
)

_PLANS_BY_NAME: typing.Final = {
    plan.deployment.name: plan for plan in (_ISHIKARI, _PEACHLINE)
}
DEPLOYMENTS: typing.Final = tuple(_PLANS_BY_NAME)

_BURST_SHARE: typing.Final = 0.45
_URGENT_SHARE: typing.Final = 0.03
_BORROWED_SHARE: typing.Final = 0.25
_CANCEL_SHARE: typing.Final = 0.03


def generate(name: str, seed: int, scale: float = 1.0) -> Trace:
    """Return the trace of a deployment for ``seed``.

    ``scale`` multiplies both the number of jobs and the duration.
    """
    plan = _PLANS_BY_NAME[name]
    plan = dataclasses.replace(
        plan, jobs=int(plan.jobs * scale), hours=plan.hours * scale
    )
    source = random.Random(f'{name} {seed}')
    events: list[Event] = list(_arrivals(plan, source))
    events.extend(_cancellations(events, plan, source))
    events.extend(_worker_changes(plan, source))
    events.extend(_zone_changes(plan, source))
    events.sort(key=lambda event: event.at)
    return Trace(plan.deployment, tuple(events))


def _arrival_times(plan: _Plan, source: random.Random) -> list[float]:
    """Return sorted arrival times, with three bursts of 10 minutes."""
    span_s = plan.hours * HOUR_S
    starts = [span_s * share for share in (0.08, 0.3, 0.55)]
    times = []
    for _ in range(plan.jobs):
        if source.random() < _BURST_SHARE:
            times.append(source.choice(starts) + source.uniform(0, 600))
        else:
            times.append(source.uniform(0, span_s))
    return sorted(round(moment, 1) for moment in times)


def _arrivals(plan: _Plan, source: random.Random) -> typing.Iterator[Arrival]:
    """Yield the jobs in order of arrival.

    ``ratio`` is that of the declared run time to the actual one.
    """
    accounts = [name for name, _ in plan.accounts]
    weights = [weight for _, weight in plan.accounts]
    shares = [kind.share for kind in plan.kinds]
    ratios_by_key: dict[tuple[str, str], float] = {}
    for index, at in enumerate(_arrival_times(plan, source)):
        kind = source.choices(plan.kinds, shares)[0]
        account = source.choices(accounts, weights)[0]
        key = (account, kind.name)
        if key not in ratios_by_key:
            ratios_by_key[key] = math.exp(source.gauss(0.3, 1.2))
        true_s = kind.median_s * math.exp(source.gauss(0.0, 0.35))
        ratio = ratios_by_key[key] * math.exp(source.gauss(0.0, 0.3))
        priority = 'normal'
        draw = source.random()
        if draw < _URGENT_SHARE and kind.members == 1:
            priority = 'urgent'
        elif draw > 1 - _BORROWED_SHARE:
            priority = 'borrowed'
        yield Arrival(
            at,
            f'j{index:04}',
            account,
            source.choice(plan.deployment.zones),
            kind.name,
            kind.members,
            kind.accelerators,
            kind.cpus,
            round(true_s * ratio, 1),
            round(true_s, 1),
            priority,
            kind.checkpointable,
            int(source.random() < 0.01),
        )


def _cancellations(
    events: list[Event], plan: _Plan, source: random.Random
) -> list[Event]:
    """Return cancellations of single jobs, and one wave after a burst.

    The wave cancels 15% of the other jobs that arrived in the 400 s before.
    """
    cancels: list[Event] = []
    wave_at = plan.hours * HOUR_S * 0.3 + 700
    for event in events:
        if not isinstance(event, Arrival):
            continue
        if source.random() < _CANCEL_SHARE:
            at = event.at + source.uniform(10, 1800)
            cancels.append(Cancel(round(at, 1), event.id))
        elif 0 < wave_at - event.at < 400 and source.random() < 0.15:
            cancels.append(Cancel(round(wave_at, 1), event.id))
    return cancels


def worker_id(zone: str, rack: int, slot: int) -> str:
    """Return the id of the worker in a slot of a rack."""
    return f'{zone}-r{rack}-w{slot}'


def _worker_changes(plan: _Plan, source: random.Random) -> list[Event]:
    """Return worker failures, each ended by a restart.

    Two workers crash for 20 minutes; one fails all tasks it starts for 30.
    """
    span_s = plan.hours * HOUR_S
    changes: list[Event] = []
    zones = plan.deployment.zones
    for zone, share in ((zones[0], 0.2), (zones[1], 0.7)):
        name = worker_id(zone, 0, source.randrange(8))
        at = round(span_s * share + source.uniform(0, 600), 1)
        changes.append(WorkerChange(at, name, 'dead'))
        changes.append(WorkerChange(at + 1200, name, 'back'))
    name = worker_id(zones[2], 0, source.randrange(8))
    at = round(span_s * 0.15 + source.uniform(0, 600), 1)
    changes.append(WorkerChange(at, name, 'fails-all'))
    changes.append(WorkerChange(at + 1800, name, 'back'))
    return changes


def _zone_changes(plan: _Plan, source: random.Random) -> list[Event]:
    """Return the events that take one zone out of service for an hour."""
    span_s = plan.hours * HOUR_S
    zone = source.choice(plan.deployment.zones)
    at = round(span_s * 0.32, 1)
    return [
        ZoneChange(at, zone, 'out'),
        ZoneChange(at + HOUR_S, zone, 'in'),
    ]


def encode(trace: Trace) -> str:
    """Return the trace as JSON lines."""
    records: list[Deployment | Event] = [trace.deployment, *trace.events]
    return ''.join(
        msgspec.json.encode(record).decode() + '\n' for record in records
    )


def decode(text: str) -> Trace:
    """Return the trace that :func:`encode` encoded as ``text``."""
    first, *rest = text.splitlines()
    deployment = msgspec.json.decode(first, type=Deployment)
    decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
    return Trace(deployment, tuple(decoder.decode(line) for line in rest))


def main() -> int:
    """Print the trace that the arguments select."""
    name, seed, scale = sys.argv[1:]
    sys.stdout.write(encode(generate(name, int(seed), float(scale))))
    return 0


if __name__ == '__main__':
    sys.exit(main())
