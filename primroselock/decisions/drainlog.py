"""Which boots of workers have left as planned, and which were lost.

A worker that is about to leave says in its entry that it drains; one that
crashes says nothing.  The next boot may answer a poll before its entry is
read, the entry may be gone by then, and the shard may have another holder.
So each drain is kept by the boot that reported it, apart from the worker's
latest entry, and is published for a successor with the version up to which
this holder has read the entries: the successor reads the changes since then.

A boot counts as lost only if a drain of it would have been read, and one that
drains as left as planned only if it went on for as long as it said.  Where
neither is sure its ending is unknown.
"""

from collections import abc
import dataclasses
import enum
import typing

import msgspec

from primroselock.decisions import fleetworkers
from primroselock.decisions import leasebounds
from primroselock import decoding

_NEVER: typing.Final = float('-inf')
_KEPT_S: typing.Final = 60.0
"""For so long drains are kept of workers that do not drain any more."""

_MIN_DRAIN_S: typing.Final = 1.5
"""A worker reports that it drains at least this long before it leaves."""

_TIMING_MARGIN_S: typing.Final = 0.1
_MAX_UNSEEN_S: typing.Final = 0.3
"""A worker that ran so shortly before it might leave has not crashed."""

_MAX_PUBLISHED_BYTES: typing.Final = 16_384
_BYTES_PER_BOOT: typing.Final = 18
"""Length of a boot in a row, without the id of its worker."""


