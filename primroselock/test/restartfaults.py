"""Series of workers that start again beside orders that are carried out late.

The late starts outlive the processes that hold them back.  The series are
added to those of any plan of the soak.
"""

import random
import typing

from primroselock.test import faultbuilders

_SERIES: typing.Final = 5
_MAX_RESTARTS: typing.Final = 8
_FIRST_AT_S: typing.Final = 2.0
_LATE_ORDERS_S: typing.Final = 4.0
_SERIES_S: typing.Final = 6.0
_MIN_DOWN_S: typing.Final = 0.2
_MAX_DOWN_S: typing.Final = 3.0
_MAX_TARGET: typing.Final = 60
_KINDS: typing.Final = ('restart worker', 'crash worker')


def draw_series(seed: int, until: float) -> tuple[faultbuilders.Fault, ...]:
    """Return the restarts of a seed, in series that begin before ``until``.

    Times are in seconds into the run.
    """
    source = random.Random(f'restarts {seed}')
    faults: list[faultbuilders.Fault] = []
    for _ in range(_SERIES):
        at = source.uniform(_FIRST_AT_S, max(until, _FIRST_AT_S))
        faults.append(
            faultbuilders.Fault('late answers', at, _LATE_ORDERS_S, 0)
        )
        faults += [
            faultbuilders.Fault(
                source.choice(_KINDS),
                at + source.uniform(0.0, _SERIES_S),
                source.uniform(_MIN_DOWN_S, _MAX_DOWN_S),
                source.randrange(_MAX_TARGET),
            )
            for _ in range(source.randint(1, _MAX_RESTARTS))
        ]
    return tuple(faults)
