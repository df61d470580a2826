"""What an explanation says of a job, as records without references.

They are encoded as JSON as they are.  Times are in seconds from when the
explanation was made; None where nothing is known.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What the next round would do with the first waiting group of a step.

    ``NONE``: none of its groups waits.
    """

    PLACED = 'placed'
    STOPS_OTHERS = 'stops others'
    CLAIMS = 'claims workers'
    WAITS = 'waits'
    NONE = 'none'


class Source(enum.Enum):
    """What an expected time rests on.

    A start: the next round, the stops that it orders, the end of the delay of
    a retry, or the ends of running work.  A run time: the caller's estimate or
    earlier runs; an end: the progress that workers report.
    """

    ROUND = 'next round'
    STOPS = 'stops'
    DELAY = 'delay'
    ENDS = 'ends of running work'
    CALLER = "caller's estimate"
    LEARNED = 'learned'
    PROGRESS = 'reported progress'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class RuleCount:
    """How many workers fell out by a rule."""

    rule: str
    workers: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerVerdict:
    """The first rule by which a worker falls out, and the reason.

    The rule is empty for a worker that would be chosen.
    """

    worker: str
    zone: str
    rack: str
    rule: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """A group that would be stopped; ``worked_s`` is how long it has run."""

    job: str
    account: str
    queue: str
    group: list[int]
    workers: list[str]
    worked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """What a group waits for: the rule and the reason, empty for nothing."""

    rule: str = ''
    why: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """When something is expected, and what that rests on."""

    in_s: float | None = None
    source: Source = Source.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class StepExplanation:
    """A step of an occurrence, by its first group that waits.

    ``group`` names that group by occurrence, step and index, ``tasks`` are
    its tasks, and ``phase_s`` is for how long it has been in ``phase``.
    ``groups_by_phase`` counts all groups of the step, and ``placed`` those
    that the next round would place.  ``workers`` are those on which the group
    runs or would run, or that are being freed or claimed for it.
    ``workers_looked_at`` counts all workers; ``rules`` says how many of them
    fell out by each rule, and ``verdicts`` lists them, the chosen first, but
    for ``verdicts_omitted``.
    """

    step: int
    occurrence: int
    group: list[int]
    tasks: int
    phase: str
    phase_s: float
    attempt: int
    groups_by_phase: dict[str, int]
    outcome: Outcome
    placed: int
    waits_for: Wait
    workers: list[str]
    workers_looked_at: int
    rules: list[RuleCount]
    verdicts: list[WorkerVerdict]
    verdicts_omitted: int
    start: Expected
    run: Expected
    end: Expected


@dataclasses.dataclass(frozen=True, slots=True)
class JobExplanation:
    """Where the groups of a job would go now, and why.

    ``is_sent`` is False for a job that is only asked about.  ``waits_s`` is
    for how long its first waiting group has waited, of which the quota of its
    account has held the job back for ``held_by_quota_s`` without a break.
    ``end`` is when its last step is expected to end, from the starts of those
    that wait and the critical path after them.  The next round would
    stop the ``victims`` for any of its groups, and ``victims_omitted`` more.
    ``steps`` lists the steps that are not done, but for ``steps_omitted``.
    """

    job: str
    account: str
    queue: str
    state: str
    is_sent: bool
    waits_s: float | None
    held_by_quota_s: float | None
    waits_for: Wait
    end: Expected
    victims: list[Victim]
    victims_omitted: int
    steps: list[StepExplanation]
    steps_omitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """Who answers, and how old is what the answer rests on.

    ``node`` is the VM id of who decides, ``epoch`` that of its shard, if it
    holds one.  ``ages_s`` holds, in seconds, the
    ages of its copies of the ``configuration``, of what it knows of the
    ``workers`` and of the ``jobs``, and of its last ``round``.
    """

    node: str
    epoch: int | None
    configuration_version: int
    ages_s: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An explanation; ``refused`` says why the job would not be accepted.

    It is empty for a job that would be, or was sent.
    """

    job: JobExplanation
    refused: str
    knowledge: Knowledge
