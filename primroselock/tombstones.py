"""The tombstones that the holder of a shard knows of, and which may go.

A tombstone keeps a write that comes late from storing a job that was cancelled
before.  It may go once no write that was under way can come any more.
"""

import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """The version of a tombstone's row, seen on this process's clock."""

    version: int
    seen_at: float


class TombstoneLog:
    """Tombstones by the id of their job, in the order they were seen."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, _Known] = {}

    def __len__(self) -> int:
        return len(self._known_by_id)

    def note(self, job_id: str, version: int, now: float) -> None:
        """Note a tombstone; one that was rewritten is kept for longer."""
        known = self._known_by_id.get(job_id)
        if known is None or known.version < version:
            self._known_by_id.pop(job_id, None)
            self._known_by_id[job_id] = _Known(version, now)

    def forget(self, job_id: str, version: int) -> None:
        """Forget a tombstone that stood there up to ``version``."""
        known = self._known_by_id.get(job_id)
        if known is not None and known.version <= version:
            del self._known_by_id[job_id]

    def list_old(self, seen_before: float, limit: int) -> dict[str, int]:
        """Return the versions of some that were seen by then, by id."""
        old = itertools.takewhile(
            lambda item: item[1].seen_at <= seen_before,
            self._known_by_id.items(),
        )
        return {
            job_id: known.version
            for job_id, known in itertools.islice(old, limit)
        }
