"""What a seed draws for a soak of node processes: sizes and events."""

import dataclasses
import random
import typing

from standins import rowstore

NODE_KINDS: typing.Final = ('terminate', 'kill', 'pause', 'reload')
OTHER_KINDS: typing.Final = ('configure', 'worker_silent', 'worker_crash')
ORDER_KINDS: typing.Final = ('starts_late', 'starts_refused')
"""Events of the plays with late orders, which are drawn by themselves."""

_ORDER_SERIES: typing.Final = 3
_ORDER_EVENTS: typing.Final = 3
_DRAINS_PER_WORKER: typing.Final = 2
_LOST_SERIES: typing.Final = 6
_MIN_AWAY_S: typing.Final = 0.3
_MAX_BURST: typing.Final = 5
_BURST_S: typing.Final = 1.5
_MAX_EVENT_S: typing.Final = 6.0
_FIRST_EVENT_S: typing.Final = 1.0
_EVENTS_PER_NODE: typing.Final = 5
_FULL_WORKERS: typing.Final = 2
"""At least so many workers keep their capacity, for gangs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event ``at`` seconds after the start of the traffic.

    ``target`` is the number of what is affected; ``for_s`` is how long a
    fault lasts, or the pause before a restart; ``nodes`` see a fault of
    the store.
    """

    at: float
    kind: str
    target: int
    for_s: float
    nodes: frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What follows from a seed before the run."""

    seed: int
    nodes: int
    callers: int
    workers: int
    events: tuple[Event, ...]
    ends_at: float
    has_crashing_jobs: bool = False
    has_abandoned_jobs: bool = False


def draw_plan(
    seed: int,
    nodes: int | None,
    length_s: float,
    has_late_orders: bool = False,
    has_crashing_jobs: bool = False,
    has_drains: bool = False,
    has_abandoned_jobs: bool = False,
) -> Plan:
    """Return the plan of a seed; ``nodes`` replaces the number drawn.

    With ``has_late_orders`` series of starts that are carried out late or
    refused are added to the same plan; with ``has_crashing_jobs`` one more
    caller submits jobs that crash workers; with ``has_drains`` workers drain,
    leave and are back; with ``has_abandoned_jobs`` more callers give up jobs
    whose submission has no clear outcome, and the store loses more answers.
    """
    source = random.Random(seed)
    count = source.randint(3, 6)
    count = nodes or count
    workers = source.randint(6, 10)
    events: list[Event] = []
    while len(events) < count * _EVENTS_PER_NODE:
        events += _draw_burst(source, count, workers, length_s)
    if has_late_orders:
        events += _draw_order_series(seed, workers, length_s)
    if has_drains:
        events += _draw_drains(seed, workers, length_s)
    if has_abandoned_jobs:
        events += _draw_lost_answers(seed, count, length_s)
    ends_at = max(length_s, *(event.at + event.for_s for event in events))
    events += _draw_shrinks(random.Random(f'{seed}/shrink'), workers, length_s)
    callers = max(source.randint(6, 10), count)
    return Plan(
        seed,
        count,
        callers,
        workers,
        tuple(events),
        ends_at,
        has_crashing_jobs,
        has_abandoned_jobs,
    )


def _draw_shrinks(
    source: random.Random, workers: int, length_s: float
) -> list[Event]:
    """Return events that take capacity from most workers for a while.

    What is left must be used: a holder that does not notice would go on to
    fill the workers that it has filled before.  The events have a source of
    their own, so that the others of a seed stay.
    """
    return [
        Event(
            source.uniform(_FIRST_EVENT_S, length_s / 2),
            'worker_shrink',
            target,
            source.uniform(length_s / 4, length_s / 2),
            frozenset(),
        )
        for target in source.sample(range(workers), workers - _FULL_WORKERS)
    ]


def _draw_drains(seed: int, workers: int, length_s: float) -> list[Event]:
    """Return drains, some of which overlap; each worker is back."""
    source = random.Random(f'{seed}/drains')
    return [
        Event(
            source.uniform(_FIRST_EVENT_S, length_s),
            'worker_drain',
            source.randrange(workers),
            source.uniform(_MIN_AWAY_S, _MAX_EVENT_S),
            frozenset(),
        )
        for _ in range(_DRAINS_PER_WORKER * workers)
    ]


def _draw_lost_answers(seed: int, nodes: int, length_s: float) -> list[Event]:
    """Return times in which writes of some nodes get no answer.

    Some of these writes are performed late.
    """
    source = random.Random(f'{seed}/lost')
    return [
        Event(
            source.uniform(_FIRST_EVENT_S, length_s),
            'lost',
            0,
            source.uniform(_BURST_S, _MAX_EVENT_S),
            frozenset(source.sample(range(nodes), max(1, nodes // 2))),
        )
        for _ in range(_LOST_SERIES)
    ]


def _draw_order_series(
    seed: int, workers: int, length_s: float
) -> list[Event]:
    """Return events of both kinds that overlap."""
    source = random.Random(f'{seed}/orders')
    events = []
    for _ in range(_ORDER_SERIES):
        at = source.uniform(_FIRST_EVENT_S, length_s)
        events += [
            Event(
                at + source.uniform(0, _BURST_S),
                kind,
                source.randrange(workers),
                source.uniform(_BURST_S, _MAX_EVENT_S),
                frozenset(),
            )
            for kind in ORDER_KINDS
            for _ in range(_ORDER_EVENTS)
        ]
    return events


def _draw_burst(
    source: random.Random, nodes: int, workers: int, length_s: float
) -> list[Event]:
    """Return events that overlap, most of them on one node."""
    at = source.uniform(_FIRST_EVENT_S, length_s)
    node = source.randrange(nodes)
    events = []
    for _ in range(source.randint(1, _MAX_BURST)):
        groups = (NODE_KINDS, NODE_KINDS, rowstore.KINDS, OTHER_KINDS)
        kind = source.choice(source.choice(groups))
        target = source.choice((node, node, source.randrange(nodes)))
        if kind in OTHER_KINDS:
            target = source.randrange(workers)
        affected = {n for n in range(nodes) if source.random() < 0.5}
        everyone = set(range(nodes))
        events.append(
            Event(
                at + source.uniform(0, _BURST_S),
                kind,
                target,
                source.uniform(0, _MAX_EVENT_S),
                frozenset(source.choice((everyone, affected | {node}))),
            )
        )
    return events
