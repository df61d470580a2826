"""Replays traces against the product's controllers and compares policies.

``python -m tools.replay`` replays the traces of both deployments with five
seeds, each under the baseline policies and the chosen ones, and prints
medians, ranges and ratios.  ``--file`` replays one recorded trace instead;
``--set KEY=VALUE`` changes a setting of the scheduler on the chosen side.
"""

import argparse
import dataclasses
import pathlib
import statistics
import typing

from primroselock import options
from tools import replayworld
from tools import traces

_SETTINGS: typing.Final = """
[process]
vm_id = entry-1
zone = a
[platform]
address = 127.0.0.1:9000
"""

# With these two durations, no job moves because it has waited (30 days exceed
# every trace), and none is diverted to another shard before.
BASELINE: typing.Final = {
    'placement': 'first_fit',
    'queue_order': 'fifo',
    'victim_choice': 'any',
    'balance_after_s': str(30 * 24 * traces.HOUR_S),
    'divert_for_s': '0.000001',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Results of one replay.

    ``mean_s`` and ``p95_s`` are the completion times of jobs that were done,
    from arrival to end.  ``mean_ratio`` is the mean completion time divided
    by the mean run time.  ``makespan_ratio`` is the time until all jobs
    ended, divided by its lower bound: the greater of total work divided by
    capacity, and the longest job.  ``fragmentation`` is the fraction of free
    accelerator time that is unusable.  ``zone_work`` is the useful work in
    the remaining zones while one is out of service, divided by their
    capacity.  ``preemptions`` and ``moves`` between shards are counts.
    """

    mean_s: float
    p95_s: float
    mean_ratio: float
    makespan_ratio: float
    fragmentation: float
    zone_work: float
    preemptions: float
    moves: float


def build_settings(changes: dict[str, str]) -> options.Settings:
    """Return settings with ``changes`` to the scheduler section."""
    lines = [f'{key} = {value}' for key, value in changes.items()]
    text = '\n'.join([_SETTINGS, '[scheduler]', *lines])
    return options.parse(text, 'replay').unwrap()


def run_trace(
    trace: traces.Trace, changes: dict[str, str]
) -> replayworld.World:
    """Replay a trace under changed settings; return its final state."""
    world = replayworld.World(trace, build_settings(changes))
    world.run_trace()
    return world


def measure(world: replayworld.World) -> Figures:
    """Return the results of a completed replay."""
    record = world.record
    done = [
        (at - world.arrivals_by_id[job_id].at, world.arrivals_by_id[job_id])
        for job_id, (at, state) in record.ended_by_job_id.items()
        if state.value == 'done'
    ]
    times = sorted(took_s for took_s, _ in done)
    mean_s = statistics.fmean(times)
    mean_run_s = statistics.fmean(job.true_s for _, job in done)
    workers = len(world.workers_by_id)
    work = sum(j.true_s * j.members * j.accelerators for _, j in done)
    longest_s = max(job.true_s for _, job in done)
    bound_s = max(work / (workers * 8), longest_s)
    return Figures(
        mean_s,
        times[int(len(times) * 0.95)],
        mean_s / mean_run_s,
        max(at for at, _ in record.ended_by_job_id.values()) / bound_s,
        record.unusable_s / max(record.free_s, 1.0),
        zone_work(world),
        record.preemptions,
        record.moves,
    )


def zone_work(world: replayworld.World) -> float:
    """Return the useful work of the remaining zones over their capacity.

    Both are in accelerator-seconds.  Only the time between the two zone
    changes of the trace counts.  Returns NaN if the trace has another number
    of them.
    """
    changes = [
        event
        for event in world.trace.events
        if isinstance(event, traces.ZoneChange)
    ]
    if len(changes) != 2:
        return float('nan')
    out, back = changes
    useful = sum(
        max(
            0.0,
            min(run.started_at + run.useful_s, back.at)
            - max(run.started_at, out.at),
        )
        * run.accelerators
        for run in world.record.runs
        if run.zone != out.zone
    )
    remaining = [
        worker
        for worker in world.workers_by_id.values()
        if worker.vm.zone != out.zone
    ]
    return useful / (len(remaining) * 8 * (back.at - out.at))


def _format_range(values: list[float]) -> str:
    return (
        f'{statistics.median(values):10.3f} '
        f'({min(values):.3f} to {max(values):.3f})'
    )


def _compare(name: str, seeds: int, changes: dict[str, str]) -> None:
    sides: dict[str, list[Figures]] = {'baseline': [], 'chosen': []}
    for seed in range(1, seeds + 1):
        trace = traces.generate(name, seed)
        sides['baseline'].append(measure(run_trace(trace, BASELINE)))
        sides['chosen'].append(measure(run_trace(trace, changes)))
    print(f'{name}: {seeds} seeds, median (range)')
    for field in dataclasses.fields(Figures):
        base = [getattr(entry, field.name) for entry in sides['baseline']]
        chosen = [getattr(entry, field.name) for entry in sides['chosen']]
        ratios = [
            new / old if old else float('nan')
            for old, new in zip(base, chosen, strict=True)
        ]
        print(
            f'  {field.name:15} baseline {_format_range(base)}  '
            f'chosen {_format_range(chosen)}  ratio {_format_range(ratios)}'
        )


def main() -> int:
    """Compare the policies or replay one recorded trace."""
    parser = argparse.ArgumentParser(prog='tools.replay')
    parser.add_argument('--seeds', type=int, default=5)
    parser.add_argument('--deployment', action='append')
    parser.add_argument('--file', type=pathlib.Path)
    parser.add_argument('--set', action='append', default=[])
    arguments = parser.parse_args()
    changes = dict(item.split('=', 1) for item in arguments.set)
    if arguments.file is not None:
        trace = traces.decode(arguments.file.read_text(encoding='utf-8'))
        print(measure(run_trace(trace, changes)))
        return 0
    for name in arguments.deployment or traces.DEPLOYMENTS:
        _compare(name, arguments.seeds, changes)
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
