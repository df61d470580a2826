"""What a seed draws for a soak of node processes: sizes and events."""

import dataclasses
import random
import typing

from standins import rowstore

NODE_KINDS: typing.Final = ('terminate', 'kill', 'pause', 'reload')
OTHER_KINDS: typing.Final = ('configure', 'worker_silent', 'worker_crash')
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


def draw_plan(seed: int, nodes: int | None, length_s: float) -> Plan:
    """Return the plan of a seed; ``nodes`` replaces the number drawn."""
    source = random.Random(seed)
    count = source.randint(3, 6)
    count = nodes or count
    workers = source.randint(6, 10)
    events: list[Event] = []
    while len(events) < count * _EVENTS_PER_NODE:
        events += _draw_burst(source, count, workers, length_s)
    ends_at = max(length_s, *(event.at + event.for_s for event in events))
    events += _draw_shrinks(random.Random(f'{seed}/shrink'), workers, length_s)
    callers = max(source.randint(6, 10), count)
    return Plan(seed, count, callers, workers, tuple(events), ends_at)


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
