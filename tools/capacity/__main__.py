"""Command line: prints the tables of docs/CAPACITY.md."""

import argparse
import contextlib
import io
import math
import pathlib
import sys
import typing

from primroselock import patchsubmission
from tools.capacity import model
from tools.capacity import sizes

_LINK_SHARE: typing.Final = 0.5
"""Share of a node's budget that is available to the worker link."""
# Longest time in which urgent work must start.
_URGENT_START_S: typing.Final = 1.6
_ROUNDS_TO_START: typing.Final = 3
# A job is submitted, accepted, committed and ended.
_WRITES_PER_JOB: typing.Final = 4
_BEGIN_MARKER: typing.Final = '<!-- tables: begin -->'
_END_MARKER: typing.Final = '<!-- tables: end -->'
_REPLAYED_PATCHES: typing.Final = 25
"""Mean number of patches since the last snapshot."""


def format_number(value: float) -> str:
    """Format ``value`` with three significant digits."""
    if value == 0:
        return '0'
    if abs(value) >= 1000:
        return f'{float(f"{value:.3g}"):,.0f}'
    return f'{value:.3g}'


def format_table(header: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    lines = [header, ['---'] * len(header), *rows]
    return '\n'.join('| ' + ' | '.join(line) + ' |' for line in lines) + '\n'


def format_with_limit(value: float, limit: float) -> str:
    """Format a value; one above its limit is bold, with the ratio to it."""
    if value <= limit:
        return format_number(value)
    return f'**{format_number(value)}** ({format_number(value / limit)} x)'


def cost_row(role: str, cost: model.Cost) -> list[str]:
    """Return one row of the table of roles."""
    return [
        role,
        format_with_limit(cost.cpu * 100, sizes.NODE_CPU * 100),
        format_with_limit(cost.rss_mb, sizes.NODE_MB),
        format_number(cost.state_mb),
        format_number(cost.messages),
        format_number(cost.link_bytes),
        format_number(cost.table_bytes),
        format_number(cost.mesh_bytes),
        format_with_limit(cost.total_bytes, sizes.NODE_BYTES_PER_S),
        format_number(cost.reads),
        format_number(cost.writes),
    ]


def print_roles(slopes: model.Slopes, size: sizes.Size) -> None:
    """Print the resource use of each role with one shard per zone."""
    holder = model.holder_cost(
        slopes,
        size,
        size.workers_per_zone,
        size.tasks / size.zones,
        size.waiting_jobs / size.zones,
    )
    print(f'### {size.name}: one shard per zone\n')
    print(
        format_table(
            [
                'role',
                '% of a core',
                'MB resident',
                'MB of state',
                'messages/s',
                'worker link B/s',
                'table B/s',
                'mesh B/s',
                'all B/s',
                'reads/s',
                'writes/s',
            ],
            [
                cost_row('shard holder', holder),
                cost_row('standby', model.standby_cost(slopes, size)),
                cost_row('gateway', model.gateway_cost(slopes, size)),
            ],
        )
    )


def print_link_options(slopes: model.Slopes, size: sizes.Size) -> None:
    """Print the shards that each option for the worker link requires."""
    rows = []
    for option in model.list_link_options(slopes, size):
        by_bytes = option.max_workers_by_bytes(_LINK_SHARE)
        by_cpu = option.max_workers_by_cpu(_LINK_SHARE)
        limit = min(by_bytes, by_cpu)
        shards = math.ceil(size.workers_per_zone / limit) * size.zones
        rows.append(
            [
                option.name,
                format_number(option.worker_bytes_per_s),
                format_number(by_bytes),
                format_number(by_cpu),
                format_number(shards),
                # The heartbeat window is three intervals.
                format_number(option.interval_s * 3),
            ]
        )
    print(f'### {size.name}: shards that the worker link requires\n')
    print(
        format_table(
            [
                'worker link option',
                'B/s per worker',
                'workers per holder by bytes',
                'by processor',
                'shards',
                'unresponsive worker detected after s',
            ],
            rows,
        )
    )


def print_platform(slopes: model.Slopes, size: sizes.Size) -> None:
    """Print the calls on the table per second, by caller."""
    holder = model.holder_cost(slopes, size, 0, 0, 0)
    standby = model.standby_cost(slopes, size)
    gateway = model.gateway_cost(slopes, size)
    standbys = max(0, size.entry_vms - size.zones)
    jobs_s = size.jobs_per_day / sizes.DAY_S
    patches_s = size.patches_per_day / sizes.DAY_S
    patch_reads = slopes.slope('gateway.patch.table_reads') * patches_s
    lines = {
        'shard holders': (size.zones, holder.reads, holder.writes),
        'standbys': (standbys, standby.reads, standby.writes),
        'gateways': (size.entry_vms, gateway.reads, 0.0),
        'jobs (submit, accept, commit, end)': (
            1,
            0.0,
            _WRITES_PER_JOB * jobs_s,
        ),
        'patches, at the submitting gateway': (1, patch_reads, patches_s),
        'patches, read by every process': (size.processes, patches_s, 0.0),
    }
    rows = [
        [
            name,
            str(count),
            format_number(count * reads),
            format_number(count * writes),
        ]
        for name, (count, reads, writes) in lines.items()
    ]
    reads = sum(count * reads for count, reads, _ in lines.values())
    writes = sum(count * writes for count, _, writes in lines.values())
    rows.append(
        [
            'total, of 2,000 reads and 300 writes',
            '',
            format_with_limit(reads, sizes.TABLE_READS_PER_S),
            format_with_limit(writes, sizes.TABLE_WRITES_PER_S),
        ]
    )
    print(f'### {size.name}: calls on the table\n')
    print(format_table(['caller', 'count', 'reads/s', 'writes/s'], rows))


def print_figures(slopes: model.Slopes, size: sizes.Size) -> None:
    """Print the individual figures of a size."""
    zone_jobs = size.active_jobs / size.zones
    row_bytes = slopes.value_at('row.job', size.members_per_job)
    rows = slopes.slope('recovery.rows') * zone_jobs
    round_s = slopes.slope('round.running_task.cpu')
    zone_tasks = size.tasks / size.zones
    urgent_tasks = (
        _URGENT_START_S * sizes.NODE_CPU / _ROUNDS_TO_START / round_s
    )
    accounts = size.accounts
    content = slopes.value_at('configuration.size', accounts)
    read_s = slopes.value_at('configuration.read_cpu', accounts)
    patches_s = size.patches_per_day / sizes.DAY_S
    submit_bytes = content + _REPLAYED_PATCHES * slopes.slope(
        'patch.bytes_read'
    )
    entry_share = size.entry_vms / size.listed
    member_tasks = size.tasks_per_worker * size.members_per_job
    figures = {
        'job row, bytes': row_bytes,
        'job rows of a zone, MB': row_bytes * zone_jobs / 1e6,
        'zone recovery: rows read': rows,
        'zone recovery: s at 2,000 rows/s': rows / sizes.TABLE_READS_PER_S,
        'zone recovery: s at 4 KB/s, one holder': row_bytes
        * zone_jobs
        / sizes.NODE_BYTES_PER_S,
        'decision round of a zone, core-s': round_s * zone_tasks,
        'tasks a shard for urgent starts in 1.6 s at 4.2%': urgent_tasks,
        'shards for urgent starts': math.ceil(zone_tasks / urgent_tasks)
        * size.zones,
        'configuration, bytes': content,
        'patches a second': patches_s,
        'reading one patch, core-s in each process': read_s,
        'reading patches, % of a core in each process': read_s
        * patches_s
        * 100,
        'patch rows, B/s in each process': slopes.slope('patch.bytes_read')
        * patches_s,
        'submitting patches, B/s on one gateway': submit_bytes * patches_s,
        'VM list, bytes a reading': slopes.value_at(
            'vm_list.reading_bytes', size.listed
        ),
        'VM list: readings a day in each process': size.vm_list_reads_per_s
        * sizes.DAY_S,
        'table: job rows added, MB a day': row_bytes * size.jobs_per_day / 1e6,
        'table: patch and audit rows added, MB a day': 2
        * slopes.slope('patch.bytes_read')
        * size.patches_per_day
        / 1e6,
        'object store: snapshots added, MB a day': content
        * size.patches_per_day
        / patchsubmission.SNAPSHOT_INTERVAL
        / 1e6,
        'client: processor time of a command, s': slopes.intercept_of(
            'client.patch_log.cpu'
        ),
        'entry VMs replaced a day': entry_share
        * (size.replacements_per_day + size.failures_per_day),
        'tasks stopped by one failed worker, at most': min(
            member_tasks, size.tasks
        ),
        'requests: % of a core on each gateway': slopes.slope(
            'gateway.request.cpu'
        )
        * size.requests_per_s
        / size.entry_vms
        * 100,
    }
    print(f'### {size.name}: individual figures\n')
    rows_of_table = [
        [name, format_number(value)] for name, value in figures.items()
    ]
    print(format_table(['figure', 'value'], rows_of_table))


def print_fits(slopes: model.Slopes) -> None:
    """Print every fit."""
    print('### Fits\n')
    rows = [
        [
            f'`{fit.name}`',
            format_number(fit.intercept),
            f'{format_number(fit.slope)} per {fit.x_name}',
            fit.y_unit,
            format_number(fit.residual),
            f'{format_number(fit.points[0][0])} to '
            f'{format_number(fit.points[-1][0])}',
        ]
        for fit in slopes.fits_by_name.values()
    ]
    header = ['fit', 'intercept', 'slope', 'unit', 'residual (RMS)', 'sizes']
    print(format_table(header, rows))


def print_tables(slopes: model.Slopes) -> None:
    """Print every table."""
    for size in (sizes.TODAY, sizes.PLANNED):
        print_roles(slopes, size)
    print_link_options(slopes, sizes.PLANNED)
    for size in (sizes.TODAY, sizes.PLANNED):
        print_platform(slopes, size)
    for size in (sizes.TODAY, sizes.PLANNED):
        print_figures(slopes, size)
    print_fits(slopes)


def replace_tables(page: pathlib.Path, tables: str) -> None:
    """Replace the text between the markers of a page with ``tables``."""
    text = page.read_text(encoding='utf-8')
    before, _, rest = text.partition(_BEGIN_MARKER)
    _, _, after = rest.partition(_END_MARKER)
    text = f'{before}{_BEGIN_MARKER}\n\n{tables}\n{_END_MARKER}{after}'
    page.write_text(text, encoding='utf-8')


def main() -> int:
    """Print the tables; return the exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m tools.capacity', description=__doc__
    )
    parser.add_argument('slopes', type=pathlib.Path, nargs='+', metavar='FILE')
    parser.add_argument(
        '--page',
        type=pathlib.Path,
        help='write the tables between the markers of this page',
    )
    parsed = parser.parse_args()
    slopes = model.Slopes(parsed.slopes)
    if parsed.page is None:
        print_tables(slopes)
        return 0
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        print_tables(slopes)
    replace_tables(parsed.page, out.getvalue().strip())
    return 0


if __name__ == '__main__':
    sys.exit(main())
