"""Decides whether a node can place work, or offers the shard to others.

A holder can keep its lease for as long as its writes succeed, also while
its reads fail; then it may start nothing or knows of nothing to start.
When that lasts, it offers the lease: a standby that can place takes over
without waiting for the lease to expire.  Until one does, the holder stays,
so that running work is kept if no other node can do better.

Without a valid lease nothing is held against the reads: writes fail as
well, and after an outage of the store the reads get time to recover.
"""

import dataclasses
import enum
import typing

from primroselock import options

_GRACE_S: typing.Final = 1.0
"""A holder that could not place for longer than this offers the lease."""

_MAX_FAILED_LISTINGS: typing.Final = 2
"""Listings that fail in a row; each has retried its pages before."""

_MIN_ABLE_S: typing.Final = 2.0
"""A standby takes an offer if it could place for longer than this.

So a failure that ends for all nodes at once moves no shard.
"""

_RETRY_AFTER_S: typing.Final = 10.0
"""A node whose reads failed as the holder takes no offer for this long."""


class Reason(enum.Enum):
    """Why a holder cannot place."""

    OLD_OPERATOR_ROWS = "the operators' rows are not confirmed"
    LOST_ENTRIES = "the feed of the workers' entries does not answer"
    LOST_SUBMISSIONS = 'the feed of submitted jobs does not answer'
    FAILED_LISTINGS = 'the listings of the takeover fail'


@dataclasses.dataclass(frozen=True, slots=True)
class Reads:
    """How recent a holder's reads are; times are on its monotonic clock.

    ``submissions_lost_at`` is when the copy of the submitted jobs was last
    up to date, and ``entries_lost_at`` that of the workers' entries; they are
    None while their feeds answer.  ``failed_listings`` is the number of
    listings in a row that failed since the takeover began.
    """

    operators_confirmed_at: float
    submissions_lost_at: float | None = None
    failed_listings: int = 0
    entries_lost_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """Why a holder cannot place, and since when it cannot."""

    reason: Reason
    since: float

    @property
    def is_known_to_holders_only(self) -> bool:
        """Whether only a holder makes the reads that failed.

        A standby then cannot know that its own would fail as well.
        """
        return self.reason is not Reason.OLD_OPERATOR_ROWS


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Starts are permitted until ``until``, for the sake of ``bound``."""

    until: float
    bound: str


def find_permit(
    lease_until: float,
    operators_confirmed_at: float,
    entries_confirmed_at: float,
    settings: options.FleetSettings,
) -> Permit:
    """Return until when a holder may start work, and what bounds that.

    All times are on its monotonic clock.  A worker's entry shows what
    capacity it has left; an old copy of it may show more.
    """
    return min(
        Permit(lease_until, 'the shard lease'),
        Permit(
            operators_confirmed_at + settings.start_permit_s,
            "the operators' rows",
        ),
        Permit(
            entries_confirmed_at + settings.entry_permit_s,
            "the workers' entries",
        ),
        key=lambda permit: permit.until,
    )


def find_obstacle(
    known: Obstacle | None,
    reads: Reads,
    lease_until: float,
    settings: options.FleetSettings,
    now: float,
) -> Obstacle | None:
    """Return what keeps the holder from placing, or None.

    ``known`` is the result of the call before; the lease is valid until
    ``lease_until``.
    """
    reason = _find_reason(reads, settings, now)
    if reason is None or now >= lease_until:
        return None
    return Obstacle(reason, known.since if known else now)


def _find_reason(
    reads: Reads, settings: options.FleetSettings, now: float
) -> Reason | None:
    if reads.failed_listings >= _MAX_FAILED_LISTINGS:
        return Reason.FAILED_LISTINGS
    if now - reads.operators_confirmed_at > settings.start_permit_s:
        return Reason.OLD_OPERATOR_ROWS
    lost_at = reads.entries_lost_at
    if lost_at is not None and now - lost_at > settings.entry_permit_s:
        return Reason.LOST_ENTRIES
    lost_at = reads.submissions_lost_at
    if lost_at is not None and now - lost_at > settings.follow_age_s:
        return Reason.LOST_SUBMISSIONS
    return None


def should_offer(obstacle: Obstacle | None, now: float) -> bool:
    """Return whether a holder offers its lease to other nodes."""
    return obstacle is not None and now - obstacle.since > _GRACE_S


def find_able_since(
    known: float | None,
    operators_confirmed_at: float,
    shard_confirmed_at: float,
    settings: options.FleetSettings,
    now: float,
) -> float | None:
    """Return since when a standby can place, or None if it cannot.

    ``known`` is the result of the call before; the other times are when its
    copies of the operators' rows and of the lease were last up to date.
    """
    if (
        now - operators_confirmed_at > settings.start_permit_s
        or now - shard_confirmed_at > settings.follow_age_s
    ):
        return None
    return now if known is None else known


def may_take_offer(
    able_since: float | None, reads_failed_at: float, now: float
) -> bool:
    """Return whether a standby may take over an offered lease.

    ``reads_failed_at`` is when it last offered the lease itself for a reason
    that only a holder notices.
    """
    return (
        able_since is not None
        and now - able_since > _MIN_ABLE_S
        and now - reads_failed_at > _RETRY_AFTER_S
    )
