"""The record of what was learned, which a next holder of the shard reads.

It is bounded: a queue takes at most about 600 bytes and a pair of queue and
account about 60, and what was not seen for longest is left out once the record
would be larger than a row.  A record that is old counts for less, and one that
cannot be read for nothing: the estimates of the callers are used then.
"""

import dataclasses
import math
import typing

import msgspec
import result

from primroselock.decisions.runtimes import learner
from primroselock.decisions.runtimes import quantiles
from primroselock.decisions.runtimes import regression
from primroselock import decoding

_HALF_LIFE_S: typing.Final = 6 * 3600.0
"""Runs of before a takeover count half after this time."""

_MAX_AGE_S: typing.Final = 7 * 24 * 3600.0
_DIGITS: typing.Final = 4
"""Decimal places that are stored: the sums are of logarithms."""

_MAX_MEAN_LOG: typing.Final = math.log(decoding.MAX_NUMBER)
_MIN_MEAN_LOG: typing.Final = math.log(learner.MIN_TIME_S)


class _Queue(msgspec.Struct, array_like=True):
    """What was learned of a queue; ``counts`` are the bins that have any."""

    name: str
    weight: decoding.Amount
    estimates: decoding.Number
    times: decoding.Number
    estimates_squared: decoding.Amount
    products: decoding.Number
    counts: list[tuple[decoding.Count, decoding.Amount]]


class _Account(msgspec.Struct, array_like=True):
    """The deviation of an account from its queue."""

    queue: str
    account: str
    total: decoding.Number
    weight: decoding.Amount


class _Record(msgspec.Struct):
    """All that is stored; ``wall_s`` is when, since the Unix epoch."""

    wall_s: decoding.Amount
    queues: list[_Queue]
    accounts: list[_Account]


_read: typing.Final = decoding.json_reader(_Record)


def encode(
    times: learner.RunTimes, wall_s: float, max_bytes: int
) -> bytes | None:
    """Return the record of what was learned, of at most ``max_bytes``.

    ``wall_s`` is since the Unix epoch.  None if nothing fits.
    """
    queues = [_queue(*item) for item in times.by_queue.items()]
    accounts = [_account(*item) for item in times.deviations_by_kind.items()]
    while queues:
        value = msgspec.json.encode(
            _Record(round(wall_s, 1), queues, accounts)
        )
        if len(value) <= max_bytes:
            return value
        # The later half was seen later.
        accounts = accounts[len(accounts) // 2 + 1 :]
        queues = queues[len(queues) // 2 + 1 :]
    return None


def _queue(name: str, times: learner.QueueTimes) -> _Queue:
    line = times.line
    return _Queue(
        name,
        round(line.weight, _DIGITS),
        round(line.estimates, _DIGITS),
        round(line.times, _DIGITS),
        round(line.estimates_squared, _DIGITS),
        round(line.products, _DIGITS),
        [
            (number, round(count, _DIGITS))
            for number, count in enumerate(times.spread.counts)
            if round(count, _DIGITS)
        ],
    )


def _account(kind: learner.Kind, own: learner.Deviation) -> _Account:
    return _Account(
        kind.queue,
        kind.account,
        round(own.total, _DIGITS),
        round(own.weight, _DIGITS),
    )


def decode(
    value: bytes, wall_s: float
) -> result.Result[learner.RunTimes, str]:
    """Return what an earlier holder learned, or why it is not usable.

    Entries that no runs can have led to are left out.  The clock of the
    earlier holder may be ahead of ``wall_s``, which is since the Unix epoch.
    """
    read = _read(value)
    if isinstance(read, result.Err):
        return read
    record = read.ok_value
    age_s = max(0.0, wall_s - record.wall_s)
    if age_s > _MAX_AGE_S:
        return result.Err(f'{age_s:.0f} s old')
    factor = 0.5 ** (age_s / _HALF_LIFE_S)
    times = learner.RunTimes()
    for queue in record.queues[-times.max_queues :]:
        if _is_plausible(queue):
            times.by_queue[queue.name] = _restore_queue(queue, factor)
    for account in record.accounts[-times.max_kinds :]:
        own = learner.Deviation(account.total, account.weight)
        if abs(own.log_factor) <= _MAX_MEAN_LOG:
            own.scale(factor)
            kind = learner.Kind(account.queue, account.account)
            times.deviations_by_kind[kind] = own
    return result.Ok(times)


def _is_plausible(queue: _Queue) -> bool:
    """Return whether sums can be those of logarithms of run times."""
    weight = queue.weight
    if not 0 < weight <= 1 / (1 - regression.DECAY) + 1:
        return False
    means = (queue.estimates / weight, queue.times / weight)
    bins = [number for number, _ in queue.counts]
    return all(
        _MIN_MEAN_LOG <= mean <= _MAX_MEAN_LOG for mean in means
    ) and all(number < quantiles.BINS for number in bins)


def _restore_queue(queue: _Queue, factor: float) -> learner.QueueTimes:
    times = learner.QueueTimes(
        regression.Regression(
            queue.weight,
            queue.estimates,
            queue.times,
            queue.estimates_squared,
            queue.products,
        )
    )
    for number, count in queue.counts:
        times.spread.counts[number] = count
    times.spread.weight = math.fsum(times.spread.counts)
    times.line.scale(factor)
    times.spread.scale(factor)
    return times


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What is known, for the log."""

    queues: int
    accounts: int


def summarize(times: learner.RunTimes) -> Summary:
    """Return how much was learned."""
    return Summary(len(times.by_queue), len(times.deviations_by_kind))
