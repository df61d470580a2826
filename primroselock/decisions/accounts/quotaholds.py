"""What becomes of waiting work that the quota of its account holds back.

It is not placed, preempts nothing of other accounts and claims no workers.
It may stop less urgent work of its own account.  A gang keeps the room that
is left from the account's work behind it, or single tasks would fill each
gap; but not from an account that uses less than half of its quota.
"""

from collections import abc
import dataclasses
import typing

import msgspec

from primroselock.decisions.accounts import ownvictims
from primroselock.decisions.accounts import quotas
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions import placementround
from primroselock.decisions import slices
from primroselock.decisions.victims import losses
from primroselock.decisions import waiting
from primroselock import options

_REVIEW_S: typing.Final = 1.0
"""After this time victims are chosen again for a group that waits for some."""

_SEARCH_RETRY_S: typing.Final = 0.25
"""Delay before an account's own work is searched again for victims."""


def build_filter(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    limits: quotas.RoundQuotas,
    guaranteed_ids: abc.Set[str],
) -> waiting.HeldBack:
    """Return a filter for steps that need not be listed for a round.

    They are single tasks without room in their quota that may stop nothing.
    """
    may_preempt = waiting.preemption_rules_by_name[settings.reclaim]

    def is_held_back(group: livejobs.Group, turn: slices.Turn) -> bool:
        if limits.allows(group) or group.size > 1:
            return False
        key = _retry_key(group, waiting.rank(group, guaranteed_ids))
        is_searched = key in board.quota_retry_at_by_account
        if not is_searched and may_preempt(group, guaranteed_ids, turn.wall_s):
            return False
        _note_hold(board, limits, group, turn.now)
        return True

    return is_held_back


def hold_back(
    context: placementround.RoundContext, group: livejobs.Group
) -> bool:
    """Keep a group waiting for its quota; make room if that is allowed.

    Returns whether others of its step may have more success: room is being
    made for this one.
    """
    board = context.board
    _note_hold(board, context.quotas, group, context.now)
    claim = board.claims_by_group.get(group)
    if claim is not None and not claim.by_preemption:
        context.claims.drop(group)
        claim = None
    is_recent = claim is not None and context.now - claim.since <= _REVIEW_S
    if is_recent or _stop_own(context, group):
        context.quotas.keep(group)
        return True
    if _keeps_room(context, group):
        context.quotas.keep(group)
    return False


def forget_failed(board: fleet.ShardBoard, now: float) -> None:
    """Forget the searches for victims that may be repeated."""
    for key, retry_at in list(board.quota_retry_at_by_account.items()):
        if now >= retry_at:
            del board.quota_retry_at_by_account[key]


def _note_hold(
    board: fleet.ShardBoard,
    limits: quotas.RoundQuotas,
    group: livejobs.Group,
    now: float,
) -> None:
    """Note that a group is held back; log the beginning."""
    if not group.job.note_quota_hold(now):
        return
    account = group.job.graph.account
    event = 'waits for its quota'
    if not limits.can_ever_allow(group):
        event = 'exceeds its quota'
    board.record_decision(
        event,
        group.job,
        group=group.key.as_list(),
        account=account,
        needs=msgspec.structs.asdict(quotas.need_of(group)),
        used=msgspec.structs.asdict(limits.used(account)),
        quota=dataclasses.asdict(
            quotas.find_quota(board.queue_configuration, account)
        ),
    )


def _stop_own(
    context: placementround.RoundContext, group: livejobs.Group
) -> bool:
    """Stop less urgent work of the account; return whether room is made."""
    board = context.board
    may_preempt = waiting.preemption_rules_by_name[context.settings.reclaim]
    if not (
        context.quotas.can_ever_allow(group)
        and may_preempt(group, context.guaranteed_ids, context.wall_s)
    ):
        return False
    key = _retry_key(group, waiting.rank(group, context.guaranteed_ids))
    if key in board.quota_retry_at_by_account:
        return False
    choice = ownvictims.choose(context, group)
    if choice is None or _loses_too_much(context, group, choice):
        board.quota_retry_at_by_account[key] = context.now + _SEARCH_RETRY_S
        return False
    if choice.victims:
        placementround.claim(
            context, group, choice.worker_ids, by_preemption=True
        )
        placementround.stop_victims(context, group, choice.victims)
    return True


def _retry_key(
    group: livejobs.Group, rank: livejobs.Rank
) -> tuple[str, livejobs.Rank]:
    return (group.job.graph.account, rank)


def _loses_too_much(
    context: placementround.RoundContext,
    group: livejobs.Group,
    choice: ownvictims.Choice,
) -> bool:
    if waiting.is_guaranteed(group, context.guaranteed_ids, context.wall_s):
        return False
    max_lost_s = losses.max_loss_s(
        context.board, context.settings, group, context.wall_s
    )
    return choice.cost > max_lost_s


def _keeps_room(
    context: placementround.RoundContext, group: livejobs.Group
) -> bool:
    """Return whether a gang keeps what is left of the quota."""
    use = objectives.usefulness(group, context.wall_s)
    return (
        group.size > 1
        and use is not objectives.Usefulness.TOO_LATE
        and context.quotas.can_ever_allow(group)
        and context.quotas.uses_half(group.job.graph.account)
    )
