"""Configuration patched by operators: accounts, zones, services, limits.

The configuration is INI text, parsed into sections of keys.  A patch is INI
text too: its keys are merged into the sections of the same name, the value
``unset`` removes a key, and a section with nothing but ``remove = true``
removes that section.  A patch is accepted only if the complete resulting
configuration is valid; in particular the guarantees must fit into the racks
(see :mod:`primroselock.decisions.packing`).

Sections::

    [zone NAME]      state = in | out, racks = number of whole racks
    [account NAME]   token_digests, weight, guarantee.ZONE = SIZE:COUNT, ...
    [service NAME]   slots, connections, gateways, queue, max_body_bytes,
                     max_answer_bytes
    [jobs]           limits on jobs
"""

from collections import abc
import dataclasses
import typing

import result

from primroselock.decisions import packing
from primroselock import decoding
from primroselock import ini

UNSET: typing.Final = 'unset'
_GUARANTEE_PREFIX: typing.Final = 'guarantee.'
_REMOVE: typing.Final = 'remove'


@ini.kind('zone_state', 'in or out')
def _zone_state(value: str) -> str:
    if value not in ('in', 'out'):
        raise ValueError(value)
    return value


@ini.kind(
    'cells',
    'cell sizes and counts, such as 64:1, 8:2, with sizes '
    + ', '.join(str(size) for size in packing.CELL_SIZES),
)
def _cells(value: str) -> abc.Mapping[int, int]:
    counts_by_size: dict[int, int] = {}
    for item in ini.split_list(value):
        size_text, _, count_text = item.partition(':')
        size, count = int(size_text), int(count_text)
        if size not in packing.CELL_SIZES or size in counts_by_size:
            raise ValueError(value)
        if not 0 <= count <= decoding.MAX_NUMBER:
            raise ValueError(value)
        counts_by_size[size] = count
    return counts_by_size


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone; ``racks`` counts its whole racks."""

    name: str
    state: str = ini.key('zone_state', 'in')
    racks: int = ini.key('count', 0)

    @property
    def is_in_service(self) -> bool:
        """Return whether the zone is in service, so that tasks may start."""
        return self.state == 'in'


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account and its guarantees.

    ``guarantees_by_zone`` maps a zone to cell counts by cell size.
    ``token_digests`` are SHA-256 digests in hex; ``weight`` is the
    account's relative share of a service's queue.
    """

    name: str
    guarantees_by_zone: abc.Mapping[str, abc.Mapping[int, int]]
    token_digests: tuple[str, ...] = ini.key('digests', ())
    weight: int = ini.key('positive', 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service whose requests are forwarded to upstreams.

    ``slots`` and ``connections`` are the limits of each upstream;
    ``gateways`` is the maximum number of gateway processes alive at a
    time, including those that are shutting down; the connections are divided
    among them.  ``queue`` is the maximum number of requests that wait in
    one gateway.
    """

    name: str
    slots: int = ini.key('positive', 8)
    connections: int = ini.key('positive', 64)
    gateways: int = ini.key('positive', 16)
    queue: int = ini.key('count', 256)
    max_body_bytes: int = ini.key('positive', 4 * 1024 * 1024)
    max_answer_bytes: int = ini.key('positive', 4 * 1024 * 1024)


@dataclasses.dataclass(frozen=True, slots=True)
class JobRules:
    """Limits on jobs.

    The delay before a retry doubles from ``retry_delay_s`` with each
    failure, up to ``max_retry_delay_s``.
    """

    max_members: int = ini.key('positive', 64)
    max_attempts: int = ini.key('positive', 5)
    retry_delay_s: float = ini.key('seconds', 1.0)
    max_retry_delay_s: float = ini.key('seconds', 300.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One numbered version of the configuration."""

    version: int
    zones_by_name: abc.Mapping[str, Zone]
    accounts_by_name: abc.Mapping[str, Account]
    services_by_name: abc.Mapping[str, Service]
    job_rules: JobRules


EMPTY: typing.Final = Configuration(0, {}, {}, {}, JobRules())


def merge(sections: ini.Sections, patch: ini.Sections) -> ini.Sections:
    """Return ``sections`` with ``patch`` applied; neither is changed."""
    merged = {name: dict(values) for name, values in sections.items()}
    for name, values in patch.items():
        if values == {_REMOVE: 'true'}:
            merged.pop(name, None)
            continue
        section = merged.setdefault(name, {})
        for key, value in values.items():
            if value == UNSET:
                section.pop(key, None)
            else:
                section[key] = value
    return merged


def difference(old: ini.Sections, new: ini.Sections) -> ini.Sections:
    """Return the patch that turns ``old`` into ``new``."""
    patch: ini.Sections = {}
    for name in old.keys() - new.keys():
        patch[name] = {_REMOVE: 'true'}
    for name, values in new.items():
        before = old.get(name, {})
        changed = {
            key: value
            for key, value in values.items()
            if before.get(key) != value
        }
        changed.update({key: UNSET for key in before.keys() - values.keys()})
        if changed or name not in old:
            patch[name] = changed
    return dict(sorted(patch.items()))


def to_text(sections: ini.Sections) -> str:
    """Return ``sections`` as INI text, in a stable order."""
    lines: list[str] = []
    for name, values in sorted(sections.items()):
        lines.append(f'[{name}]')
        for key in sorted(values):
            # An indented line continues a value.
            value = values[key].replace('\n', '\n    ')
            lines.append(f'{key} = {value}')
        lines.append('')
    return '\n'.join(lines)


def find_warnings(checked: Configuration) -> tuple[str, ...]:
    """Return warnings on guarantees in zones that are out of service."""
    warnings: list[str] = []
    zones = checked.zones_by_name
    for account in checked.accounts_by_name.values():
        guaranteed = {
            zone: counts
            for zone, counts in account.guarantees_by_zone.items()
            if any(counts.values())
        }
        out = [zone for zone in guaranteed if not zones[zone].is_in_service]
        for zone in out:
            cells = ', '.join(
                f'{size}:{count}'
                for size, count in guaranteed[zone].items()
                if count
            )
            warnings.append(
                f'zone {zone} is out of service: the guarantee of account '
                f'{account.name} there ({cells}) cannot be reclaimed'
            )
        if out and len(out) == len(guaranteed):
            warnings.append(
                f'account {account.name} has no guarantee in any zone '
                'that is in service'
            )
    return tuple(warnings)


class _Builder:
    """Builds a configuration from sections and collects its problems."""

    def __init__(self, version: int, source: str) -> None:
        self.version = version
        self.source = source
        self.problems: list[ini.Problem] = []
        self.zones: dict[str, Zone] = {}
        self.accounts: dict[str, Account] = {}
        self.services: dict[str, Service] = {}
        self.job_rules = JobRules()

    def build(self) -> Configuration:
        return Configuration(
            self.version,
            self.zones,
            self.accounts,
            self.services,
            self.job_rules,
        )

    def add_problem(
        self, section: str, key: str, value: str, expected: str
    ) -> None:
        self.problems.append(
            ini.Problem(self.source, section, key, value, expected)
        )


_SectionReader = abc.Callable[[_Builder, str, str, dict[str, str]], None]
"""Its texts are the complete section name and the name after the kind."""

_readers_by_section_kind: dict[str, _SectionReader] = {}


def _section(
    section_kind: str,
) -> abc.Callable[[_SectionReader], _SectionReader]:
    def register(read: _SectionReader) -> _SectionReader:
        _readers_by_section_kind[section_kind] = read
        return read

    return register


_Built = typing.TypeVar('_Built')


def _read_into(
    builder: _Builder,
    section_class: type[_Built],
    section: str,
    values: dict[str, str],
    **extra: typing.Any,
) -> _Built | None:
    read = ini.read_section(
        section_class, values, builder.source, section, extra
    )
    if isinstance(read, result.Err):
        builder.problems.extend(read.err_value)
        return None
    return read.ok_value


@_section('zone')
def _read_zone(
    builder: _Builder, section: str, name: str, values: dict[str, str]
) -> None:
    zone = _read_into(builder, Zone, section, values, name=name)
    if zone is not None:
        builder.zones[name] = zone


@_section('account')
def _read_account(
    builder: _Builder, section: str, name: str, values: dict[str, str]
) -> None:
    guarantees: dict[str, abc.Mapping[int, int]] = {}
    plain: dict[str, str] = {}
    cells = ini.kinds_by_name['cells']
    for key, value in values.items():
        if not key.startswith(_GUARANTEE_PREFIX):
            plain[key] = value
            continue
        try:
            zone = key.removeprefix(_GUARANTEE_PREFIX)
            guarantees[zone] = cells.convert(value)
        except ValueError:
            builder.add_problem(section, key, value, cells.expected)
    account = _read_into(
        builder,
        Account,
        section,
        plain,
        name=name,
        guarantees_by_zone=guarantees,
    )
    if account is not None:
        builder.accounts[name] = account


@_section('service')
def _read_service(
    builder: _Builder, section: str, name: str, values: dict[str, str]
) -> None:
    service = _read_into(builder, Service, section, values, name=name)
    if service is None:
        return
    if service.gateways > service.connections:
        value = str(service.gateways)
        builder.add_problem(section, 'gateways', value, 'at most connections')
        return
    builder.services[name] = service


@_section('jobs')
def _read_jobs(
    builder: _Builder, section: str, name: str, values: dict[str, str]
) -> None:
    if name:
        builder.add_problem(
            section, '', '', 'the section name jobs without a suffix'
        )
        return
    rules = _read_into(builder, JobRules, section, values)
    if rules is not None:
        builder.job_rules = rules


def read(
    sections: ini.Sections, version: int, source: str
) -> result.Result[Configuration, list[ini.Problem]]:
    """Build a configuration from ``sections``, or return all problems.

    ``source`` names the text in the problems.
    """
    builder = _Builder(version, source)
    name_kind = ini.kinds_by_name['name']
    for section, values in sections.items():
        section_kind, _, name = section.partition(' ')
        if section_kind not in _readers_by_section_kind:
            kinds = ', '.join(sorted(_readers_by_section_kind))
            builder.add_problem(section, '', '', f'a section of kind {kinds}')
            continue
        if section_kind != 'jobs':
            try:
                name_kind.convert(name)
            except ValueError:
                builder.add_problem(section, '', '', name_kind.expected)
                continue
        _readers_by_section_kind[section_kind](builder, section, name, values)
    _check_guarantees(builder)
    if builder.problems:
        return result.Err(builder.problems)
    return result.Ok(builder.build())


def _check_guarantees(builder: _Builder) -> None:
    """Check that guarantees name known zones and fit into their racks."""
    totals_by_zone: dict[str, dict[int, int]] = {}
    for account in builder.accounts.values():
        section = f'account {account.name}'
        for zone, counts in account.guarantees_by_zone.items():
            key = _GUARANTEE_PREFIX + zone
            if zone not in builder.zones:
                value = str(dict(counts))
                builder.add_problem(section, key, value, 'a zone that exists')
                continue
            totals = totals_by_zone.setdefault(zone, {})
            for size, count in counts.items():
                totals[size] = totals.get(size, 0) + count
    for zone, totals in totals_by_zone.items():
        failure = packing.check(totals, builder.zones[zone].racks)
        if failure is not None:
            builder.add_problem(
                f'zone {zone}',
                'racks',
                str(failure.available_racks),
                f'enough racks for all guarantees: cells of {failure.size} '
                'accelerators do not fit, all guarantees together need '
                f'{failure.needed} racks',
            )
