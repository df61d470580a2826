"""Explanations of where jobs would go, made by the holder of the shard.

One is made at a time, in slices as a round, and all together take a bounded
share of the process's time: renewals, polls and rounds go first.
"""

import asyncio
from collections import abc
import dataclasses
import enum
import typing

import result

from primroselock import clock
from primroselock.decisions.explaining import explanation
from primroselock.decisions.explaining import records
from primroselock.decisions import fleet
from primroselock import intake
from primroselock import jobgraph
from primroselock import options
from primroselock import publishedcounts
from primroselock import refusals
from primroselock.store import tablefollower

_MAX_SLICE_S: typing.Final = 0.015
"""After this time an explanation lets others work."""

PAUSE_PER_EXPLANATION: typing.Final = 9.0
"""Time until the next explanation as a multiple of the last one's."""

ReadJob = abc.Callable[
    [bytes, str, str, int], result.Result[jobgraph.JobGraph, str]
]
"""Reads a job as callers send it, for an account and a queue.

The last argument is the maximum number of its steps.
"""


class Problem(enum.Enum):
    """Why there is no explanation; the values are codes for programs."""

    BUSY = 'busy'
    INVALID = 'bad-job'
    NOT_KNOWN = 'job'
    TOO_LARGE = 'too-large'


@dataclasses.dataclass(frozen=True, slots=True)
class Unexplained:
    """There is no explanation; ``retry_after_s`` if there may be one then."""

    why: Problem
    detail: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotHolder:
    """This node does not decide: ``holder`` did so when last heard of.

    It answers operators' calls at ``address``; both are empty if not known.
    ``is_reading``: this node has taken the shard over and reads its rows.
    """

    holder: str
    address: str
    is_reading: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Copies:
    """The copies of tables from which the holder decides.

    ``operators_confirmed_at`` returns when the operators' rows were last known
    to be up to date, on this process's clock.
    """

    operators_confirmed_at: abc.Callable[[], float]
    entries: tablefollower.TableFollower
    submissions: tablefollower.TableFollower


class Explanations:
    """Makes explanations from the blackboard of a session.

    ``decided_at`` returns when the last round began, on this process's clock.
    """

    def __init__(
        self,
        settings: options.Settings,
        board: fleet.ShardBoard,
        copies: Copies,
        decided_at: abc.Callable[[], float],
    ) -> None:
        self._settings = settings.fleet
        self._node = settings.process.vm_id
        self._board = board
        self._copies = copies
        self._decided_at = decided_at
        self._is_busy = False
        self._next_at = float('-inf')

    def find_busy(self) -> Unexplained | None:
        """Return why nothing is explained now; None if something may be."""
        now = clock.monotonic()
        if not self._is_busy and now >= self._next_at:
            return None
        left_s = max(1.0, self._next_at - now)
        return Unexplained(
            Problem.BUSY, 'explains another job, or did so just now', left_s
        )

    async def explain(
        self, job: str | jobgraph.JobGraph
    ) -> result.Result[records.Answer, Unexplained]:
        """Explain a job, by its id, or one that is not sent."""
        busy = self.find_busy()
        if busy is not None:
            return result.Err(busy)
        if isinstance(job, jobgraph.JobGraph):
            problem = self._find_problem(job)
            if problem:
                return result.Err(Unexplained(Problem.INVALID, problem))
        self._is_busy = True
        try:
            return await self._explain(job)
        finally:
            self._is_busy = False

    def _find_problem(self, graph: jobgraph.JobGraph) -> str:
        """Return why a job cannot be asked about; empty if it can."""
        refused = intake.check_graph(graph, self._settings)
        if refused is not None:
            return f'{refused.why.value}: {refused.detail}'
        configuration = self._board.queue_configuration
        if configuration.find_by_name(graph.queue) is None:
            return f'queue {graph.queue!r}: not in the configuration'
        if graph.account not in configuration.accounts_by_name:
            return f'account {graph.account!r}: not in the configuration'
        return ''

    async def _explain(
        self, job: str | jobgraph.JobGraph
    ) -> result.Result[records.Answer, Unexplained]:
        started = resumed = clock.monotonic()
        explainer = explanation.Explainer(
            self._board, self._settings, job, started, clock.wall()
        )
        knowledge = self._describe_knowledge(started)
        taken_s = 0.0
        for _ in explainer.run():
            if clock.monotonic() - resumed > _MAX_SLICE_S:
                taken_s += clock.monotonic() - resumed
                await asyncio.sleep(0)
                resumed = clock.monotonic()
        ended = clock.monotonic()
        taken_s += ended - resumed
        self._next_at = ended + taken_s * PAUSE_PER_EXPLANATION
        return self._answer(job, explainer.answer, knowledge)

    def _describe_knowledge(self, now: float) -> records.Knowledge:
        copies = self._copies
        return records.Knowledge(
            self._node,
            self._board.epoch,
            self._board.queue_configuration.version,
            {
                'configuration': round(
                    now - copies.operators_confirmed_at(), 3
                ),
                'workers': round(copies.entries.age_s(now), 3),
                'jobs': round(copies.submissions.age_s(now), 3),
                'round': round(now - self._decided_at(), 3),
            },
        )

    def _answer(
        self,
        job: str | jobgraph.JobGraph,
        found: records.JobExplanation | explanation.Problem | None,
        knowledge: records.Knowledge,
    ) -> result.Result[records.Answer, Unexplained]:
        if isinstance(found, records.JobExplanation):
            refused = '' if isinstance(job, str) else self._find_refusal(job)
            return result.Ok(records.Answer(found, refused, knowledge))
        if isinstance(found, explanation.TooLarge):
            detail = f'{found.groups} groups wait or are placed'
            return result.Err(Unexplained(Problem.TOO_LARGE, detail))
        detail = 'no job that has not ended'
        return result.Err(Unexplained(Problem.NOT_KNOWN, detail))

    def _find_refusal(self, graph: jobgraph.JobGraph) -> str:
        """Return why a job would be refused for its account's earlier work."""
        configuration = self._board.queue_configuration
        queue = configuration.find_by_name(graph.queue)
        if queue is None:
            return ''
        counts = publishedcounts.PublishedCounts(
            backlogs_by_account=self._board.share_notes.backlogs_by_account
        )
        account = configuration.accounts_by_name.get(graph.account)
        excess_s = counts.excess_s(graph, queue, account)
        if excess_s <= 0:
            return ''
        return f'{refusals.Reason.BACKLOG.value}: {excess_s:.1f} s too late'
