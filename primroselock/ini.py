"""Validated parsing of INI text into frozen data classes.

A section is described by a frozen data class whose fields are created by
:func:`key`.  Each field names a *kind*, a function from text to value
that raises ``ValueError``; the kinds are in a registry.  Reading a section
returns every problem found, not only the first, so that an operator can
correct a file in one pass.
"""

from collections import abc
import configparser
import dataclasses
import ipaddress
import re
import typing

import result

from primroselock import decoding

Sections = dict[str, dict[str, str]]
"""The text of each value, by section and key."""

_NAME_PATTERN: typing.Final = re.compile(r'[a-z0-9][a-z0-9_.-]{0,62}')
_TRUE_WORDS: typing.Final = frozenset({'true', 'yes', 'on'})
_FALSE_WORDS: typing.Final = frozenset({'false', 'no', 'off'})


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One problem of an INI text: its location and what was expected."""

    source: str
    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        location = f'{self.source}: [{self.section}]'
        if self.key:
            location = f'{location} {self.key} = {self.value!r}'
        return f'{location}: expected {self.expected}'


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A named conversion from text to a value.

    ``convert`` raises ``ValueError`` for an invalid text; ``expected``
    completes the message 'expected ...' of its :class:`Problem`.
    """

    name: str
    expected: str
    convert: abc.Callable[[str], typing.Any]


kinds_by_name: dict[str, Kind] = {}

_Convert = abc.Callable[[str], typing.Any]


def kind(name: str, expected: str) -> abc.Callable[[_Convert], _Convert]:
    """Register the decorated conversion under ``name``."""

    def register(convert: _Convert) -> _Convert:
        kinds_by_name[name] = Kind(name, expected, convert)
        return convert

    return register


@kind('text', 'text')
def _text(value: str) -> str:
    return value


@kind('name', 'a name of a-z, 0-9, "_", "." and "-", at most 63 long')
def _name(value: str) -> str:
    if not _NAME_PATTERN.fullmatch(value):
        raise ValueError(value)
    return value


@kind('names', 'names separated by commas')
def _names(value: str) -> tuple[str, ...]:
    return tuple(_name(item) for item in split_list(value))


@kind('boolean', 'true or false')
def _boolean(value: str) -> bool:
    word = value.lower()
    if word in _TRUE_WORDS:
        return True
    if word in _FALSE_WORDS:
        return False
    raise ValueError(value)


@kind('count', 'a whole number of at least 0')
def _count(value: str) -> int:
    number = int(value)
    if not 0 <= number <= decoding.MAX_NUMBER:
        raise ValueError(value)
    return number


@kind('positive', 'a whole number of at least 1')
def _positive(value: str) -> int:
    number = int(value)
    if not 1 <= number <= decoding.MAX_NUMBER:
        raise ValueError(value)
    return number


@kind('seconds', 'a number of seconds above 0')
def _seconds(value: str) -> float:
    number = float(value)
    if not 0 < number <= decoding.MAX_NUMBER:
        raise ValueError(value)
    return number


@kind('delay', 'a number of seconds of at least 0')
def _delay(value: str) -> float:
    number = float(value)
    if not 0 <= number <= decoding.MAX_NUMBER:
        raise ValueError(value)
    return number


@kind('factor', 'a number of at least 1')
def _factor(value: str) -> float:
    number = float(value)
    if not 1 <= number <= decoding.MAX_NUMBER:
        raise ValueError(value)
    return number


@kind('share', 'a number from 0 to 1')
def _share(value: str) -> float:
    number = float(value)
    if not 0 <= number <= 1:
        raise ValueError(value)
    return number


@kind('address', 'an IP address and port, such as 127.0.0.1:8080')
def _address(value: str) -> str:
    host, _, port = value.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 <= int(port) <= 65535:
        raise ValueError(value)
    return value


@kind('optional_address', 'an IP address and port, or nothing')
def _optional_address(value: str) -> str:
    return _address(value) if value else ''


@kind('addresses', 'IP addresses with ports, separated by commas')
def _addresses(value: str) -> tuple[str, ...]:
    return tuple(_address(item) for item in split_list(value))


@kind('digests', 'SHA-256 digests in hex, separated by commas')
def _digests(value: str) -> tuple[str, ...]:
    digests = tuple(item.lower() for item in split_list(value))
    for digest in digests:
        if not re.fullmatch(r'[0-9a-f]{64}', digest):
            raise ValueError(value)
    return digests


@kind('curve_key', 'a CURVE key of 40 Z85 characters')
def _curve_key(value: str) -> str:
    if not re.fullmatch(r'[0-9a-zA-Z.:+=^!/*?&<>()\[\]{}@%$#-]{40}', value):
        raise ValueError(value)
    return value


@kind('log_format', 'json or console')
def _log_format(value: str) -> str:
    if value not in ('json', 'console'):
        raise ValueError(value)
    return value


def split_list(value: str) -> list[str]:
    """Return the non-empty items of a comma-separated list."""
    return [item.strip() for item in value.split(',') if item.strip()]


def key(
    kind_name: str, default: typing.Any = dataclasses.MISSING
) -> typing.Any:
    """Describe one key of a section; without a default it is required."""
    return dataclasses.field(default=default, metadata={'kind': kind_name})


def parse(text: str, source: str) -> result.Result[Sections, list[Problem]]:
    """Parse INI ``text`` to sections; problems refer to it as ``source``."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        reason = ' '.join(str(error).split())
        return result.Err(
            [Problem(source, '', '', '', f'valid INI syntax ({reason})')]
        )
    # The keys of a DEFAULT section would be added to every section.
    if parser.defaults():
        expected = 'no DEFAULT section'
        return result.Err([Problem(source, 'DEFAULT', '', '', expected)])
    return result.Ok(
        {name: dict(parser.items(name)) for name in parser.sections()}
    )


_Section = typing.TypeVar('_Section')


def read_section(
    section_class: type[_Section],
    values: abc.Mapping[str, str],
    source: str,
    section: str,
    extra: abc.Mapping[str, typing.Any] | None = None,
) -> result.Result[_Section, list[Problem]]:
    """Build ``section_class`` from ``values``, or return every problem.

    ``extra`` has values of fields that are not keys of the section.
    """
    problems: list[Problem] = []
    built: dict[str, typing.Any] = dict(extra or {})
    fields_by_name = {
        field.name: field
        for field in dataclasses.fields(typing.cast(typing.Any, section_class))
        if 'kind' in field.metadata
    }
    for name, value in values.items():
        if name not in fields_by_name:
            expected = 'one of the keys ' + ', '.join(sorted(fields_by_name))
            problems.append(Problem(source, section, name, value, expected))
    for name, field in fields_by_name.items():
        field_kind = kinds_by_name[field.metadata['kind']]
        if name not in values:
            if field.default is dataclasses.MISSING:
                expected = f'a value: {field_kind.expected}'
                problems.append(Problem(source, section, name, '', expected))
            continue
        try:
            built[name] = field_kind.convert(values[name].strip())
        except ValueError:
            problems.append(
                Problem(
                    source, section, name, values[name], field_kind.expected
                )
            )
    if problems:
        return result.Err(problems)
    return result.Ok(section_class(**built))
