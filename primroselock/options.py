"""Settings that one process needs to start, read from an INI file.

Settings are not the configuration, which operators patch and the platform
stores.  Every problem of a section is reported; the parts of a process
share one :class:`Settings` object.
"""

from collections import abc
import dataclasses
import pathlib
import typing

import result

from primroselock import errors
from primroselock import httpsettings
from primroselock import ini
from primroselock import meshsettings


HEARTBEATS_PER_WINDOW: typing.Final = 3
"""Heartbeat intervals after which a worker counts as unresponsive."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Identity of this process, and its log format."""

    vm_id: str = ini.key('name')
    zone: str = ini.key('name')
    log_format: str = ini.key('log_format', 'json')


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Address of the platform, and limits of the calls to it.

    ``control_connections`` are used for leases, the configuration and the
    VM list, which so never wait for other calls.  ``max_calls_per_s``
    limits each client of a process.  A row of the table has at most
    ``max_row_bytes``.
    """

    address: str = ini.key('address')
    timeout_s: float = ini.key('seconds', 2.0)
    connections: int = ini.key('positive', 8)
    control_connections: int = ini.key('positive', 4)
    max_calls_per_s: int = ini.key('positive', 500)
    max_row_bytes: int = ini.key('positive', 65_536)
    vm_list_interval_s: float = ini.key('seconds', 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Intervals of reading the configuration, and its start permit.

    The poller of a zone changes every ``poller_rotation_s``.  A process
    that has no confirmation ``cold_start_wait_s`` after its start serves
    with the version of its peers.  Tasks start while the last confirmation
    is at most ``start_permit_ttl_s`` old.
    """

    poll_interval_s: float = ini.key('seconds', 0.5)
    poller_rotation_s: float = ini.key('seconds', 30.0)
    cold_start_wait_s: float = ini.key('seconds', 2.0)
    start_permit_ttl_s: float = ini.key('seconds', 3.0)


