"""Tickets by which workers may run a step, as an adviser gave them."""

import dataclasses
import typing

_NEVER: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Lets a worker run a step until ``valid_until``."""

    text: str
    valid_until: float


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """What is known of the workers that may run a step.

    Nothing is asked before ``retry_at``.
    """

    tickets_by_worker_id: dict[str, Ticket] = dataclasses.field(
        default_factory=dict
    )
    refused_ids: set[str] = dataclasses.field(default_factory=set)
    retry_at: float = _NEVER
