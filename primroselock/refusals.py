"""Why calls about jobs are refused, and what a caller may do then."""

import dataclasses
import enum


class Reason(enum.Enum):
    """Reasons to refuse a call; the values go to logs and to callers."""

    STALE = 'the operators\' rows are not confirmed here'
    UNKNOWN_QUEUE = 'no such queue'
    UNKNOWN_KEY = 'unknown key'
    UNKNOWN_JOB = 'no such job'
    CANCELLED = 'the job was cancelled before it was stored'
    TOO_MANY_CANCELLED = 'too many unknown jobs were cancelled of late'
    INVALID = 'the job cannot be read'
    TOO_LARGE = 'the job is too large to be stored'
    COUNT_UNKNOWN = 'the number of waiting jobs is not known now'
    STORE_UNAVAILABLE = 'the store does not take the job now'
    BACKLOG = 'the account\'s earlier work would make the job too late'
    OUTCOME_UNKNOWN = 'the store did not say whether it took the job'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refused call.

    ``retry_after_s`` is set if the call certainly had no effect and may
    succeed later.
    """

    why: Reason
    detail: str = ''
    retry_after_s: float | None = None
