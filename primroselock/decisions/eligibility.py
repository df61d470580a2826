"""Which workers may get starts, what excludes others, and what is free.

The reason is named, so that the placement and the explanation of why work
waits never disagree.
"""

import enum
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleethealth

_PLENTY_SHARE: typing.Final = 0.5
"""Capacity is plenty while less than this share of a resource is in use."""


class Exclusion(enum.Enum):
    """Why a worker gets no starts, whatever its free capacity."""

    UNLISTED = 'no entry'
    NOT_POLLED = 'not polled by this holder'
    UNRESPONSIVE = 'calls to it fail'
    LEASE_BOUNDED = 'bound of its leases not withdrawn yet'
    DRAINING = 'draining'
    ZONE_OUT_OF_SERVICE = 'zone out of service'
    QUARANTINED = 'quarantined'


def find_exclusion(
    board: fleet.ShardBoard, worker: fleet.Worker, now: float
) -> Exclusion | None:
    """Return what excludes a worker from starts, or None."""
    if not worker.is_listed:
        return Exclusion.UNLISTED
    if not worker.is_polled:
        return Exclusion.NOT_POLLED
    if worker.failures_in_row:
        return Exclusion.UNRESPONSIVE
    if board.published_bounds.covers(worker.id):
        return Exclusion.LEASE_BOUNDED
    if worker.entry.is_draining:
        return Exclusion.DRAINING
    out_of_service = board.queue_configuration.zones_out_of_service
    if worker.entry.zone in out_of_service:
        return Exclusion.ZONE_OUT_OF_SERVICE
    if fleethealth.is_quarantined(board, worker.id, now):
        return Exclusion.QUARANTINED
    return None


def has_plenty(board: fleet.ShardBoard) -> bool:
    """Return whether much of the listed workers' capacity is free."""
    accelerators = used_accelerators = 0
    cpu_millis = used_cpu_millis = 0
    for worker in board.workers_by_id.values():
        if not worker.is_listed:
            continue
        accelerators += worker.entry.capacity.accelerators
        used_accelerators += worker.used.accelerators
        cpu_millis += worker.entry.capacity.cpu_millis
        used_cpu_millis += worker.used.cpu_millis
    return (
        used_accelerators < accelerators * _PLENTY_SHARE
        or used_cpu_millis < cpu_millis * _PLENTY_SHARE
    )
