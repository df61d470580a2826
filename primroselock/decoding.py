"""Decodes what another party wrote into typed records, and never raises.

Rows, answers, messages and calls come from other writers and may hold
anything.  A reader of this module returns the record, or a plain reason
why there is none: malformed text, a value of another type, nesting deeper
than the interpreter's stack, a number that cannot be represented.  So one
odd item is an item that cannot be read, and nothing else.

Records declare the bounds of their numbers by the types below: a number
beyond them is an item that cannot be read too.  Sums and products of
bounded numbers can be turned into floats, which those of arbitrary numbers
cannot.
"""

from collections import abc
import re
import typing

import msgspec
import result

MAX_NUMBER: typing.Final = 2**53
"""Up to here every whole number is a float without rounding."""

MAX_PORT: typing.Final = 65535
_MAX_DIGITS: typing.Final = len(str(MAX_NUMBER))
_MAX_HOST_CHARACTERS: typing.Final = 253
_MAX_REASON_CHARACTERS: typing.Final = 200

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A whole number of at least 0."""

Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
"""A whole number of at least 1."""

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A whole number of either sign."""

Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A number of at least 0, such as a duration."""

Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A number of either sign."""

_FAILURES: typing.Final = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    ArithmeticError,
    LookupError,
    RecursionError,
)
"""What decoding raises for odd input; a lack of memory is no such input."""

_HOST: typing.Final = re.compile(r'[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]')

_Input = typing.TypeVar('_Input')
_Record = typing.TypeVar('_Record')
Reader = abc.Callable[[bytes], result.Result[_Record, str]]
"""Returns the record in some bytes, or the reason why there is none."""


def attempt(
    decode: abc.Callable[[_Input], _Record], value: _Input
) -> result.Result[_Record, str]:
    """Return what ``decode`` makes of ``value``, or why it fails."""
    try:
        return result.Ok(decode(value))
    except _FAILURES as error:
        reason = f'{type(error).__name__}: {error}'
        return result.Err(reason[:_MAX_REASON_CHARACTERS])


def json_reader(kind: type[_Record]) -> Reader[_Record]:
    """Return the reader of records of type ``kind`` in JSON."""
    decode = msgspec.json.Decoder(kind).decode
    return lambda value: attempt(decode, value)


def msgpack_reader(kind: type[_Record]) -> Reader[_Record]:
    """Return the reader of records of type ``kind`` in MessagePack."""
    decode = msgspec.msgpack.Decoder(kind).decode
    return lambda value: attempt(decode, value)


def read_json(
    kind: type[_Record], value: bytes
) -> result.Result[_Record, str]:
    """Return the record of type ``kind`` in some JSON, or why there is none.

    For a type that is known only at the call.
    """
    return attempt(lambda text: msgspec.json.decode(text, type=kind), value)


def parse_count(text: str, maximum: int = MAX_NUMBER) -> int | None:
    """Return the whole number that ``text`` is, from 0 to ``maximum``.

    None for anything else; the digits are those of ASCII.
    """
    if not (text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= maximum else None


def is_address(text: str) -> bool:
    """Return whether calls can be sent to ``text``: a host and a port.

    The host is a name or an IP address, one of IP version 6 in brackets;
    the port is from 1 to 65535.
    """
    host, _, port = text.rpartition(':')
    if len(host) > _MAX_HOST_CHARACTERS or not _HOST.fullmatch(host):
        return False
    return bool(parse_count(port, MAX_PORT))