@ini.kind('upstream_choice', 'least_of_two or random')
def _upstream_choice(value: str) -> str:
    if value not in ('least_of_two', 'random'):
        raise ValueError(value)
    return value


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Limits of the gateway.

    ``leaving_delay_s`` is the time for which a gateway that shuts down
    still accepts requests, and ``shutdown_grace_s`` bounds the time to
    finish those in progress.  Claims of idempotency keys are written in
    batches every ``claim_interval_s``, and expire after ``claim_ttl_s``;
    answers up to ``max_kept_answer_bytes`` are stored with them.
    """

    bind: str = ini.key('address', '127.0.0.1:0')
    operator_digests: tuple[str, ...] = ini.key('digests', ())
    default_timeout_s: float = ini.key('seconds', 30.0)
    max_timeout_s: float = ini.key('seconds', 300.0)
    max_body_bytes: int = ini.key('positive', 4 * 1024 * 1024)
    max_header_bytes: int = ini.key('positive', 16 * 1024)
    leaving_delay_s: float = ini.key('seconds', 2.0)
    shutdown_grace_s: float = ini.key('seconds', 30.0)
    upstream_choice: str = ini.key('upstream_choice', 'least_of_two')
    claim_interval_s: float = ini.key('seconds', 0.04)
    claim_ttl_s: float = ini.key('seconds', 3600.0)
    claim_sweep_interval_s: float = ini.key('seconds', 5.0)
    max_kept_answer_bytes: int = ini.key('positive', 64 * 1024)
    tls_certificate: str = ini.key('text', '')
    tls_key: str = ini.key('text', '')


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Leases and intervals of the scheduler.

    A job that cannot be placed may move to another shard after waiting for
    ``balance_after_s``; until ``divert_for_s`` it prefers another shard to
    a preemption that loses much work.  ``reserve_timeout_s`` bounds each
    step of a start, and ``checkpoint_grace_s`` the time to save progress
    before a stop.  A gap of more than ``freeze_gap_s`` between two ticks
    counts as a process pause.  A standby waits ``takeover_delay_s`` before
    it takes over a free shard, so that faster VMs go first.
    """

    status_bind: str = ini.key('address', '127.0.0.1:0')
    placement: str = ini.key('name', 'best_buddy')
    queue_order: str = ini.key('name', 'shortest_remaining')
    victim_choice: str = ini.key('name', 'least_lost')
    balance_after_s: float = ini.key('seconds', 5.0)
    divert_for_s: float = ini.key('seconds', 3.0)
    tick_interval_s: float = ini.key('seconds', 0.1)
    job_poll_interval_s: float = ini.key('seconds', 0.5)
    shard_lease_s: float = ini.key('seconds', 6.0)
    takeover_delay_s: float = ini.key('delay', 0.0)
    shard_renew_interval_s: float = ini.key('seconds', 1.5)
    heartbeat_interval_s: float = ini.key('seconds', 1.0)
    worker_timeout_s: float = ini.key('seconds', 2.0)
    task_lease_s: float = ini.key('seconds', 15.0)
    reserve_timeout_s: float = ini.key('seconds', 5.0)
    checkpoint_grace_s: float = ini.key('seconds', 1.0)
    freeze_gap_s: float = ini.key('seconds', 1.0)

    @property
    def heartbeat_window_s(self) -> float:
        """Return how old a worker's last report may be for a renewal."""
        return self.heartbeat_interval_s * HEARTBEATS_PER_WINDOW

    @property
    def partial_run_bound_s(self) -> float:
        """Return how long members may run after one of them ended.

        The last renewal is decided within the heartbeat window after the
        last report on the ended member; that lease expires ``task_lease_s``
        later.
        """
        return self.heartbeat_window_s + self.task_lease_s

    @property
    def lease_expiry_bound_s(self) -> float:
        """Return the time after which all earlier leases have expired.

        An earlier holder of the shard may renew leases until its next
        exchange with a worker that has seen the new holder's epoch.
        """
        overlap_s = self.heartbeat_interval_s + self.worker_timeout_s
        return self.task_lease_s + overlap_s

    @property
    def takeover_bound_s(self) -> float:
        """Return the longest time without renewals around a takeover.

        It lasts from the last renewal by a holder that crashed to the first
        by its successor: the last heartbeat, a standby's two polls around
        the shard lease, the load of the jobs, and one complete exchange.
        """
        return (
            self.heartbeat_interval_s
            + self.shard_lease_s
            + self.shard_renew_interval_s * 2
            + self.job_poll_interval_s
            + self.tick_interval_s * 2
            + self.worker_timeout_s
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """Addresses and bounds of a node that accepts and places task graphs.

    ``start_permit_s`` and ``serve_permit_s`` bound the age of the
    operators' rows for starts and for calls, and ``entry_permit_s`` that of
    the workers' entries for starts; beyond ``accept_permit_s`` no
    job is accepted, and beyond ``ready_permit_s`` the node reports to the
    load balancer that it is not ready.  While a newer version of these rows
    is on its way, calls are served up to ``outdated_permit_s`` only, and
    while it arrives the two shorter permits are as long.  The store must
    accept a job within
    ``accept_timeout_s``.  ``run_lease_s`` is the longest lease of a run;
    ``longest_wait_s`` bounds the wait of one long poll of a worker, whose
    answer may take ``look_timeout_s`` more.  A worker must answer an order
    or a probe within ``order_timeout_s``, and all members of an attempt
    must be accepted within ``start_timeout_s``.

    A copy of a table counts as fresh up to ``follow_age_s``, which exceeds
    the duration of a call of the change feed without changes
    (``operator_wait_s`` for the operators' rows, ``entry_wait_s`` for the
    workers' entries, else ``follow_wait_s``); a
    node that does not hold the shard lease follows the lease with pauses of
    ``standby_pause_s``.  The number of waiting jobs is refused once the
    holder's last count is older than ``count_age_s``.  Remote from its data
    or rack a task takes ``far_factor`` times as long.  Rows of ended jobs
    are deleted after ``keep_ended_s``, tombstones of jobs that were cancelled
    before they were stored after ``keep_tombstones_s``.  Learned run times
    are stored every ``learned_interval_s``, if there are new ones; they
    replace callers' estimates that are off by more than
    ``trusted_estimate_ratio``.

    At a shutdown the hand-over of the shard takes at most ``leaving_s``;
    the node then serves for ``leaving_s`` until callers use other nodes,
    and finishes its calls within another ``leaving_s``.

    A step has at most ``max_tasks`` tasks and a job, with all occurrences,
    ``max_job_tasks``, so that its progress fits in one transaction.

    Capacity claims of waiting gangs may exclude other work from up to
    ``claim_share`` of the workers.

    Checkpointing work saves its progress after each ``checkpoint_s`` of work
    and when it is stopped, and resumes from that within ``restore_s``.  A
    stop takes at most ``stop_s``.  What was learned of the workers' speeds
    is stored each ``speed_save_s``, if it has changed.
    """

    shard: str = ini.key('name', 'fleet')
    bind: str = ini.key('address', '127.0.0.1:0')
    ready_bind: str = ini.key('address', '127.0.0.1:0')
    metrics_bind: str = ini.key('address', '127.0.0.1:0')
    advice: str = ini.key('optional_address', '')
    waiting_order: str = ini.key('name', 'useful')
    placement: str = ini.key('name', 'best_fit')
    reclaim: str = ini.key('name', 'urgent')
    claim_share: float = ini.key('share', 0.5)
    speed_order: str = ini.key('name', 'in_time')
    preemption_cost: str = ini.key('name', 'both_sides')
    run_lease_s: float = ini.key('seconds', 10.0)
    longest_wait_s: float = ini.key('seconds', 2.0)
    order_timeout_s: float = ini.key('seconds', 0.4)
    look_timeout_s: float = ini.key('seconds', 0.8)
    start_timeout_s: float = ini.key('seconds', 1.5)
    start_permit_s: float = ini.key('seconds', 2.5)
    entry_permit_s: float = ini.key('seconds', 2.5)
    serve_permit_s: float = ini.key('seconds', 3.4)
    outdated_permit_s: float = ini.key('seconds', 3.0)
    accept_permit_s: float = ini.key('seconds', 1.9)
    ready_permit_s: float = ini.key('seconds', 2.0)
    accept_timeout_s: float = ini.key('seconds', 1.2)
    operator_wait_s: float = ini.key('seconds', 0.6)
    entry_wait_s: float = ini.key('seconds', 0.6)
    follow_wait_s: float = ini.key('seconds', 1.0)
    follow_age_s: float = ini.key('seconds', 2.5)
    standby_pause_s: float = ini.key('seconds', 0.4)
    count_age_s: float = ini.key('seconds', 1.6)
    default_deadline_s: float = ini.key('seconds', 3.0)
    leaving_s: float = ini.key('seconds', 2.5)
    far_factor: float = ini.key('factor', 3.0)
    max_tasks: int = ini.key('positive', 1000)
    max_job_tasks: int = ini.key('positive', 5000)
    keep_ended_s: float = ini.key('seconds', 900.0)
    keep_tombstones_s: float = ini.key('seconds', 120.0)
    learned_interval_s: float = ini.key('seconds', 15.0)
    trusted_estimate_ratio: float = ini.key('factor', 3.0)
    checkpoint_s: float = ini.key('seconds', 1.0)
    restore_s: float = ini.key('seconds', 0.3)
    stop_s: float = ini.key('seconds', 0.5)
    speed_save_s: float = ini.key('seconds', 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one process; keys without a default are required."""

    process: ProcessSettings
    platform: PlatformSettings
    mesh: meshsettings.MeshSettings
    configuration: ConfigurationSettings
    gateway: GatewaySettings
    scheduler: SchedulerSettings
    fleet: FleetSettings
    http: httpsettings.HttpSettings


_CLASSES_BY_SECTION: typing.Final[dict[str, type[typing.Any]]] = {
    'process': ProcessSettings,
    'platform': PlatformSettings,
    'mesh': meshsettings.MeshSettings,
    'configuration': ConfigurationSettings,
    'gateway': GatewaySettings,
    'scheduler': SchedulerSettings,
    'fleet': FleetSettings,
    'http': httpsettings.HttpSettings,
}


def list_changes(old: Settings, new: Settings) -> list[str]:
    """Return the names of the values that differ, as ``section.key``."""
    return [
        f'{section}.{field.name}'
        for section, section_class in _CLASSES_BY_SECTION.items()
        for field in dataclasses.fields(section_class)
        if getattr(getattr(old, section), field.name)
        != getattr(getattr(new, section), field.name)
    ]


def parse(
    text: str, source: str
) -> result.Result[Settings, list[ini.Problem]]:
    """Read settings from INI ``text``; return every problem found."""
    parsed = ini.parse(text, source)
    if isinstance(parsed, result.Err):
        return parsed
    sections = parsed.ok_value
    problems: list[ini.Problem] = []
    for name in sections:
        if name not in _CLASSES_BY_SECTION:
            expected = 'one of the sections ' + ', '.join(_CLASSES_BY_SECTION)
            problems.append(ini.Problem(source, name, '', '', expected))
    built: dict[str, typing.Any] = {}
    for name, section_class in _CLASSES_BY_SECTION.items():
        read = ini.read_section(
            section_class, sections.get(name, {}), source, name
        )
        if isinstance(read, result.Err):
            problems.extend(read.err_value)
        else:
            built[name] = read.ok_value
    if not problems:
        problems = _check_relations(built, source)
    if problems:
        return result.Err(problems)
    return result.Ok(Settings(**built))


def _check_relations(
    built: dict[str, typing.Any], source: str
) -> list[ini.Problem]:
    """Check the rules that relate several keys."""
    scheduler: SchedulerSettings = built['scheduler']
    problems = meshsettings.check(built['mesh'], source)
    problems += _check_fleet(built['fleet'], source)
    gateway: GatewaySettings = built['gateway']
    problems += _check_http(built['http'], gateway, source)
    if gateway.claim_ttl_s < gateway.max_timeout_s * 2:
        problems.append(
            ini.Problem(
                source,
                'gateway',
                'claim_ttl_s',
                str(gateway.claim_ttl_s),
                'at least twice max_timeout_s',
            )
        )
    if bool(gateway.tls_certificate) != bool(gateway.tls_key):
        problems.append(
            ini.Problem(
                source,
                'gateway',
                'tls_key',
                gateway.tls_key,
                'tls_certificate and tls_key together',
            )
        )
    if scheduler.shard_renew_interval_s * 3 > scheduler.shard_lease_s:
        problems.append(
            ini.Problem(
                source,
                'scheduler',
                'shard_renew_interval_s',
                str(scheduler.shard_renew_interval_s),
                'at most a third of shard_lease_s',
            )
        )
    if scheduler.heartbeat_interval_s * 3 > scheduler.task_lease_s:
        problems.append(
            ini.Problem(
                source,
                'scheduler',
                'heartbeat_interval_s',
                str(scheduler.heartbeat_interval_s),
                'at most a third of task_lease_s',
            )
        )
    bound_s = scheduler.takeover_bound_s + built['platform'].timeout_s
    if scheduler.task_lease_s < bound_s:
        problems.append(
            ini.Problem(
                source,
                'scheduler',
                'task_lease_s',
                str(scheduler.task_lease_s),
                f'at least {bound_s:g}, so that tasks outlive a takeover',
            )
        )
    return problems


def _check_fleet(fleet: FleetSettings, source: str) -> list[ini.Problem]:
    rules = (
        (
            fleet.longest_wait_s * 3 <= fleet.run_lease_s,
            'longest_wait_s',
            fleet.longest_wait_s,
            'at most a third of run_lease_s',
        ),
        (
            fleet.operator_wait_s * 2 < fleet.accept_permit_s,
            'accept_permit_s',
            fleet.accept_permit_s,
            'more than twice operator_wait_s',
        ),
        (
            fleet.entry_wait_s * 2 < fleet.entry_permit_s,
            'entry_permit_s',
            fleet.entry_permit_s,
            'more than twice entry_wait_s',
        ),
        (
            fleet.follow_wait_s * 2 < fleet.follow_age_s,
            'follow_age_s',
            fleet.follow_age_s,
            'more than twice follow_wait_s',
        ),
    )
    return [
        ini.Problem(source, 'fleet', key, str(value), expected)
        for holds, key, value, expected in rules
        if not holds
    ]


def _check_http(
    http: httpsettings.HttpSettings, gateway: GatewaySettings, source: str
) -> list[ini.Problem]:
    rules = (
        ('max_head_bytes', http.max_head_bytes, gateway.max_header_bytes),
        ('max_held_bytes', http.max_held_bytes, gateway.max_body_bytes * 2),
    )
    return [
        ini.Problem(source, 'http', key, str(value), f'at least {least}')
        for key, value, least in rules
        if value < least
    ]


Parse = abc.Callable[[str, str], result.Result[Settings, list[ini.Problem]]]


def load(path: str, parse_text: Parse = parse) -> Settings:
    """Read the settings file at ``path``; ``parse_text`` parses its format.

    Raises :class:`errors.CommandError` with a line for each problem.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandError(
            errors.ExitCode.USAGE, f'{path}: cannot be read: {error}'
        ) from error
    parsed = parse_text(text, path)
    if isinstance(parsed, result.Err):
        lines = [str(problem) for problem in parsed.err_value]
        raise errors.CommandError(errors.ExitCode.USAGE, *lines)
    return parsed.ok_value
