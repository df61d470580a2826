"""Leaves out a row that cannot be applied, so that the others hold.

Decoders return an error for a row that cannot be read.  This is the second
line of defence: whatever one row leads to, the rows beside it are applied,
a change feed is followed on, and a takeover comes to its end.
"""

from collections import abc
import contextlib
import typing


class Log(typing.Protocol):
    """Where a row that is left out is reported."""

    def error(self, event: str, **values: typing.Any) -> typing.Any:
        """Log an error."""


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
