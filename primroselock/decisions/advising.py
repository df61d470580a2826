"""Requests tickets from the advice service, for workers to run a step.

The service's answer for a worker and a step does not change until the worker
starts again; a ticket is valid for a limited time.  While a group of the step
waits, tickets are requested for workers in batches, those with the most free
accelerators first; workers with a valid ticket or a refusal are left out.
One request is under way at a time, so that the waiting steps take turns.
"""

import dataclasses
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import tickets

_MAX_WORKERS_PER_REQUEST: typing.Final = 30
"""The time to an answer grows with the number of workers in a request."""

_MIN_VALID_S: typing.Final = 0.5
"""A ticket must stay valid until the placement is stored and started."""

_RETRY_S: typing.Final = 0.3
"""Delay before the next request for a step after one that failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for the tickets of one step on some workers.

    ``answer_time_s`` is the time in seconds in which the service states
    that it answers.  ``boots`` are the incarnations of the workers.
    """

    step: livejobs.StepName
    worker_ids: tuple[str, ...]
    boots: tuple[int, ...]
    answer_time_s: float


def next_request(board: fleet.ShardBoard, now: float) -> AdviceRequest | None:
    """Return the next request for a waiting group, or None.

    Steps without a valid ticket come first, and among equals the one that
    was asked about least recently: a step that waits for capacity needs new
    tickets for ever.
    """
    found: list[tuple[bool, float, livejobs.Group]] = []
    for groups in board.phases.waiting_by_step.values():
        group = next(iter(groups))
        job = group.job
        if job.queue is None or job.queue.advice is None:
            continue
        if job.is_cancelled or job.state.is_final:
            continue
        known = _advice_for(board, group)
        found.append((_has_ticket(known, now), known.asked_at, group))
    found.sort(key=lambda entry: entry[:2])
    for _, _, group in found:
        request = _build_request(board, group, now)
        if request is not None:
            _advice_for(board, group).asked_at = now
            return request
    return None


def _advice_for(
    board: fleet.ShardBoard, group: livejobs.Group
) -> tickets.StepAdvice:
    return board.advice_by_step.setdefault(
        group.step_name, tickets.StepAdvice()
    )


def _has_ticket(known: tickets.StepAdvice, now: float) -> bool:
    return any(
        ticket.valid_until >= now + _MIN_VALID_S
        for ticket in known.tickets_by_worker_id.values()
    )


def _build_request(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> AdviceRequest | None:
    queue = group.job.queue
    assert queue is not None and queue.advice is not None
    known = _advice_for(board, group)
    if now < known.retry_at:
        return None
    workers = [
        worker
        for worker in board.workers_by_id.values()
        if worker.entry.service == queue.service
        and worker.is_listed
        and not worker.entry.is_draining
        and freecapacity.fits_when_empty(worker, group.step)
        and _needs_ticket(known, worker, now)
    ]
    if not workers:
        return None
    workers.sort(key=lambda worker: -worker.free.accelerators)
    requested = workers[:_MAX_WORKERS_PER_REQUEST]
    terms = queue.advice
    return AdviceRequest(
        group.step_name,
        tuple(worker.id for worker in requested),
        tuple(worker.latest_boot for worker in requested),
        terms.base_s + terms.per_worker_s * len(requested),
    )


def _needs_ticket(
    known: tickets.StepAdvice, worker: fleetworkers.Worker, now: float
) -> bool:
    refused_boot = known.refused_boots_by_id.get(worker.id)
    if refused_boot is not None and _is_of_boot(worker, refused_boot):
        return False
    return _find_ticket(known, worker, now) is None


def _is_of_boot(worker: fleetworkers.Worker, boot: int) -> bool:
    """Return whether an incarnation is the latest one, or is not known."""
    return 0 in (boot, worker.latest_boot) or boot == worker.latest_boot


def _find_ticket(
    known: tickets.StepAdvice, worker: fleetworkers.Worker, now: float
) -> tickets.Ticket | None:
    """Return the valid ticket of a worker, or None."""
    ticket = known.tickets_by_worker_id.get(worker.id)
    if ticket is None or ticket.valid_until < now + _MIN_VALID_S:
        return None
    return ticket if _is_of_boot(worker, ticket.boot) else None


def record_answer(
    board: fleet.ShardBoard,
    request: AdviceRequest,
    tickets_by_worker_id: dict[str, str],
    valid_until: float,
) -> None:
    """Record the service's answer.

    Workers without a ticket may not run the step.  ``valid_until`` is on
    this process's clock.
    """
    known = board.advice_by_step.setdefault(request.step, tickets.StepAdvice())
    for worker_id, boot in zip(request.worker_ids, request.boots, strict=True):
        text = tickets_by_worker_id.get(worker_id)
        if text is None:
            known.refused_boots_by_id[worker_id] = boot
        else:
            known.tickets_by_worker_id[worker_id] = tickets.Ticket(
                text, valid_until, boot
            )


def record_unanswered(
    board: fleet.ShardBoard, request: AdviceRequest, now: float
) -> None:
    """Record that the service did not answer; the request is retried."""
    known = board.advice_by_step.setdefault(request.step, tickets.StepAdvice())
    known.retry_at = now + _RETRY_S


def ticket_for(
    board: fleet.ShardBoard, group: livejobs.Group, worker_id: str, now: float
) -> str | None:
    """Return the ticket for a start; None where there is no valid one.

    The ticket is empty for a queue that needs none.
    """
    queue = group.job.queue
    if queue is None or queue.advice is None:
        return ''
    known = board.advice_by_step.get(group.step_name)
    worker = board.workers_by_id.get(worker_id)
    if known is None or worker is None:
        return None
    ticket = _find_ticket(known, worker, now)
    return None if ticket is None else ticket.text


def drop_ticket(
    board: fleet.ShardBoard, group: livejobs.Group, worker_id: str
) -> None:
    """Drop a ticket that the worker did not accept."""
    known = board.advice_by_step.get(group.step_name)
    if known is not None:
        known.tickets_by_worker_id.pop(worker_id, None)
