"""Leaves out a row that cannot be used, so that the others hold.

A row that cannot be decoded is logged and read as None.  The second line of
defence is for one that cannot be applied: whatever it leads to, the rows
beside it are applied, a change feed is followed on, and a takeover comes to
its end.
"""

from collections import abc
import contextlib
import typing

import result

from primroselock import decoding
from primroselock.store import table

_Record = typing.TypeVar('_Record')


class Log(typing.Protocol):
    """Where a row that is left out is reported."""

    def error(self, event: str, **values: typing.Any) -> typing.Any:
        """Log an error."""


def decode(
    read: decoding.Reader[_Record], row: table.Row, log: Log
) -> _Record | None:
    """Return the record in a row; None, with a log line, if there is none."""
    decoded = read(row.value)
    if isinstance(decoded, result.Err):
        log.error('row cannot be decoded', key=row.key, why=decoded.err_value)
        return None
    return decoded.ok_value


@contextlib.contextmanager
def leave_out(log: Log, key: str) -> abc.Iterator[None]:
    """Log an exception of the block, which applies the row ``key``.

    A lack of memory is raised: it is no fault of the row.
    """
    try:
        yield
    except MemoryError:
        raise
    except Exception as error:
        log.error('row left out: not applied', key=key, exc_info=error)
