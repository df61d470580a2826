"""Tickets of the advice service that allow workers to run a step."""

import dataclasses
import typing

_NEVER: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket that allows a worker to run a step until ``valid_until``.

    ``valid_until`` is in seconds on this process's clock.  It holds for the
    worker's incarnation ``boot``.
    """

    text: str
    valid_until: float
    boot: int


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """The tickets and refusals of the workers for one step.

    ``refused_boots_by_id`` holds the incarnations of the workers that may not
    run it.  The last request was made at ``asked_at``, and none is sent before
    ``retry_at``, on this process's clock.
    """

    tickets_by_worker_id: dict[str, Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused_boots_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    retry_at: float = _NEVER
    asked_at: float = _NEVER
