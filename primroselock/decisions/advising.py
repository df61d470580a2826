"""Tickets of another service that says which workers may run a step.

What it says of a worker and a step does not change; a ticket holds for a
time.  Workers that are not known for a step are asked about in batches,
those with the most room first, until some may run it.
"""

import dataclasses
import typing

from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import tickets

_MOST_ASKED: typing.Final = 30
_LEAST_VALID_S: typing.Final = 0.5
"""A ticket must outlive the placement's write and the start."""

_RETRY_S: typing.Final = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceRequest:
    """May these workers run this step?"""

    step: fleet.StepName
    worker_ids: tuple[str, ...]
    answer_time_s: float


def next_question(board: fleet.ShardBoard, now: float) -> AdviceRequest | None:
    """Return what to ask next, or None."""
    for job in board.jobs_by_id.values():
        if job.queue is None or job.queue.advice is None:
            continue
        if job.is_cancelled or job.state.is_final:
            continue
        for group in job.groups_by_key.values():
            if group.phase is not fleet.Phase.WAITING:
                continue
            question = _ask_for(board, group, now)
            if question is not None:
                return question
    return None


def _ask_for(
    board: fleet.ShardBoard, group: fleet.Group, now: float
) -> AdviceRequest | None:
    queue = group.job.queue
    assert queue is not None and queue.advice is not None
    known = board.advice_by_step.setdefault(
        group.step_name, tickets.StepAdvice()
    )
    if now < known.retry_at:
        return None
    workers = [
        worker
        for worker in board.workers_by_id.values()
        if worker.entry.service == queue.service
        and worker.is_listed
        and not worker.entry.is_draining
        and fitting.fits_ever(worker, group.step)
        and _is_worth_asking(known, worker.id, now)
    ]
    if not workers:
        return None
    workers.sort(key=lambda worker: -worker.free.accelerators)
    asked = tuple(worker.id for worker in workers[:_MOST_ASKED])
    terms = queue.advice
    return AdviceRequest(
        group.step_name, asked, terms.base_s + terms.per_worker_s * len(asked)
    )


def _is_worth_asking(
    known: tickets.StepAdvice, worker_id: str, now: float
) -> bool:
    if worker_id in known.refused_ids:
        return False
    ticket = known.tickets_by_worker_id.get(worker_id)
    return ticket is None or ticket.valid_until < now + _LEAST_VALID_S


def record_answer(
    board: fleet.ShardBoard,
    question: AdviceRequest,
    tickets_by_worker_id: dict[str, str],
    valid_until: float,
) -> None:
    """Take over what the service said."""
    known = board.advice_by_step.setdefault(
        question.step, tickets.StepAdvice()
    )
    for worker_id in question.worker_ids:
        text = tickets_by_worker_id.get(worker_id)
        if text is None:
            known.refused_ids.add(worker_id)
        else:
            known.tickets_by_worker_id[worker_id] = tickets.Ticket(
                text, valid_until
            )


def record_unanswered(
    board: fleet.ShardBoard, question: AdviceRequest, now: float
) -> None:
    """Ask again later: the service did not answer."""
    known = board.advice_by_step.setdefault(
        question.step, tickets.StepAdvice()
    )
    known.retry_at = now + _RETRY_S


def ticket_for(
    board: fleet.ShardBoard, group: fleet.Group, worker_id: str, now: float
) -> str | None:
    """Return the ticket for a start; None where there is none that holds.

    A queue that needs no advice has the empty ticket.
    """
    queue = group.job.queue
    if queue is None or queue.advice is None:
        return ''
    known = board.advice_by_step.get(group.step_name)
    if known is None:
        return None
    ticket = known.tickets_by_worker_id.get(worker_id)
    if ticket is None or ticket.valid_until < now + _LEAST_VALID_S:
        return None
    return ticket.text


def drop_ticket(
    board: fleet.ShardBoard, group: fleet.Group, worker_id: str
) -> None:
    """Forget a ticket that the worker did not take."""
    known = board.advice_by_step.get(group.step_name)
    if known is not None:
        known.tickets_by_worker_id.pop(worker_id, None)