class Ending(enum.Enum):
    """How a boot of a worker ended.

    DRAINED: it was draining, and for how much longer is not known.
    """

    PLANNED = 'left as planned'
    DRAINED = 'had drained'
    LOST = 'lost'
    UNKNOWN = 'not known'


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A boot of a worker that has reported that it drains.

    It leaves no sooner than ``leaves_from`` unless it crashes; minus infinity
    where that is not known.  It was last reported at ``reported_at``.  With
    ``is_doubtful`` it has been silent since before ``leaves_from``, until its
    leases had expired.  Times are on this process's clock.
    """

    boot: int
    leaves_from: float
    reported_at: float
    is_doubtful: bool = False

    def has_lasted(self, seen_at: float) -> bool:
        """Return whether a boot that ran at ``seen_at`` left as planned."""
        return not self.is_doubtful and (
            seen_at >= self.leaves_from - _MAX_UNSEEN_S
        )


class DrainReport(msgspec.Struct, frozen=True, array_like=True):
    """The drains that a holder publishes for its successor.

    ``boots_by_worker_id`` has the boot that drained last.  What the workers'
    entries said up to ``version`` is included; None if it is not.
    """

    boots_by_worker_id: dict[str, decoding.Count] = {}
    version: decoding.Count | None = None


NO_REPORT: typing.Final = DrainReport()


@dataclasses.dataclass(slots=True)
class DrainLog:
    """The drains that a shard's holder knows, by worker, oldest boot first.

    ``confirmed_at``, on this process's clock, is when the copy of the entries
    was last known to be up to date.  Up to the boot in ``unseen_boot_by_id`` a
    worker may have drained without this holder's knowledge.
    """

    drains_by_worker_id: dict[str, tuple[Drain, ...]] = dataclasses.field(
        default_factory=dict
    )
    confirmed_at: float = float('inf')
    unseen_boot_by_id: dict[str, int] = dataclasses.field(default_factory=dict)

    def note(self, entry: fleetworkers.WorkerEntry, now: float) -> None:
        """Note what an entry that was read at ``now`` says of its boot.

        It was written after the copy was last up to date.
        """
        if not entry.boot:
            return
        if self.unseen_boot_by_id.get(entry.id, -1) >= entry.boot:
            # It runs, and what it says is read again.
            self.unseen_boot_by_id[entry.id] = entry.boot - 1
        known = self._find(entry.id, entry.boot)
        others = tuple(
            drain
            for drain in self.drains_by_worker_id.get(entry.id, ())
            if drain is not known
        )
        if entry.is_draining:
            leaves_from = self._earliest_leave(entry, now)
            if known is not None:
                leaves_from = max(leaves_from, known.leaves_from)
            self._set(entry.id, *others, Drain(entry.boot, leaves_from, now))
        elif known is not None:
            # It goes on.
            self._set(entry.id, *others)

    def _earliest_leave(
        self, entry: fleetworkers.WorkerEntry, now: float
    ) -> float:
        """Return when a draining worker leaves at the earliest, as planned.

        Minus infinity where that is not known, or is over: nobody can tell
        any more whether it went on until then.
        """
        if entry.remaining_s is None:
            return _NEVER
        written_after = min(self.confirmed_at, now)
        remaining_s = entry.remaining_s / (1 + leasebounds.CLOCK_DRIFT)
        leaves_from = written_after + remaining_s - _TIMING_MARGIN_S
        return leaves_from if leaves_from > now else _NEVER

    def inherit(self, report: DrainReport, now: float) -> None:
        """Note the drains that an earlier holder has published."""
        for worker_id, boot in report.boots_by_worker_id.items():
            self._set(worker_id, Drain(boot, _NEVER, now))

    def _set(self, worker_id: str, *drains: Drain) -> None:
        if drains:
            self.drains_by_worker_id[worker_id] = drains
        else:
            self.drains_by_worker_id.pop(worker_id, None)

    def _find(self, worker_id: str, boot: int) -> Drain | None:
        for drain in self.drains_by_worker_id.get(worker_id, ()):
            if drain.boot == boot:
                return drain
        return None

    def has_drained(self, worker_id: str, boot: int) -> bool:
        """Return whether a boot has reported that it drains."""
        return self._find(worker_id, boot) is not None

    def earliest_leave(self, worker_id: str, boot: int) -> float:
        """Return when a boot leaves at the earliest, if it says so."""
        drain = self._find(worker_id, boot)
        return _NEVER if drain is None else drain.leaves_from

    def find_ending(
        self,
        worker_id: str,
        boot: int,
        next_boot: int,
        seen_at: float,
        now: float,
    ) -> Ending:
        """Return how a boot of a worker ended that runs no more.

        It is known to have run at ``seen_at``.  ``next_boot``, or 0 where that
        is not known, has run by ``now``.  ``boot`` may be older than the boot
        that ran last, if an earlier holder has placed work there.
        """
        drain = self._find_last(worker_id, boot, next_boot)
        if drain is not None:
            if now < drain.leaves_from:
                return Ending.LOST
            if drain.leaves_from == _NEVER:
                return Ending.DRAINED
            if drain.has_lasted(seen_at):
                return Ending.PLANNED
            # It may have crashed, or it was cut off when it left.
            return Ending.UNKNOWN
        if (
            boot <= self.unseen_boot_by_id.get(worker_id, -1)
            or self.confirmed_at < now - _MIN_DRAIN_S
        ):
            return Ending.UNKNOWN
        return Ending.LOST

    def _find_last(
        self, worker_id: str, first_boot: int, next_boot: int
    ) -> Drain | None:
        """Return the drain of the last boot from one to before another."""
        found = None
        for drain in self.drains_by_worker_id.get(worker_id, ()):
            is_before = not next_boot or drain.boot < next_boot
            if first_boot <= drain.boot and is_before:
                found = drain
        return found

    def note_silence(self, worker_id: str, boot: int, seen_at: float) -> None:
        """Note that the leases of a boot that ran at ``seen_at`` expired."""
        drains = self.drains_by_worker_id.get(worker_id, ())
        self._set(
            worker_id,
            *(
                dataclasses.replace(drain, is_doubtful=True)
                if drain.boot == boot and not drain.has_lasted(seen_at)
                else drain
                for drain in drains
            ),
        )

    def may_have_missed(self, confirmed_at: float) -> bool:
        """Return whether a drain may have begun and ended unseen.

        The copy of the entries is up to date again as of ``confirmed_at``; the
        store need not have reported each change since the last time.
        """
        return confirmed_at - self.confirmed_at > _MIN_DRAIN_S

    def note_gap(self, worker_id: str, boot: int) -> None:
        """Note that a boot, or one before, may have drained unseen."""
        known = self.unseen_boot_by_id.get(worker_id, boot)
        self.unseen_boot_by_id[worker_id] = max(known, boot)

    def forget_old(
        self, now: float, is_needed: abc.Callable[[str], bool]
    ) -> None:
        """Forget the drains that were last reported long ago.

        Those of a worker are kept while ``is_needed`` says so of its id.
        """
        oldest = now - _KEPT_S
        for worker_id, drains in list(self.drains_by_worker_id.items()):
            if drains[-1].reported_at <= oldest and not is_needed(worker_id):
                del self.drains_by_worker_id[worker_id]
        for worker_id in list(self.unseen_boot_by_id):
            if not is_needed(worker_id):
                del self.unseen_boot_by_id[worker_id]

    def report(
        self, worker_ids: abc.Iterable[str], version: int | None
    ) -> DrainReport:
        """Return the drains of workers that have drained, to be published.

        The entries were read up to ``version``.  The row has a limit, so
        that not all may find a place in it.
        """
        boots_by_worker_id: dict[str, int] = {}
        bytes_left = _MAX_PUBLISHED_BYTES
        for worker_id in worker_ids:
            bytes_left -= len(worker_id) + _BYTES_PER_BOOT
            if bytes_left < 0:
                return DrainReport(boots_by_worker_id)
            drains = self.drains_by_worker_id[worker_id]
            boots_by_worker_id[worker_id] = drains[-1].boot
        return DrainReport(boots_by_worker_id, version)
